//! What has run well lately, so that it is no poison whatever crashes around it.
//!
//! The pattern: many callers ask the same, and endpoints crash by the rack. Some of the same content is at work at
//! each of them, and comes again into the next crash, while it runs well everywhere else.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::direct::poison::fingerprint::Fingerprint;
use crate::message::Timestamp;

/// A run that ended well speaks for its content for so long: a later version of an endpoint's program may crash under
/// what the one before ran.
const SPEAKS_FOR: Duration = Duration::from_secs(60);
/// A content that runs well again is entered anew only after so long.
const ENTERED_ANEW_AFTER: Duration = Duration::from_secs(20);
/// Contents that are remembered; bounds memory to 150 KB. A gateway that answers 20 requests a second, as one of
/// 580 does at the peak, remembers all of a minute.
const MOST: usize = 4_096;

/// Contents that ran well lately at one gateway.
#[derive(Debug, Default)]
pub struct Successes {
    ran_at: HashMap<Fingerprint, Timestamp, foldhash::fast::RandomState>,
    in_order: VecDeque<(Fingerprint, Timestamp)>,
}

impl Successes {
    /// A content ran well.
    pub fn ran(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        let before = self.ran_at.get(&fingerprint);
        if before.is_some_and(|at| now < *at + ENTERED_ANEW_AFTER) {
            return;
        }
        self.ran_at.insert(fingerprint, now);
        self.in_order.push_back((fingerprint, now));
        while self.in_order.len() > MOST {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((fingerprint, at)) = self.in_order.pop_front() else {
            return;
        };
        if self.ran_at.get(&fingerprint) == Some(&at) {
            self.ran_at.remove(&fingerprint);
        }
    }

    /// Whether a content ran well lately.
    pub fn has(&self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        self.ran_at.get(&fingerprint).is_some_and(|at| now < *at + SPEAKS_FOR)
    }
}
