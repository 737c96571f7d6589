//! Endpoints that asked this gateway to send nothing for a while.
//!
//! An endpoint that turns a request away may say for how long it wants nothing from the gateway that asked. It holds
//! for each gateway by itself, for all that goes to that endpoint (requests, pieces, reports, results to be freed,
//! probes), and for the life that said so: it ends with its time or with another life, and nothing that
//! is answered meanwhile shortens it. A gateway that starts knows of none.
//!
//! Its end is no time for all to come back at: gateways add a part of their own, and each fills the endpoint by
//! degrees ([`crate::direct::requests::ramp`]).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::direct::published::model::{Endpoint, Name};
use crate::direct::statement::Backoff;
use crate::message::Timestamp;

/// What an endpoint gets that asked for a time which can't be read: the shortest in whole seconds.
const UNCLEAR: Duration = Duration::from_secs(1);
/// No endpoint is left alone for longer because it said so once: nobody sheds load for an hour, and an endpoint that
/// states a date in seconds would be lost to this gateway until either starts again.
const LONGEST: Duration = Duration::from_secs(3_600);
/// Of the time that is asked for, up to so much is added, another part for each gateway and endpoint: an endpoint
/// that turned 100 gateways away in one second gets them back over as much again as a quarter of its pause.
const SPREAD: f64 = 0.25;
/// And no more than that.
const LONGEST_SPREAD: Duration = Duration::from_secs(1);
/// Endpoints that are kept at most; bounds memory. In two years 3,000 are expected.
const MOST: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Pause {
    incarnation: u64,
    until: Timestamp,
}

/// The endpoints that one gateway leaves alone.
#[derive(Debug, Clone)]
pub struct Backoffs {
    /// Sets this gateway's part of the spread apart from others'.
    seed: u64,
    endpoints: HashMap<Name, Pause>,
}

impl Backoffs {
    /// None is known to the gateway of this address.
    pub fn new(own: SocketAddr) -> Self {
        Self { seed: xxh3_64(own.to_string().as_bytes()), endpoints: HashMap::new() }
    }

    /// An endpoint asked for a pause in an answer that was read at a time; says until when it is left alone, where
    /// that is later than was known.
    pub fn asked(
        &mut self,
        endpoint: &Endpoint,
        backoff: Backoff,
        at: Timestamp,
    ) -> Option<Timestamp> {
        let asked = match backoff {
            Backoff::For(time) => time.min(LONGEST),
            Backoff::Unclear => UNCLEAR,
        };
        if asked.is_zero() {
            return None;
        }
        let until = at + asked + self.spread(endpoint, asked);
        let known = self.endpoints.get(&endpoint.id);
        if known.is_some_and(|k| k.incarnation == endpoint.incarnation && k.until >= until) {
            return None;
        }
        self.make_room(at);
        let pause = Pause { incarnation: endpoint.incarnation, until };
        self.endpoints.insert(endpoint.id.clone(), pause);
        Some(until)
    }

    /// What this gateway adds to a pause.
    fn spread(&self, endpoint: &Endpoint, asked: Duration) -> Duration {
        let drawn = xxh3_64_with_seed(endpoint.id.as_bytes(), self.seed) as f64 / u64::MAX as f64;
        asked.mul_f64(SPREAD).min(LONGEST_SPREAD).mul_f64(drawn)
    }

    /// Forgets pauses that are over, and the one that ends first where there are too many.
    fn make_room(&mut self, now: Timestamp) {
        if self.endpoints.len() < MOST {
            return;
        }
        self.endpoints.retain(|_, pause| now < pause.until);
        let first = self.endpoints.iter().min_by_key(|(id, pause)| (pause.until, (*id).clone()));
        if let Some(first) =
            first.map(|(id, _)| id.clone()).filter(|_| self.endpoints.len() >= MOST)
        {
            self.endpoints.remove(&first);
        }
    }

    /// Until when an endpoint is left alone; `None` if it is not.
    pub fn until(&self, endpoint: &Endpoint, now: Timestamp) -> Option<Timestamp> {
        let pause = self.endpoints.get(&endpoint.id)?;
        (pause.incarnation == endpoint.incarnation && now < pause.until).then_some(pause.until)
    }

    /// How many pauses are kept.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
