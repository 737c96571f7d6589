//! Plans the happenings of one schedule from its seed.

use std::time::Duration;

use rand::RngExt;

use super::super::ms;
use super::{COPY_EVERY, DATA_CENTRES, END, ENDPOINTS, Fleet, Happening, LOOK_EVERY};

impl Fleet {
    pub(super) fn plan(&mut self) {
        let mut at = Duration::ZERO;
        while at < END {
            self.time.at(at, Happening::Copy);
            self.time.at(at + ms(1), Happening::Look);
            at += COPY_EVERY.min(LOOK_EVERY);
        }
        for _ in 0..self.time.rng.random_range(1..4) {
            let away = self.time.time_in(3_000, 14_000);
            let back = away + self.time.time_in(10, 2_500);
            let age = self.time.time_in(50, 3_000);
            self.time.at(away, Happening::Away);
            self.time.at(back, Happening::Return(age));
        }
        for _ in 0..self.time.rng.random_range(2..16) {
            let at = self.time.time_in(500, 20_000);
            self.time.at(at, Happening::Configure);
        }
        for _ in 0..self.time.rng.random_range(0..4) {
            let number = self.time.rng.random_range(0..DATA_CENTRES);
            let at = self.time.time_in(1_000, 12_000);
            let back = at + self.time.time_in(500, 6_000);
            self.time.at(at, Happening::Order(number, true));
            self.time.at(back, Happening::Order(number, false));
        }
        for number in 0..ENDPOINTS {
            if self.time.rng.random_bool(0.5) {
                let at = self.time.time_in(1_000, 14_000);
                let ends = at + self.time.time_in(2_000, 6_000);
                let says = self.time.rng.random_bool(0.7);
                if says {
                    self.time.at(at, Happening::Leave(number));
                }
                self.time.at(ends, Happening::End(number));
                let begins = ends + self.time.time_in(200, 4_000);
                self.time.at(begins, Happening::Begin(number));
            }
        }
        for _ in 0..self.time.rng.random_range(0..5) {
            let gateway = self.time.rng.random_range(0..self.gateways.len());
            let at = self.time.time_in(2_000, 14_000);
            let back = at + self.time.time_in(100, 4_000);
            let (bad, good) = match self.time.rng.random_range(0..3) {
                0 => (Happening::Kill(gateway), Happening::Start(gateway)),
                1 => (Happening::Cut(gateway, true), Happening::Cut(gateway, false)),
                _ => (Happening::TurnAway(gateway, true), Happening::TurnAway(gateway, false)),
            };
            self.time.at(at, bad);
            self.time.at(back, good);
        }
    }
}
