//! Decodes messages of builds that don't know eras of the store: compact forms 3 to 5, which
//! contain revisions without an era.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::direct::owner::producers::Usage;
use crate::direct::peers::appended_fields;
use crate::direct::peers::members::Member;
use crate::direct::peers::message::PeerMessage;
use crate::direct::published::documents::{self, Document};
use crate::direct::published::evacuations;
use crate::direct::published::model::{Deployment, Name};
use crate::direct::published::position::Position;

/// The forms that are decoded here. A form may be dropped once no release that writes it needs a
/// rolling upgrade to this one.
pub(super) const FORMS: RangeInclusive<u32> = 3..=5;
const DEPARTURES_SINCE: u32 = 4;
const LIMITS_SINCE: u32 = 5;

// The first byte of a message is the index of its [`PeerMessage`] variant.
const HEARTBEAT: u8 = 0;
const PULL: u8 = 1;
const CONFIGURATION: u8 = 2;
const DOCUMENTS: u8 = 4;

/// Latest configuration and entries that a sender has received.
#[derive(Deserialize)]
struct Seen {
    version: u64,
    endpoints: u64,
}

impl From<Seen> for documents::Seen {
    fn from(Seen { version, endpoints }: Seen) -> Self {
        Self { version, endpoints: Position::new(0, endpoints) }
    }
}

/// Evacuation orders that a sender knows.
#[derive(Deserialize)]
struct Evacuations {
    read_at: u64,
    orders: BTreeMap<Name, Order>,
}

#[derive(Deserialize)]
struct Order {
    revision: u64,
    in_force: bool,
}

impl From<Evacuations> for evacuations::Evacuations {
    fn from(Evacuations { read_at, orders }: Evacuations) -> Self {
        let order =
            |(name, order): (Name, Order)| (name, Position::new(0, order.revision), order.in_force);
        Self::of(Position::new(0, read_at), orders.into_iter().map(order))
    }
}

#[derive(Deserialize)]
struct Pull {
    seen: Seen,
    configuration: bool,
    number: u64,
}

#[derive(Deserialize)]
struct Configuration {
    revision: u64,
    deployment: Arc<Deployment>,
}

#[derive(Deserialize)]
struct Documents {
    documents: Vec<Revised>,
    complete: bool,
    seen: u64,
}

#[derive(Deserialize)]
struct Revised {
    revision: u64,
    document: Document,
}

impl From<Revised> for documents::Revised {
    fn from(Revised { revision, document }: Revised) -> Self {
        Self { position: Position::new(0, revision), created_revision: 0, document }
    }
}

/// The fields that the heartbeats of all these forms start with; departures follow since form 4,
/// limits since form 5.
#[derive(Deserialize)]
struct Heartbeat {
    members: Vec<Member>,
    seen: Seen,
    complete: bool,
    usage: Vec<Usage>,
    event_lag: Duration,
    evacuations: Evacuations,
}

fn heartbeat(form: u32, fields: &[u8]) -> Option<PeerMessage> {
    let (first, rest) = postcard::take_from_bytes::<Heartbeat>(fields).ok()?;
    let (departures, rest) = decode_since(DEPARTURES_SINCE, form, rest)?;
    let (limits, _) = decode_since(LIMITS_SINCE, form, rest)?;
    Some(PeerMessage::Gossip {
        members: first.members,
        seen: first.seen.into(),
        complete: first.complete,
        usage: first.usage,
        event_lag: first.event_lag,
        evacuations: first.evacuations.into(),
        departures,
        limits,
        era: 0,
    })
}

/// Decodes a field that exists from form `since` on; it is empty in earlier forms.
fn decode_since<'a, T: Default + Deserialize<'a>>(
    since: u32,
    form: u32,
    fields: &'a [u8],
) -> Option<(T, &'a [u8])> {
    if form < since {
        return Some((T::default(), fields));
    }
    postcard::take_from_bytes(fields).ok()
}

/// Decodes a message in one of [`FORMS`].
pub(super) fn read(form: u32, message: &[u8]) -> Option<PeerMessage> {
    let (&kind, fields) = message.split_first()?;
    match kind {
        HEARTBEAT => heartbeat(form, fields),
        PULL => {
            let Pull { seen, configuration, number } = postcard::from_bytes(fields).ok()?;
            Some(PeerMessage::Pull { seen: seen.into(), configuration, number })
        }
        CONFIGURATION => {
            let Configuration { revision, deployment } = postcard::from_bytes(fields).ok()?;
            let (pull, era, health_paths) = (0, 0, Vec::new());
            Some(PeerMessage::Configuration { revision, deployment, pull, era, health_paths })
        }
        DOCUMENTS => {
            let Documents { documents, complete, seen } = postcard::from_bytes(fields).ok()?;
            let documents = documents.into_iter().map(Into::into).collect();
            let (era, verification) = (0, None);
            Some(PeerMessage::Documents { documents, complete, seen, era, verification })
        }
        _ => appended_fields::read(message),
    }
}
