//! Plans the events of one schedule from its seed.

use std::time::Duration;

use rand::RngExt;

use super::super::ms;
use super::{CHECK_EVERY, COPY_EVERY, DATA_CENTRES, END, ENDPOINTS, Fleet, SimEvent};

impl Fleet {
    pub(super) fn plan(&mut self) {
        let mut at = Duration::ZERO;
        while at < END {
            self.time.at(at, SimEvent::Copy);
            self.time.at(at + ms(1), SimEvent::Check);
            at += COPY_EVERY.min(CHECK_EVERY);
        }
        for _ in 0..self.time.rng.random_range(1..4) {
            let away = self.time.time_in(3_000, 14_000);
            let back = away + self.time.time_in(10, 2_500);
            let age = self.time.time_in(50, 3_000);
            self.time.at(away, SimEvent::Away);
            self.time.at(back, SimEvent::Return(age));
        }
        for _ in 0..self.time.rng.random_range(2..16) {
            let at = self.time.time_in(500, 20_000);
            self.time.at(at, SimEvent::Configure);
        }
        for _ in 0..self.time.rng.random_range(0..4) {
            let number = self.time.rng.random_range(0..DATA_CENTRES);
            let at = self.time.time_in(1_000, 12_000);
            let back = at + self.time.time_in(500, 6_000);
            self.time.at(at, SimEvent::Order(number, true));
            self.time.at(back, SimEvent::Order(number, false));
        }
        for number in 0..ENDPOINTS {
            if self.time.rng.random_bool(0.5) {
                let at = self.time.time_in(1_000, 14_000);
                let ends = at + self.time.time_in(2_000, 6_000);
                let says = self.time.rng.random_bool(0.7);
                if says {
                    self.time.at(at, SimEvent::Leave(number));
                }
                self.time.at(ends, SimEvent::End(number));
                let begins = ends + self.time.time_in(200, 4_000);
                self.time.at(begins, SimEvent::Begin(number));
            }
        }
        for _ in 0..self.time.rng.random_range(0..5) {
            let gateway = self.time.rng.random_range(0..self.gateways.len());
            let at = self.time.time_in(2_000, 14_000);
            let back = at + self.time.time_in(100, 4_000);
            let (bad, good) = match self.time.rng.random_range(0..3) {
                0 => (SimEvent::Kill(gateway), SimEvent::Start(gateway)),
                1 => (SimEvent::Cut(gateway, true), SimEvent::Cut(gateway, false)),
                _ => (SimEvent::TurnAway(gateway, true), SimEvent::TurnAway(gateway, false)),
            };
            self.time.at(at, bad);
            self.time.at(back, good);
        }
    }
}
