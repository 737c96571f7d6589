//! Compact form 3: heartbeats without departures, limits and eras. Read for upgrades from builds that write it.

use std::time::Duration;

use serde::Deserialize;

use crate::direct::owner::makers::Usage;
use crate::direct::peers::members::Member;
use crate::direct::peers::message::PeerMessage;
use crate::direct::peers::without_eras::{self, Evacuations, Seen};

/// Its number.
pub(super) const FORM: u32 = 3;

#[derive(Deserialize)]
struct Heartbeat {
    members: Vec<Member>,
    seen: Seen,
    complete: bool,
    usage: Vec<Usage>,
    late: Duration,
    evacuations: Evacuations,
}

/// Reads a message.
pub(super) fn read(message: &[u8]) -> Option<PeerMessage> {
    without_eras::read(message, heartbeat)
}

fn heartbeat(fields: &[u8]) -> Option<PeerMessage> {
    let Heartbeat { members, seen, complete, usage, late, evacuations } =
        postcard::from_bytes(fields).ok()?;
    let (departures, limits) = Default::default();
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
