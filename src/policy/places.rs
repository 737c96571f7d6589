//! Arithmetic of places: capacity that is kept for callers that were refused and return later.
//!
//! A place is booked in the calendar of each pool that the request needs. Bookings stay within a
//! share of the pool's throughput and result memory, so that a caller that returns at its time
//! finds capacity. All amounts are integers: removing a booking restores the totals exactly.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use crate::message::Timestamp;
use crate::policy::path::PLANNED_MEMORY_SHARE;
use crate::policy::timeline::Timeline;

/// Length of one step of a calendar.
pub const STEP: Duration = Duration::from_millis(100);
/// Time until a caller without a place should return. A caller waits at most a third of its time,
/// and requests with stages time out after 8 to 12 s: it returns only if it can wait longer.
pub const HORIZON: Duration = Duration::from_secs(4);
/// Longest wait for a place. A longer queue of places serves no more callers, only later ones: each
/// then waits for the whole queue, and more of the forecasts turn out wrong.
pub const MAX_WAIT: Duration = Duration::from_secs(1);
/// Share of a pool's slot time that may be booked. New callers can still be served within their
/// objective, while those that return have lost the time until then; most of the capacity is left
/// to the former.
pub const SLOT_SHARE: f64 = 0.25;
/// Share of a pool's result memory that may be booked: a quarter of what admission plans for.
pub const MEMORY_SHARE: f64 = 0.175;
/// Time over which the rate is measured at which an organisation asks for places. It is a fraction
/// of [`HORIZON`], so that a burst does not take the places of others before its rate is known.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Time before a place from which its slot time is reserved against new callers: about one call,
/// so that each slot becomes free once.
pub const LEAD: Duration = Duration::from_millis(300);
/// Time before a place from which its result memory is reserved: results that are planned earlier
/// are no longer kept when the place is due. They are kept for a call and the wait for the next.
pub const MEMORY_LEAD: Duration = Duration::from_millis(500);
/// How much earlier than its time a place may be used: callers may round their delay.
pub const EARLY_MARGIN: Duration = Duration::from_millis(50);
/// How long a place is kept after its time: a caller connects again, and its gateway may be busy.
/// Capacity for a caller that does not return is kept from others as long.
pub const TOLERANCE: Duration = Duration::from_millis(300);

/// Capacity of one pool that a request uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount {
    /// Slot time of its pieces.
    pub slot_time: Duration,
    /// Bytes of its results.
    pub memory: u64,
}

impl Amount {
    /// Adds another amount.
    pub fn add(&mut self, other: Self) {
        self.slot_time += other.slot_time;
        self.memory += other.memory;
    }

    fn subtract(&mut self, other: Self) {
        self.slot_time = self.slot_time.saturating_sub(other.slot_time);
        self.memory = self.memory.saturating_sub(other.memory);
    }

    fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// What a request needs of one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Slot time and result memory.
    pub amount: Amount,
    /// How long the results are kept.
    pub hold: Duration,
}

/// What a pool has.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    /// Number of calls that run concurrently.
    pub slots: f64,
    /// Result memory in bytes.
    pub memory: f64,
    /// Result memory that admitted work is expected to use over time, from [`Self::now`] on.
    pub in_use: Arc<Timeline>,
    /// Time of the forecast.
    pub now: Timestamp,
}

impl Capacity {
    /// Slot time of one step that may be booked.
    fn bookable_slot_time(&self) -> Duration {
        STEP.mul_f64((self.slots * SLOT_SHARE).max(0.0))
    }

    /// Result memory that may be booked for a demand from `time` on: a share of all
    /// of it, or the demand if that is larger, and no more than admitted work leaves.
    fn bookable_memory(&self, demand: Demand, time: Timestamp) -> f64 {
        let share = (self.memory * MEMORY_SHARE).max(demand.amount.memory as f64);
        let in_use = self.in_use.peak(time.saturating_sub(self.now), demand.hold);
        share.min(self.memory.mul_add(PLANNED_MEMORY_SHARE, -in_use))
    }

    /// Share of what may be booked within [`HORIZON`] that a demand takes.
    pub fn share_of(&self, demand: Demand) -> f64 {
        let slot_time = HORIZON.mul_f64((self.slots * SLOT_SHARE).max(0.01));
        let by_time = demand.amount.slot_time.div_duration_f64(slot_time);
        let memory = (self.memory * MEMORY_SHARE).max(1.0);
        let by_memory = demand.amount.memory as f64 / memory;
        by_time.max(by_memory * demand.hold.div_duration_f64(HORIZON))
    }
}

