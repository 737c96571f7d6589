//! What has recently run without a crash, and so is not poison, whatever else crashes around it.
//!
//! The failure this prevents: many callers send the same request, and all endpoints of a rack crash
//! at once. The request runs at each of them and is sent again into the next crash, while it runs
//! without fault everywhere else.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::direct::poison::fingerprint::Fingerprint;
use crate::message::Timestamp;

/// How long a completed run is valid as evidence: a later version of the endpoint's program may
/// crash on what the previous version ran.
const VALIDITY: Duration = Duration::from_secs(60);
/// How long after a recorded run another one of the same fingerprint is recorded.
const RECORD_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum number of runs that are recorded; bounds memory to 150 KB. A gateway that handles 20
/// requests per second, as one of 580 does at peak load, remembers the complete last minute.
const MAX_RECORDS: usize = 4_096;

/// Fingerprints that recently ran without a crash at one gateway.
#[derive(Debug, Default)]
pub struct Successes {
    completed_at: HashMap<Fingerprint, Timestamp, foldhash::fast::RandomState>,
    in_order: VecDeque<(Fingerprint, Timestamp)>,
}

impl Successes {
    /// Records a completed run.
    pub fn record(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        let previous = self.completed_at.get(&fingerprint);
        if previous.is_some_and(|at| now < *at + RECORD_INTERVAL) {
            return;
        }
        self.completed_at.insert(fingerprint, now);
        self.in_order.push_back((fingerprint, now));
        while self.in_order.len() > MAX_RECORDS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((fingerprint, at)) = self.in_order.pop_front() else {
            return;
        };
        if self.completed_at.get(&fingerprint) == Some(&at) {
            self.completed_at.remove(&fingerprint);
        }
    }

    /// Whether a fingerprint recently ran without a crash.
    pub fn contains(&self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        self.completed_at.get(&fingerprint).is_some_and(|at| now < *at + VALIDITY)
    }
}
