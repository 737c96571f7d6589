//! Restore of the publisher's store from an older copy, which begins a new era.
//!
//! A response of the store or a peer is the first to name a new era. It is passed on at once, and
//! readers of the store read everything again.

use std::net::SocketAddr;

use crate::direct::core::GatewayCore;
use crate::direct::event::Action;
use crate::direct::log_events::{LogEvent, PublishedVersion, StoreEra, StoreReturned};
use crate::direct::published::documents::{Document, Merged, Revised};
use crate::direct::published::model::Name;
use crate::direct::published::position::Position;
use crate::message::Timestamp;

/// Who sent a complete list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListSender {
    /// The publisher's store.
    Publisher,
    /// A peer that holds every change up to the position of the list.
    Peer,
    /// A peer of a build before form 11, whose list may lack changes.
    EarlierBuild,
}

/// A complete list and where it is from.
#[derive(Debug, Clone, Copy)]
pub(super) struct CompleteList<'a> {
    /// Position of the list.
    pub at: Position,
    /// `publisher`, or the address of the gateway that sent it.
    pub source: &'a str,
    /// Who sent it.
    pub sender: ListSender,
}

/// Maximum number of endpoints that one log event names.
const MAX_LOGGED_ENDPOINTS: usize = 16;

impl GatewayCore {
    /// Records an era that the store or a peer named.
    pub(super) fn observe_era(&mut self, era: u64, source: &str) {
        let Some(new) = self.eras.observe(era) else {
            return;
        };
        crate::metrics::store_era(era);
        self.out.push(Action::SetStoreEra(era));
        if let Some(before) = new.before {
            let revision_before = self.documents.seen().endpoints.revision;
            let source = source.to_owned();
            self.log(LogEvent::StoreEra(StoreEra { before, revision_before, era, source }));
            self.next_heartbeat = Timestamp::ZERO;
        }
    }

    /// Records a peer's era; builds without eras send 0.
    pub(super) fn observe_peer_era(&mut self, from: SocketAddr, era: u64) {
        if era > 0 {
            self.observe_era(era, &from.to_string());
        }
    }

    /// Merges a complete list, and logs what a new era removed and restored.
    pub(super) fn merge_complete_list(
        &mut self,
        documents: Vec<Revised>,
        list: CompleteList<'_>,
        now: Timestamp,
    ) -> Merged {
        let CompleteList { at, source, sender } = list;
        let before = self.documents.received();
        let is_first = before == Position::default();
        self.observe_era(at.era, source);
        let merged = match sender {
            ListSender::Publisher => self.documents.merge_list(documents, at, now),
            ListSender::Peer => self.documents.merge_peer_list(documents, at, now),
            ListSender::EarlierBuild => self.documents.merge_unverified_list(documents, at, now),
        };
        if before.era < at.era && !is_first {
            self.log_restored(before, at, &merged, source);
        } else if at < before && sender == ListSender::Publisher {
            self.log(LogEvent::StoreWentBack { revision: at.revision, seen: before.revision });
        }
        merged
    }

    fn log_restored(&mut self, before: Position, at: Position, merged: &Merged, source: &str) {
        let first_names =
            |names: &[Name]| names.iter().take(MAX_LOGGED_ENDPOINTS).cloned().collect::<Vec<_>>();
        let leaving = merged.departed.iter().map(|departure| departure.endpoint.clone());
        self.log(LogEvent::StoreReturned(StoreReturned {
            before: before.era,
            revision_before: before.revision,
            era: at.era,
            revision: at.revision,
            source: source.to_owned(),
            leaving: leaving.take(MAX_LOGGED_ENDPOINTS).collect(),
            doubted: first_names(&merged.unconfirmed),
            lacked: first_names(&merged.missing),
        }));
    }

    /// Logs when the configuration in the store becomes older than the one in force, and when it no
    /// longer is.
    pub(super) fn compare_published(&mut self, documents: &[Revised]) {
        let version = documents.iter().rev().find_map(|revised| match &revised.document {
            Document::Deployment(deployment) => Some(deployment.version),
            Document::Endpoint(_) | Document::Removed(_) => None,
        });
        let Some(published) = version else {
            return;
        };
        crate::metrics::published_version(published);
        let in_force = self.documents.seen().version;
        let is_older = published < in_force;
        if is_older || self.is_published_older {
            let line = PublishedVersion { published, in_force, is_older };
            self.log(LogEvent::PublishedVersion(line));
        }
        self.is_published_older = is_older;
    }
}
