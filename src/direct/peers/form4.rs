//! Compact form 4: heartbeats without limits and eras. Read for upgrades from builds that write it.

use std::time::Duration;

use serde::Deserialize;

use crate::direct::departures::Departure;
use crate::direct::owner::makers::Usage;
use crate::direct::peers::members::Member;
use crate::direct::peers::message::PeerMessage;
use crate::direct::peers::without_eras::{self, Evacuations, Seen};

/// Its number.
pub(super) const FORM: u32 = 4;

#[derive(Deserialize)]
struct Heartbeat {
    members: Vec<Member>,
    seen: Seen,
    complete: bool,
    usage: Vec<Usage>,
    late: Duration,
    evacuations: Evacuations,
    departures: Vec<Departure>,
}

/// Reads a message.
pub(super) fn read(message: &[u8]) -> Option<PeerMessage> {
    without_eras::read(message, heartbeat)
}

fn heartbeat(fields: &[u8]) -> Option<PeerMessage> {
    let Heartbeat { members, seen, complete, usage, late, evacuations, departures } =
        postcard::from_bytes(fields).ok()?;
    let limits = Vec::new();
    let (seen, evacuations) = (seen.into(), evacuations.into());
    Some(PeerMessage::Gossip {
        members,
        seen,
        complete,
        usage,
        late,
        evacuations,
        departures,
        limits,
        era: 0,
    })
}
