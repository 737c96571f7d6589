//! The places that an owner keeps for callers that it has refused.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::published::model::Name;
use crate::message::Timestamp;
use crate::policy::path::Reserved;
use crate::policy::places::{
    Amount, Booking, Calendar, Capacity, Demand, EARLY_MARGIN, Shares, TOLERANCE, first_fit,
};

/// Maximum number of places; bounds their memory to about 1 MB. With 500 refusals a second, those
/// of the longest wait fit.
pub(super) const MAX_PLACES: usize = 2_048;

/// How a place ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlaceOutcome {
    /// The caller returned in time and its request was admitted.
    Used,
    /// The caller returned in time and there was no capacity.
    Refused,
    /// The request was admitted before the place was due.
    Early,
    /// The request was admitted in another cell.
    Elsewhere,
    /// The caller did not return in time.
    Unused,
    /// The place can't be kept: the owner stops, or a pool has no endpoint left.
    Released,
}

impl PlaceOutcome {
    /// Name in log lines and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Used => "used",
            Self::Refused => "refused",
            Self::Early => "early",
            Self::Elsewhere => "elsewhere",
            Self::Unused => "unused",
            Self::Released => "released",
        }
    }
}

/// What a request needs of one pool, and what the pool has.
#[derive(Debug, Clone)]
pub(super) struct Need {
    pub(super) pool: Name,
    pub(super) demand: Demand,
    pub(super) capacity: Capacity,
    /// Time between the ends of two calls, at which capacity becomes free.
    pub(super) call_interval: Duration,
}

/// A refused request for which a place is wanted.
#[derive(Debug, Clone)]
pub(super) struct Wish {
    pub(super) fingerprint: Fingerprint,
    pub(super) organisation: Option<Name>,
    pub(super) level: u8,
    pub(super) needs: Vec<Need>,
    /// Time when capacity is expected to be free, without the places.
    pub(super) from: Timestamp,
    /// Latest time at which the caller can return.
    pub(super) until: Timestamp,
}

/// Capacity that is kept for one refused request.
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub(super) fingerprint: Fingerprint,
    pub(super) organisation: Option<Name>,
    pub(super) booked_at: Timestamp,
    /// Time at which the caller is expected.
    pub(super) time: Timestamp,
    share: f64,
    bookings: Vec<(Name, Booking)>,
}

impl Place {
    /// Time until which the place is kept.
    pub(super) fn expires_at(&self) -> Timestamp {
        self.time + TOLERANCE
    }

    /// Capacity of a pool that the place reserves at `now` against new callers of a level.
    pub(super) fn reserved(&self, pool: &str, level: u8, now: Timestamp) -> Amount {
        let mut reserved = Amount::default();
        for (_, booking) in self.bookings.iter().filter(|(name, _)| &**name == pool) {
            reserved.add(booking.reserved(level, now));
        }
        reserved
    }

    pub(super) fn uses(&self, pool: &str) -> bool {
        self.bookings.iter().any(|(name, _)| &**name == pool)
    }
}

/// All open places, with their totals by pool and by organisation.
#[derive(Debug, Default)]
pub(super) struct Places {
    open: HashMap<Fingerprint, Place>,
    calendars: HashMap<Name, Calendar>,
    shares: Shares<Option<Name>>,
}

impl Places {
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub(super) fn open(&self) -> impl Iterator<Item = &Place> {
        self.open.values()
    }

    /// The time of a place that is not due yet.
    pub(super) fn time_of(&self, fingerprint: Fingerprint) -> Option<Timestamp> {
        self.open.get(&fingerprint).map(|place| place.time)
    }

    /// Time until which a place is kept.
    pub(super) fn expires_at(&self, fingerprint: Fingerprint) -> Option<Timestamp> {
        self.open.get(&fingerprint).map(Place::expires_at)
    }

    /// Removes a place that is due, and keeps its capacity as used.
    pub(super) fn take_due(&mut self, fingerprint: Fingerprint, now: Timestamp) -> Option<Place> {
        let place = self.open.get(&fingerprint)?;
        if now + EARLY_MARGIN < place.time || now > place.expires_at() {
            return None;
        }
        let place = self.open.remove(&fingerprint)?;
        for (pool, booking) in &place.bookings {
            if let Some(calendar) = self.calendars.get_mut(pool) {
                calendar.mark_used(*booking);
            }
        }
        self.shares.release(&place.organisation, place.share, now);
        Some(place)
    }

    /// Removes a place that was not used, and releases its capacity.
    pub(super) fn release(&mut self, fingerprint: Fingerprint, now: Timestamp) -> Option<Place> {
        let place = self.open.remove(&fingerprint)?;
        for (pool, booking) in &place.bookings {
            if let Some(calendar) = self.calendars.get_mut(pool) {
                calendar.release(*booking);
            }
        }
        self.shares.release(&place.organisation, place.share, now);
        Some(place)
    }

    /// Removes all places.
    pub(super) fn clear(&mut self) -> Vec<Place> {
        let open = std::mem::take(self).open;
        open.into_values().collect()
    }

    /// Books a place for a refused request that has none, and returns its time; `None` if there is
    /// no place that its caller can wait for.
    pub(super) fn book(&mut self, wish: Wish, now: Timestamp) -> Option<Timestamp> {
        for need in &wish.needs {
            self.calendars.entry(need.pool.clone()).or_default().forget_before(now);
        }
        let shares = wish.needs.iter().map(|need| need.capacity.share_of(need.demand));
        let share = shares.fold(0.0, f64::max);
        let wait = wish.until.saturating_sub(now);
        let is_fair = self.shares.request(&wish.organisation, share, wait, now);
        if !is_fair || self.open.len() >= MAX_PLACES {
            return None;
        }
        let demands = wish.needs.iter().filter_map(|need| {
            Some((self.calendars.get(&need.pool)?, need.demand, &need.capacity))
        });
        let demands: Vec<_> = demands.collect();
        let (time, bookings) = first_fit(&demands, wish.level, wish.from, wish.until)?;
        let pools = wish.needs.into_iter().map(|need| need.pool);
        let bookings: Vec<_> = pools.zip(bookings).collect();
        for (pool, booking) in &bookings {
            if let Some(calendar) = self.calendars.get_mut(pool) {
                calendar.book(*booking);
            }
        }
        self.shares.book(&wish.organisation, share);
        let Wish { fingerprint, organisation, .. } = wish;
        let place = Place { fingerprint, organisation, booked_at: now, time, share, bookings };
        self.open.insert(fingerprint, place);
        Some(time)
    }

    /// Capacity of a pool that is reserved against new callers of a level.
    pub(super) fn reserved(&self, pool: &str, level: u8, now: Timestamp) -> Reserved {
        let calendar = self.calendars.get(pool);
        let reserved = calendar.map(|c| c.reserved(level, now)).unwrap_or_default();
        Reserved { slot_time: reserved.slot_time, memory: reserved.memory as f64 }
    }
}
