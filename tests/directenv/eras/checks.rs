//! Guarantees that are checked for each gateway that is in touch.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{DATA_CENTRES, ENDPOINTS, ENTRY_LIFETIME, Fleet, IN_TOUCH, State, Truth, name};

/// Time until a new version is in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time after which an endpoint that leaves gets no requests.
const DRAINED: Duration = Duration::from_secs(2);
/// Longest time for which a live endpoint may be unused: one heartbeat and its propagation.
const MAX_UNUSED: Duration = Duration::from_millis(2_200);
/// Time until an order is obeyed.
const ORDER_IN_FORCE: Duration = Duration::from_secs(5);

impl Fleet {
    pub(super) fn breach(&mut self, gateway: usize, what: String) {
        if self.seen.breaches.len() < 8 {
            self.seen.breaches.push(format!("{:?}: gateway {gateway} {what}", self.time.now));
        }
    }

    pub(super) fn check(&mut self) {
        let now = self.time.now;
        for gateway in 0..self.gateways.len() {
            let is_in_touch = now >= self.gateways[gateway].in_touch_from;
            if !is_in_touch || self.gateways[gateway].core.is_none() {
                self.unused_since.retain(|(of, _), _| *of != gateway);
                continue;
            }
            self.seen.checks += 1;
            self.check_version(gateway);
            self.check_endpoints(gateway);
        }
    }

    /// Whether a write must be in force by now, because the store has been available for long
    /// enough.
    fn is_due(&self, written: Duration, within: Duration) -> bool {
        let stable = self.returned + IN_TOUCH;
        !self.is_away && self.time.now >= written + within && self.time.now >= stable
    }

    fn check_version(&mut self, gateway: usize) {
        let (version, written) = self.version;
        let has = self.versions[gateway];
        if self.is_due(written, IN_FORCE) && has < version {
            self.breach(gateway, format!("has version {has}, {version} was written {written:?}"));
        }
    }

    fn check_endpoints(&mut self, gateway: usize) {
        let now = self.time.now;
        let Some(core) = self.gateways[gateway].core.as_ref() else {
            return;
        };
        let table = core.table();
        let used: BTreeSet<u16> = (0..ENDPOINTS)
            .filter(|number| table.endpoint(&name(*number)).is_some_and(|e| !e.leaving))
            .collect();
        for number in 0..ENDPOINTS {
            let Truth { state, since, taken, incarnation } = self.endpoints[usize::from(number)];
            let taken = taken.unwrap_or(Duration::MAX);
            let order = self.orders.get(&(number % DATA_CENTRES)).copied();
            let is_used = used.contains(&number);
            match order {
                Some((true, given)) if self.is_due(given, ORDER_IN_FORCE) && is_used => {
                    self.breach(gateway, format!("uses {number} against an order of {given:?}"));
                }
                Some((false, taken)) if now < taken + ORDER_IN_FORCE => continue,
                Some((true, _)) => continue,
                _ => {}
            }
            let is_over = |time: Duration| taken.checked_add(time).is_some_and(|at| now >= at);
            let has_left = state == State::Leaves && is_over(DRAINED);
            let has_ended = state == State::Ended && is_over(DRAINED);
            // Gateways keep what they had before the store returned; everything else is written
            // again.
            let was_heard = taken.checked_add(IN_FORCE).is_some_and(|at| at < self.returned);
            let is_settled = has_left && (was_heard || now >= self.returned + IN_TOUCH)
                || has_ended && now >= self.returned + IN_TOUCH + ENTRY_LIFETIME;
            if is_used && is_settled && !self.is_away {
                self.breach(
                    gateway,
                    format!("uses {number}, which left {since:?}, incarnation {incarnation}"),
                );
            }
            let owes_use = state == State::Lives && now >= since + IN_TOUCH;
            if is_used || !owes_use || self.is_away {
                self.unused_since.remove(&(gateway, number));
                continue;
            }
            let lost_since = *self.unused_since.entry((gateway, number)).or_insert(now);
            if now >= lost_since + MAX_UNUSED {
                self.breach(gateway, format!("has not used {number} since {lost_since:?}"));
            }
        }
    }
}
