//! Plans the events of one schedule of the list model from its seed.

use std::time::Duration;

use rand::RngExt;

use super::super::ms;
use super::{CHECK_EVERY, Fleet, SETTLED_AFTER, SimEvent};

/// Time by which all gateways have started.
const STARTED_MS: u64 = 2_000;
/// Longest time between a restart of a gateway and writes that meet its first read.
const MEETS_READ_MS: u64 = 20;

impl Fleet {
    pub(super) fn plan(&mut self) {
        let mut at = Duration::ZERO;
        while at < self.end + SETTLED_AFTER {
            self.time.at(at, SimEvent::Check);
            at += CHECK_EVERY;
        }
        self.time.at(self.end, SimEvent::Calm);
        let end = self.end.as_millis() as u64;
        self.plan_writes(end);
        self.plan_store(end);
        for _ in 0..self.time.rng.random_range(1..8) {
            self.plan_gateway_trouble(end);
        }
    }

    fn plan_writes(&mut self, end: u64) {
        for _ in 0..self.time.rng.random_range(5..40) {
            let at = self.time.time_in(STARTED_MS / 2, end);
            let count = self.time.rng.random_range(1..6);
            self.time.at(at, SimEvent::WriteSome(count));
        }
    }

    fn plan_store(&mut self, end: u64) {
        for _ in 0..self.time.rng.random_range(0..3) {
            let at = self.time.time_in(STARTED_MS, end);
            let trouble = match self.time.rng.random_range(0..3) {
                0 => SimEvent::Compact,
                1 => SimEvent::Restore(self.time.rng.random_range(0..6)),
                _ => {
                    let back = at + self.time.time_in(50, 6_000);
                    self.time.at(back, SimEvent::Down(false));
                    SimEvent::Down(true)
                }
            };
            self.time.at(at, trouble);
        }
    }

    /// A gateway is killed, cut off or refused by the store, and entries change when it is back.
    fn plan_gateway_trouble(&mut self, end: u64) {
        let gateway = self.time.rng.random_range(0..self.gateways.len());
        let at = self.time.time_in(STARTED_MS, end);
        let is_long = self.time.rng.random_bool(0.3);
        let away = self.time.time_in(20, if is_long { end } else { 3_000 });
        let (bad, good) = match self.time.rng.random_range(0..4) {
            0 | 1 => (SimEvent::Kill(gateway), SimEvent::Start(gateway)),
            2 => (SimEvent::Cut(gateway, true), SimEvent::Cut(gateway, false)),
            _ => (SimEvent::TurnAway(gateway, true), SimEvent::TurnAway(gateway, false)),
        };
        self.time.at(at, bad);
        self.time.at(at + away, good);
        let meets_read = at + away + self.time.time_in(0, MEETS_READ_MS);
        let count = self.time.rng.random_range(0..5);
        self.time.at(meets_read.min(self.end - ms(50)), SimEvent::WriteSome(count));
    }
}