/// Booking of one place in one calendar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Booking {
    step: u64,
    /// Number of steps over which the slot time is spread.
    slot_steps: u64,
    /// Number of steps in which the results are kept.
    memory_steps: u64,
    amount: Amount,
    level: u8,
}

/// Booked places of one pool.
#[derive(Debug, Default)]
pub struct Calendar {
    /// Capacity in use by step, of open and of used places.
    booked: BTreeMap<u64, Amount>,
    /// Capacity of open places by level and by the step in which they are due.
    open: BTreeMap<u8, BTreeMap<u64, Amount>>,
}

/// The step that contains a time.
const fn step_at(time: Timestamp) -> u64 {
    (time.as_millis() / STEP.as_millis()) as u64
}

/// The part of the open places of a step that is reserved at `now`.
fn due_part(amount: Amount, step: u64, now: Timestamp) -> Amount {
    let has_slot_time = step <= step_at(now + LEAD);
    let has_memory = step <= step_at(now + MEMORY_LEAD);
    Amount {
        slot_time: if has_slot_time { amount.slot_time } else { Duration::ZERO },
        memory: if has_memory { amount.memory } else { 0 },
    }
}

fn add(totals: &mut BTreeMap<u64, Amount>, step: u64, amount: Amount) {
    totals.entry(step).or_default().add(amount);
}

fn subtract(totals: &mut BTreeMap<u64, Amount>, step: u64, amount: Amount) {
    if let Some(total) = totals.get_mut(&step) {
        total.subtract(amount);
        if total.is_zero() {
            totals.remove(&step);
        }
    }
}

impl Calendar {
    /// The booking of a demand in the step that contains `time`, if it fits.
    pub fn fit(
        &self,
        time: Timestamp,
        demand: Demand,
        capacity: &Capacity,
        level: u8,
    ) -> Option<Booking> {
        let bookable = capacity.bookable_slot_time();
        if bookable.is_zero() {
            return None;
        }
        let amount = demand.amount;
        let slot_steps = amount.slot_time.div_duration_f64(bookable).ceil().max(1.0) as u64;
        let memory_steps = demand.hold.div_duration_f64(STEP).ceil().max(1.0) as u64;
        let booking = Booking { step: step_at(time), slot_steps, memory_steps, amount, level };
        let bookable_memory = capacity.bookable_memory(demand, time);
        let mut parts = booking.parts();
        let fits = parts.all(|(step, part)| {
            let booked = self.booked.get(&step).copied().unwrap_or_default();
            booked.slot_time + part.slot_time <= bookable
                && (booked.memory + part.memory) as f64 <= bookable_memory
        });
        fits.then_some(booking)
    }

    /// Share of a step's slot time that is booked.
    fn fill(&self, step: u64, capacity: &Capacity) -> f64 {
        let booked = self.booked.get(&step).copied().unwrap_or_default();
        let bookable = capacity.bookable_slot_time().max(Duration::from_millis(1));
        booked.slot_time.div_duration_f64(bookable).min(1.0)
    }

    /// Books a place.
    pub fn book(&mut self, booking: Booking) {
        for (step, part) in booking.parts() {
            add(&mut self.booked, step, part);
        }
        add(self.open.entry(booking.level).or_default(), booking.step, booking.amount);
    }

    /// The caller of a place has returned: its capacity is in use, but not reserved any more.
    pub fn mark_used(&mut self, booking: Booking) {
        if let Some(open) = self.open.get_mut(&booking.level) {
            subtract(open, booking.step, booking.amount);
        }
    }

    /// Releases a place that was not used.
    pub fn release(&mut self, booking: Booking) {
        self.mark_used(booking);
        for (step, part) in booking.parts() {
            subtract(&mut self.booked, step, part);
        }
    }

    /// Capacity that is reserved at `now` against new callers of a level: open places of the
    /// same or a more urgent level that are due.
    pub fn reserved(&self, level: u8, now: Timestamp) -> Amount {
        let mut reserved = Amount::default();
        for open in self.open.range(..=level).map(|(_, open)| open) {
            for (step, amount) in open.range(..=step_at(now + MEMORY_LEAD)) {
                reserved.add(due_part(*amount, *step, now));
            }
        }
        reserved
    }

    /// Forgets the steps before `now`.
    pub fn forget_before(&mut self, now: Timestamp) {
        self.booked = self.booked.split_off(&step_at(now));
    }
}

impl Booking {
    /// Capacity that this open place reserves at `now` against new callers of a level.
    pub fn reserved(self, level: u8, now: Timestamp) -> Amount {
        let is_ahead = self.level <= level;
        if is_ahead { due_part(self.amount, self.step, now) } else { Amount::default() }
    }

