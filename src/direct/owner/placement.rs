//! Where the pieces of a stage run: near the consumer of their results, or wherever an endpoint is
//! free.
//!
//! A piece with a preferred data centre waits for a call there as long as its request stays in time
//! with it. Results are large compared with what else is sent between data centres, and every piece
//! fetches all its inputs, so a stage that runs elsewhere transfers them many times over. A piece
//! that the calls nearby would make late takes an endpoint elsewhere. The estimate of the start
//! uses the expected ends of the calls in flight, the pieces ahead, and the size of a full call; it
//! costs at most as many steps as the data centre has slots.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::owner::calls::Call;
use crate::direct::owner::endpoints::Endpoints;
use crate::direct::published::model::{BatchSpec, Name};
use crate::direct::published::regions::AllowedRegions;
use crate::message::Timestamp;

/// Time by which a call may exceed its expected duration before it no longer counts as a call that
/// ends soon; the expected duration of a call is accurate to a few milliseconds unless its endpoint
/// is slow.
const MAX_OVERRUN: Duration = Duration::from_millis(50);

/// Minimum expected remaining time of a call: until it has ended, its endpoint is not free.
const MIN_REMAINING: Duration = Duration::from_millis(1);

/// Why a piece accepts an endpoint outside its preferred data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AwayReason {
    /// The calls nearby would make its request late, a call elsewhere does not.
    Late,
    /// The start nearby is more than a full call away: the piece accepts an endpoint elsewhere that
    /// nothing else needs, which would be idle otherwise.
    LongWait,
    /// No endpoint of the preferred data centre is in use, or the piece may not run there.
    NoEndpoint,
    /// Its request is late in any case, and the free endpoints nearby lack result memory.
    NoMemory,
}

impl AwayReason {
    /// The reason as text for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::LongWait => "long_wait",
            Self::NoEndpoint => "no_endpoint",
            Self::NoMemory => "no_memory",
        }
    }
}

/// Decides whether a piece waits for a call in its preferred data centre (`None`) or accepts an
/// endpoint elsewhere now.
///
/// A piece whose request is late in any case gains nothing elsewhere; it waits, too, unless the
/// wait is long.
///
/// `near_start` is the expected start of the call nearby, and `latest_start` the latest one with
/// which the request is in time if the piece's call holds nothing else.
pub fn away_reason(
    near_start: Option<Timestamp>,
    latest_start: Option<Timestamp>,
    spec: &BatchSpec,
    now: Timestamp,
) -> Option<AwayReason> {
    let Some(near_start) = near_start else {
        return Some(AwayReason::NoEndpoint);
    };
    if near_start <= now {
        return None;
    }
    if latest_start.is_some_and(|latest| near_start + shared_call_margin(spec) > latest) {
        return Some(AwayReason::Late);
    }
    (near_start > now + spec.full_call()).then_some(AwayReason::LongWait)
}

/// Time by which pieces of other requests can prolong a call.
fn shared_call_margin(spec: &BatchSpec) -> Duration {
    spec.piece_time * spec.pieces as u32
}

/// Time that `endpoints` endpoints need for `pieces` pieces in full calls: the wait that a new job
/// can expect in the pool of a data centre. The load of pools with calls of different sizes is
/// comparable only as time.
pub fn expected_wait(pieces: usize, endpoints: usize, spec: &BatchSpec) -> Duration {
    let per_round = endpoints.max(1) * spec.slots.max(1) as usize * spec.pieces.max(1);
    spec.full_call().mul_f64(pieces as f64 / per_round as f64)
}

/// Calls in flight of one pool, by data centre.
#[derive(Debug, Default)]
pub(super) struct CallsInFlight {
    /// Endpoints by the expected end and the number of their calls.
    by_data_centre: BTreeMap<Name, BTreeMap<(Timestamp, u64), Name>>,
}

impl CallsInFlight {
    pub(super) fn add(&mut self, id: u64, call: &Call) {
        let local = self.by_data_centre.entry(call.endpoint.data_centre.clone()).or_default();
        local.insert((call.expected_end(), id), call.endpoint.id.clone());
    }

    pub(super) fn remove(&mut self, id: u64, call: &Call) {
        let data_centre = &call.endpoint.data_centre;
        let Some(local) = self.by_data_centre.get_mut(data_centre) else {
            return;
        };
        local.remove(&(call.expected_end(), id));
        if local.is_empty() {
            self.by_data_centre.remove(data_centre);
        }
    }

