//! Detects endpoint entries that expired because the publisher was unavailable.
//!
//! An endpoint renews its entry with the publisher. While the publisher is unavailable, entries of
//! healthy endpoints expire; they are restored within about two seconds of its return. Until then
//! such an endpoint remains usable; one whose entry is still missing afterwards is removed.

use std::time::Duration;

use crate::message::Timestamp;

/// Time after the publisher's return, or after many entries expired at once, within which entries
/// are restored.
const BACK_WITHIN: Duration = Duration::from_secs(2);
/// Entries outlive outages of the publisher that are shorter than this.
const SHORTEST_ABSENCE: Duration = Duration::from_secs(2);
/// Fewer entries that are removed at once do not indicate an outage.
const FEWEST_AT_ONCE: usize = 4;

/// Outages of the publisher, as observed by this process.
#[derive(Debug, Default, Clone, Copy)]
pub struct Absence {
    since: Option<Timestamp>,
    /// End of the last outage that was long enough for entries to expire.
    returned: Option<Timestamp>,
}

impl Absence {
    /// Records whether the publisher responds.
    pub fn publisher(&mut self, answers: bool, now: Timestamp) {
        if !answers {
            self.since.get_or_insert(now);
            return;
        }
        if let Some(since) = self.since.take()
            && now >= since + SHORTEST_ABSENCE
        {
            self.returned = Some(now);
        }
    }

    /// Returns the time until which entries are retained although the publisher reports them as
    /// removed, `gone` of `listed` ones at once. `None` if the endpoints have left.
    pub fn held_until(&self, gone: usize, listed: usize, now: Timestamp) -> Option<Timestamp> {
        let returned = self.returned.map(|at| at + BACK_WITHIN).filter(|until| now < *until);
        let many_at_once = gone >= FEWEST_AT_ONCE && gone * 2 >= listed;
        returned.or_else(|| many_at_once.then(|| now + BACK_WITHIN))
    }
}
