//! A gateway's reader of the store in the list model: pages, short watches that may miss changes,
//! and watches, in the order of the platform's adapter.

use std::time::Duration;

use rand::RngExt;
use stackmast::direct::event::Event;
use stackmast::direct::published::documents::Revised;
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::position::Position;
use stackmast::direct::store_reading::{StorePart, StoreUse};

use super::super::ms;
use super::{Fleet, SimEvent};

/// Reads that are repeated after a failure.
const REREADS: usize = 2;
/// Longest wait of a short watch.
const SHORT_WATCH_MS: u64 = 400;
/// Interval at which a watch looks for changes.
const POLL_MS: u64 = 20;
/// Interval at which a gateway that follows its peers looks whether it is to read.
const PARKED_MS: u64 = 25;
/// Longest wait of a watch.
const WATCH: Duration = Duration::from_secs(2);

/// A list that is being read page by page.
struct Reading {
    at: Position,
    after: Option<u16>,
    documents: Vec<Revised>,
}

/// What a gateway's reader does next.
#[derive(Default)]
pub struct Reader {
    /// Answers to calls with another number are ignored.
    call: u64,
    /// Position to watch from; without one, everything is read.
    since: Option<Position>,
    rereads_left: usize,
    reading: Option<Reading>,
    /// Time at which the current watch ends without changes.
    watch_ends: Option<Duration>,
    fails: bool,
    era: u64,
}

impl Fleet {
    /// Makes the next call of a gateway's reader after a time.
    pub(super) fn call_after(&mut self, gateway: usize, after: Duration) {
        self.readers[gateway].call += 1;
        let call = self.readers[gateway].call;
        self.time.at(self.time.now + after, SimEvent::Answer(gateway, call));
    }

    fn call_within(&mut self, gateway: usize, from_ms: u64, to_ms: u64) {
        let after = self.time.time_in(from_ms, to_ms);
        self.call_after(gateway, after);
    }

    /// Starts the reader of a process.
    pub(super) fn start_reader(&mut self, gateway: usize) {
        let call = self.readers[gateway].call;
        self.readers[gateway] = Reader { call, ..Reader::default() };
        self.call_within(gateway, 1, 10);
    }

    /// A peer named a newer era: everything is read again.
    pub(super) fn reread_for_era(&mut self, gateway: usize, era: u64) {
        let reader = &mut self.readers[gateway];
        if reader.since.is_some_and(|since| since.era < era) {
            reader.since = None;
            self.call_within(gateway, 1, 300);
        }
    }

    /// The store answers a call, or the call fails.
    pub(super) fn answer(&mut self, gateway: usize, call: u64) {
        let Some(core) = self.gateways[gateway].core.as_ref() else {
            return;
        };
        if self.readers[gateway].call != call {
            return;
        }
        if core.store_use() == StoreUse::Follow {
            let reader = &mut self.readers[gateway];
            (reader.since, reader.reading, reader.rereads_left) = (None, None, 0);
            self.call_after(gateway, ms(PARKED_MS));
            return;
        }
        let is_lost = self.time.rng.random_bool(self.call_loss);
        let gateway_state = &self.gateways[gateway];
        if is_lost || self.is_down || gateway_state.is_cut || gateway_state.is_away {
            self.fail(gateway);
            return;
        }
        self.set_answers(gateway, true);
        if self.readers[gateway].era != self.store.at.era {
            self.readers[gateway].era = self.store.at.era;
            self.handle(gateway, Event::StoreEra { era: self.store.at.era });
        }
        match self.readers[gateway].since {
            None => self.answer_page(gateway),
            Some(_) if self.readers[gateway].rereads_left > 0 => self.answer_short_watch(gateway),
            Some(since) => self.answer_watch(gateway, since),
        }
    }

    fn set_answers(&mut self, gateway: usize, answers: bool) {
        let fails = std::mem::replace(&mut self.readers[gateway].fails, !answers);
        if fails == answers {
            self.handle(gateway, Event::PublisherStatus { answers });
        }
    }

    fn fail(&mut self, gateway: usize) {
        self.set_answers(gateway, false);
        let reader = &mut self.readers[gateway];
        (reader.since, reader.reading, reader.watch_ends) = (None, None, None);
        reader.rereads_left = REREADS;
        self.call_within(gateway, 50, 400);
    }

    fn answer_page(&mut self, gateway: usize) {
        let at = self.store.at;
        let reading = self.readers[gateway].reading.take();
        let mut reading = reading.unwrap_or(Reading { at, after: None, documents: Vec::new() });
        if reading.at.era != at.era {
            self.fail(gateway);
            return;
        }
        let (documents, last) = self.store.page(reading.after);
        reading.documents.extend(documents);
        reading.after = last;
        if last.is_some() {
            self.readers[gateway].reading = Some(reading);
            self.call_within(gateway, 1, self.page_ms);
            return;
        }
        self.readers[gateway].since = Some(reading.at);
        self.publish(gateway, reading.documents, Extent::Complete { at: reading.at });
        self.call_within(gateway, 1, SHORT_WATCH_MS.min(self.page_ms));
    }

    /// A short watch returns some of the changes, and everything is read again.
    fn answer_short_watch(&mut self, gateway: usize) {
        let since = self.readers[gateway].since.take().unwrap_or_default();
        self.readers[gateway].rereads_left -= 1;
        let mut changes = self.store.changes(since.revision);
        changes.retain(|_| self.time.rng.random_bool(0.5));
        if since.era == self.store.at.era {
            self.publish(gateway, changes, Extent::Partial);
        }
        self.call_within(gateway, 1, SHORT_WATCH_MS);
    }

    fn answer_watch(&mut self, gateway: usize, since: Position) {
        let (at, now) = (self.store.at, self.time.now);
        if since.era != at.era || since.revision < self.store.compacted_to {
            let reader = &mut self.readers[gateway];
            (reader.since, reader.rereads_left, reader.watch_ends) = (None, REREADS, None);
            self.call_within(gateway, 1, 20);
            return;
        }
        let changes = self.store.changes(since.revision);
        let ends = *self.readers[gateway].watch_ends.get_or_insert(now + WATCH);
        if changes.is_empty() && now < ends {
            self.call_after(gateway, ms(POLL_MS));
            return;
        }
        self.readers[gateway].watch_ends = None;
        self.readers[gateway].since = Some(at);
        let pause = if changes.is_empty() { 5 } else { 250 };
        self.publish(gateway, changes, Extent::Changes { since, up_to: at });
        self.call_within(gateway, 1, pause);
    }

    fn publish(&mut self, gateway: usize, documents: Vec<Revised>, extent: Extent) {
        self.handle(gateway, Event::Published { documents, extent });
        if extent == Extent::Partial {
            return;
        }
        for part in [StorePart::Operator, StorePart::Endpoints] {
            self.handle(gateway, Event::StoreChecked { part });
        }
    }
}