    /// Expected ends, the earliest first, of the calls of one data centre after which their
    /// endpoints accept further ones.
    fn ends<'a>(
        &'a self,
        data_centre: &str,
        endpoints: &'a Endpoints,
        now: Timestamp,
    ) -> impl Iterator<Item = Timestamp> + 'a {
        let first = (now.saturating_sub(MAX_OVERRUN), 0);
        let calls = self.by_data_centre.get(data_centre).into_iter();
        let calls = calls.flat_map(move |local| local.range(first..));
        let calls = calls.filter(|(_, endpoint)| endpoints.is_in_use(endpoint));
        calls.map(move |((end, _), _)| (*end).max(now + MIN_REMAINING))
    }
}

/// Expected starts of the next calls in one data centre.
pub(super) struct NearStarts<'a> {
    spec: &'a BatchSpec,
    now: Timestamp,
    region: Option<&'a str>,
    /// Free result memory of the free endpoint with the most, in bytes.
    free_bytes: Option<u64>,
    /// Starts of the first calls of all slots, as far as they were needed.
    first_starts: Vec<Timestamp>,
    /// The further ones.
    further_starts: Box<dyn Iterator<Item = Timestamp> + 'a>,
    /// Number of calls that start within the duration of a full call.
    calls: usize,
}

impl<'a> NearStarts<'a> {
    pub(super) fn new(
        data_centre: &str,
        endpoints: &'a Endpoints,
        in_flight: &'a CallsInFlight,
        spec: &'a BatchSpec,
        now: Timestamp,
    ) -> Self {
        let free = endpoints.free_in(data_centre);
        let ends = in_flight.ends(data_centre, endpoints, now);
        let mut starts = std::iter::repeat_n(now, free).chain(ends);
        let calls = endpoints.count_in(data_centre) * spec.slots as usize;
        let first_starts = starts.next().into_iter().collect();
        let free_bytes = endpoints.most_free_in(data_centre, 0).map(|(bytes, _)| bytes);
        let region = endpoints.region_of(data_centre);
        Self {
            spec,
            now,
            region,
            free_bytes,
            first_starts,
            further_starts: Box::new(starts),
            calls: calls.max(1),
        }
    }

    /// Whether pieces with these allowed regions may run in the data centre.
    pub(super) fn is_allowed(&self, allowed_regions: &AllowedRegions) -> bool {
        allowed_regions.allows_region(self.region)
    }

    /// Whether an endpoint is free that has result memory for a piece of `bytes`.
    pub(super) fn is_free_for(&self, bytes: u64) -> bool {
        self.free_bytes.is_some_and(|free| free >= bytes)
    }

    /// Expected start of the piece that has `ahead` pieces ahead of it. Each slot runs full calls
    /// one after the other from its first start on.
    fn start(&mut self, ahead: usize) -> Option<Timestamp> {
        let call = ahead / self.spec.pieces.max(1);
        let missing = (call + 1).saturating_sub(self.first_starts.len());
        self.first_starts.extend(self.further_starts.by_ref().take(missing));
        let slots = self.first_starts.len();
        let first = *self.first_starts.get(call.checked_rem(slots)?)?;
        Some(first + self.spec.full_call() * (call / slots) as u32)
    }

    /// Why pieces accept an endpoint elsewhere, see [`away_reason`].
    pub(super) fn away_reason(
        &mut self,
        ahead: usize,
        bytes: u64,
        latest_start: Option<Timestamp>,
    ) -> Option<AwayReason> {
        let lacks_memory = self.free_bytes.is_some_and(|free| free < bytes);
        if lacks_memory && latest_start.is_none() {
            return Some(AwayReason::NoMemory);
        }
        // Memory is freed when the consumers of results have fetched them, a call later.
        let memory_at = if lacks_memory { self.now + self.spec.full_call() } else { self.now };
        let near_start = self.start(ahead).map(|start| start.max(memory_at));
        away_reason(near_start, latest_start, self.spec, self.now)
    }

    /// Whether the next calls hold `pieces` pieces, and all of them start early enough for pieces
    /// with this latest start.
    pub(super) fn all_wait(&self, latest_start: Timestamp, pieces: usize) -> bool {
        let in_next_calls = pieces <= self.calls * self.spec.pieces;
        let last_start = self.now + self.spec.full_call();
        let is_known = !self.first_starts.is_empty();
        is_known && in_next_calls && last_start + shared_call_margin(self.spec) <= latest_start
    }
}
