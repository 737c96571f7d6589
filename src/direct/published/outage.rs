//! Detects endpoint entries that expired because the publisher was unavailable.
//!
//! An endpoint renews its entry with the publisher. While the publisher is unavailable, entries of
//! healthy endpoints expire; they are restored within about two seconds of its return. Until then
//! such an endpoint remains usable; one whose entry is still missing afterwards is removed.

use std::time::Duration;

use crate::message::Timestamp;

/// Time after the publisher's return, or after many entries expired at once, within which entries
/// are restored.
const RESTORED_WITHIN: Duration = Duration::from_secs(2);
/// Entries outlive outages of the publisher that are shorter than this.
const MIN_OUTAGE: Duration = Duration::from_secs(2);
/// Fewer entries that are removed at once do not indicate an outage.
const MIN_SIMULTANEOUS: usize = 4;

/// Outages of the publisher, as observed by this process.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outage {
    since: Option<Timestamp>,
    /// End of the last outage that was long enough for entries to expire.
    ended_at: Option<Timestamp>,
}

impl Outage {
    /// Records whether the publisher responds.
    pub fn set_publisher_available(&mut self, available: bool, now: Timestamp) {
        if !available {
            self.since.get_or_insert(now);
            return;
        }
        if let Some(since) = self.since.take()
            && now >= since + MIN_OUTAGE
        {
            self.ended_at = Some(now);
        }
    }

    /// Returns the time until which entries are retained although the publisher reports them as
    /// removed, `removed` of `listed` ones at once. `None` if the endpoints have left.
    pub fn retained_until(
        &self,
        removed: usize,
        listed: usize,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let restored_by = self.ended_at.map(|at| at + RESTORED_WITHIN).filter(|until| now < *until);
        let many_at_once = removed >= MIN_SIMULTANEOUS && removed * 2 >= listed;
        restored_by.or_else(|| many_at_once.then(|| now + RESTORED_WITHIN))
    }
}
