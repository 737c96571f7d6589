//! Core of a witness: holds records until they expire, without I/O or clock.

use std::net::SocketAddr;
use std::time::Duration;

use crate::actor::Core;
use crate::direct::event::{Action, Event};
use crate::direct::log_events::{LogEvent, StreamEvent, ms};
use crate::direct::origins::MAX_STREAM_AGE;
use crate::direct::origins::records::Records;
use crate::direct::peers::message::{BegunStream, PeerMessage};
use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// State of a witness.
#[derive(Debug, Default)]
pub struct WitnessCore {
    records: Records,
    out: Vec<Action>,
}

impl WitnessCore {
    /// Creates the core of a process that starts, without records.
    pub fn new(incarnation: u64) -> Self {
        let out = vec![Action::Log(LogEvent::started(incarnation))];
        Self { records: Records::default(), out }
    }

    /// Number of records that are held.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    fn on_message(&mut self, from: SocketAddr, message: PeerMessage, now: Timestamp) {
        match message {
            PeerMessage::StreamsBegan(streams) => self.hold(streams, now),
            PeerMessage::AskOrigin { number, stream, .. } => {
                self.respond(from, number, stream, now);
            }
            // Gateways send a witness nothing else.
            _ => {}
        }
    }

    fn hold(&mut self, streams: Vec<BegunStream>, now: Timestamp) {
        for BegunStream { stream, origin, expires_in } in streams {
            self.records.insert(&stream, origin, now + expires_in.min(MAX_STREAM_AGE), now);
        }
        crate::metrics::stream_origins_held(self.records.len());
    }

    fn respond(&mut self, from: SocketAddr, number: u64, stream: Name, now: Timestamp) {
        let origin = self.records.origin(&stream, now).cloned();
        self.out.push(Action::Log(LogEvent::Stream(StreamEvent::OriginAsked {
            stream: stream.clone(),
            gateway: from,
            software_version: origin.as_ref().and_then(|origin| origin.version.clone()),
            is_known: origin.is_some(),
            held: self.records.len(),
        })));
        let versions = origin.iter().map(|origin| origin.version.clone()).collect();
        let message = PeerMessage::StreamOrigin { number, stream, origin, versions };
        self.out.push(Action::Send { to: from, message });
    }
}

impl Core for WitnessCore {
    type Event = Event;
    type Action = Action;
    const TICK: Event = Event::Tick;

    fn on_suspension(&mut self, duration: Duration, _now: Timestamp) {
        self.out.push(Action::Log(LogEvent::Suspended { for_ms: ms(duration) }));
    }

    fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        if let Event::PeerMessage { from, message } = event {
            self.on_message(from, message, now);
        }
        std::mem::take(&mut self.out)
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        None
    }
}
