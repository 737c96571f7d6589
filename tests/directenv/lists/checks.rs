//! What the list model checks: a gateway holds every change up to the position that it announces,
//! and all gateways have the store's list in the end.

use std::collections::BTreeMap;

use stackmast::direct::event::{Action, Event};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::documents::{Document, Seen};
use stackmast::direct::published::model::Name;
use stackmast::direct::published::position::Position;

use super::super::address;
use super::super::gateway::announced_state;
use super::store::name;
use super::{Fleet, MAX_BREACHES};

/// Address of the peer that asks gateways for their entries.
const OBSERVER: u16 = 60_000;

/// The entries of a gateway: positions, and whether each is listed.
type Entries = BTreeMap<Name, (Position, bool)>;

/// The position that a message announces.
pub(super) fn announced(message: &PeerMessage) -> Option<Position> {
    match message {
        PeerMessage::Documents { seen, era, .. } => Some(Position::new(*era, *seen)),
        message => announced_state(message).map(|state| state.seen.endpoints),
    }
}

impl Fleet {
    pub(super) fn breach(&mut self, gateway: usize, what: &str) {
        if self.breaches.len() < MAX_BREACHES {
            self.breaches.push(format!("{:?}: gateway {gateway} {what}", self.time.now));
        }
    }

    /// Asks a gateway for all its entries, and for the position that it announces.
    fn entries(&mut self, gateway: usize) -> (Entries, Position) {
        let message = PeerMessage::Pull { seen: Seen::default(), configuration: false, number: 0 };
        let event = Event::PeerMessage { from: address(OBSERVER), message };
        let (mut entries, mut at) = (Entries::new(), Position::default());
        for action in self.handle_quietly(gateway, event) {
            let Action::Send { to, message: PeerMessage::Documents { documents, seen, era, .. } } =
                action
            else {
                continue;
            };
            if to != address(OBSERVER) {
                continue;
            }
            at = Position::new(era, seen);
            entries.extend(documents.into_iter().map(|revised| match revised.document {
                Document::Endpoint(endpoint) => (endpoint.id.clone(), (revised.position, true)),
                Document::Removed(id) => (id, (revised.position, false)),
                Document::Deployment(_) => ("".into(), (revised.position, false)),
            }));
        }
        (entries, at)
    }

    /// Checks that a gateway holds every change up to the position that it announces.
    pub(super) fn check_holds(&mut self, gateway: usize) {
        if self.gateways[gateway].core.is_none() {
            return;
        }
        let (entries, announced) = self.entries(gateway);
        self.checks += 1;
        let state = self.store.state(announced);
        let mut missed = Vec::new();
        for (key, write) in state {
            let held = entries.get(&name(key)).copied();
            let is_held = match (write.is_listed(), held) {
                (true, Some((position, _))) if position >= write.position => true,
                // The gateway may know that the entry was removed after the announced position, and
                // need not know when it was written before.
                (true, Some((_, false)) | None) => self.store.is_removed_after(write),
                (true, Some((_, true))) => false,
                (false, Some((position, true))) => position > write.position,
                (false, _) => true,
            };
            if !is_held {
                missed.push((key, write.position, held));
            }
        }
        if !missed.is_empty() {
            self.breach(gateway, &format!("announces {announced:?} and lacks {missed:?}"));
        }
    }

    /// Checks that every gateway has the list of the store.
    pub(super) fn check_agreement(&mut self) {
        let listed = self.store.state(self.store.at);
        let listed = listed.values().filter(|write| write.is_listed());
        let listed: BTreeMap<Name, Position> =
            listed.map(|write| (name(write.key), write.position)).collect();
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].core.is_none() {
                continue;
            }
            let (entries, announced) = self.entries(gateway);
            let own = entries.into_iter().filter(|(_, (_, is_listed))| *is_listed);
            let own: BTreeMap<Name, Position> = own.map(|(id, (at, _))| (id, at)).collect();
            if own != listed {
                self.breach(gateway, &format!("has {own:?} at {announced:?}, not {listed:?}"));
            }
        }
    }
}