    /// The booked amounts by step.
    fn parts(self) -> impl Iterator<Item = (u64, Amount)> {
        let slot_time = self.amount.slot_time / self.slot_steps as u32;
        (0..self.slot_steps.max(self.memory_steps)).map(move |index| {
            let slot_time = if index < self.slot_steps { slot_time } else { Duration::ZERO };
            let memory = if index < self.memory_steps { self.amount.memory } else { 0 };
            (self.step + index, Amount { slot_time, memory })
        })
    }
}

/// The earliest time within `from..=until` at which every demand fits into its calendar, with the
/// bookings in the order of the demands. Places of one step are spread over it.
pub fn first_fit(
    demands: &[(&Calendar, Demand, &Capacity)],
    level: u8,
    from: Timestamp,
    until: Timestamp,
) -> Option<(Timestamp, Vec<Booking>)> {
    (step_at(from)..=step_at(until)).find_map(|step| {
        let start = STEP * step as u32;
        let fits =
            demands.iter().map(|(c, demand, capacity)| c.fit(start, *demand, capacity, level));
        let bookings: Vec<Booking> = fits.collect::<Option<_>>()?;
        let fill = demands.iter().map(|(c, _, capacity)| c.fill(step, capacity));
        let time = start + STEP.mul_f64(fill.fold(0.0, f64::max));
        Some((time.max(from), bookings)).filter(|(time, _)| *time <= until)
    })
}

/// Largest amount that each of several parties may have if `capacity` is shared by max-min
/// fairness: those that want less get what they want, the others equal parts of the rest.
/// Infinite if all get what they want.
pub fn fair_share(mut wants: Vec<f64>, capacity: f64) -> f64 {
    wants.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, want) in wants.iter().enumerate() {
        let equal = left / (wants.len() - index) as f64;
        if *want > equal {
            return equal;
        }
        left -= want;
    }
    f64::INFINITY
}

/// What one organisation asks for and has booked, as shares of what may be booked within
/// [`HORIZON`].
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    /// Window to which `wanted` belongs.
    window: u64,
    wanted: f64,
    wanted_before: f64,
    booked: f64,
}

impl Share {
    fn enter(&mut self, window: u64) {
        if window > self.window {
            self.wanted_before = if window == self.window + 1 { self.wanted } else { 0.0 };
            self.wanted = 0.0;
            self.window = window;
        }
    }

    /// What would be wanted within [`HORIZON`] at the rate of the last [`RATE_WINDOW`].
    fn rate(mut self, now: Timestamp) -> f64 {
        self.enter(window_at(now));
        let passed = now.div_duration_f64(RATE_WINDOW).fract();
        let wanted = self.wanted_before.mul_add(1.0 - passed, self.wanted);
        wanted * HORIZON.div_duration_f64(RATE_WINDOW)
    }
}

fn window_at(now: Timestamp) -> u64 {
    now.div_duration_f64(RATE_WINDOW) as u64
}

/// Distribution of places among organisations.
///
/// Shares are max-min fair. With a fixed share for each organisation, places would stay empty
/// while one organisation alone has a burst, and many organisations would exceed the capacity.
#[derive(Debug)]
pub struct Shares<K> {
    shares: HashMap<K, Share>,
}

impl<K> Default for Shares<K> {
    fn default() -> Self {
        Self { shares: HashMap::new() }
    }
}

impl<K: Hash + Eq + Clone> Shares<K> {
    /// Records that an organisation wants a place within `wait`, and returns whether it may book
    /// one: it may not have more than its fair share while other organisations want places.
    pub fn request(
        &mut self,
        organisation: &K,
        share: f64,
        wait: Duration,
        now: Timestamp,
    ) -> bool {
        let entry = self.shares.entry(organisation.clone()).or_default();
        entry.enter(window_at(now));
        entry.wanted += share;
        let booked = entry.booked;
        let bookable = wait.div_duration_f64(HORIZON).min(1.0);
        let wants = self.shares.values().map(|s| (s.rate(now) * bookable).max(s.booked));
        booked + share <= fair_share(wants.collect(), bookable).max(share)
    }

    /// Records that an organisation has booked a place.
    pub fn book(&mut self, organisation: &K, share: f64) {
        self.shares.entry(organisation.clone()).or_default().booked += share;
    }

    /// Records that a place of an organisation has ended, and forgets the organisations that have
    /// wanted none for some time.
    pub fn release(&mut self, organisation: &K, share: f64, now: Timestamp) {
        if let Some(entry) = self.shares.get_mut(organisation) {
            entry.booked = (entry.booked - share).max(0.0);
        }
        let window = window_at(now);
        self.shares.retain(|_, s| s.booked > f64::EPSILON || s.window + 1 >= window);
    }
}
