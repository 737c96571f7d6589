//! Jitter that is added to the times after which refused callers should retry, so that callers
//! refused together don't return together.

use std::collections::HashSet;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::direct::event::{Action, Refusal, Refused};
use crate::direct::peers::message::JobReason;

/// Maximum jitter, as a share of the time.
const MAX_JITTER_SHARE: f64 = 0.5;
/// Upper bound of the jitter if all endpoints are paused or rate-limited. Without it callers would
/// wait up to half a pause longer, though the gradual refill limits the load.
const MAX_PAUSE_JITTER: Duration = Duration::from_millis(500);
/// Upper bound of the jitter of a time that an owner chose. Owners spread the times of callers
/// themselves, and may keep a place until shortly after the time.
const MAX_OWNER_JITTER: Duration = Duration::from_millis(20);

/// The refusals whose times were chosen by an owner.
#[derive(Debug, Default)]
pub(super) struct RetryJitter {
    callers: HashSet<u64>,
}

impl RetryJitter {
    /// Records that an owner refused a caller's job; for lack of capacity it chooses the time.
    pub(super) fn owner_refused(&mut self, caller: u64, reason: JobReason) {
        if matches!(reason, JobReason::WouldBeLate | JobReason::NoRoom) {
            self.callers.insert(caller);
        }
    }

    /// Adds jitter to the times of all refusals among the actions.
    pub(super) fn add(&mut self, actions: &mut [Action], rng: &mut impl Rng) {
        for action in actions {
            if let Action::Refuse { caller, refusal } = action {
                let share = rng.random_range(0.0..MAX_JITTER_SHARE);
                let jitter = refusal.retry_after.mul_f64(share);
                refusal.retry_after += jitter.min(self.bound(*caller, refusal));
            }
        }
        self.callers.clear();
    }

    fn bound(&self, caller: u64, refusal: &Refusal) -> Duration {
        match refusal.reason {
            Refused::AllPaused | Refused::AllLimited | Refused::NoEndpoint => MAX_PAUSE_JITTER,
            Refused::Overloaded if self.callers.contains(&caller) => MAX_OWNER_JITTER,
            _ => Duration::MAX,
        }
    }
}
