//! Whether this gateway reads the publisher's store itself or follows its peers.
//!
//! Each call to the store has a cost, so only a few gateways of each data centre read it; the
//! others receive the documents from peers. Each heartbeat states how long ago the sender's
//! documents were known to be current, so a gateway notices when no reader succeeds any more, and
//! reads by itself.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::direct::core::GatewayCore;
use crate::direct::event::Action;
use crate::direct::log_events::{LogEvent, StoreReadingChange, ms};
use crate::message::Timestamp;

/// Age of the documents from which a gateway reads the store although others should. Readers end a
/// watch at least every 2 s each.
const STALE_AFTER: Duration = Duration::from_secs(5);
/// Random delay beyond [`STALE_AFTER`], and between two failed reads, per gateway: the documents of
/// all gateways become stale together, and one successful read suffices.
const DELAY_PER_GATEWAY: Duration = Duration::from_millis(100);
/// Maximum of the delay beyond [`STALE_AFTER`].
const MAX_DELAY: Duration = Duration::from_secs(4);
/// Age of the documents from which the store counts as unavailable for a gateway that follows its
/// peers.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(2);
/// Time for which a gateway's reads fail before other gateways are preferred as readers.
const FAILS_AFTER: Duration = Duration::from_secs(1);
/// Time for which other gateways are preferred then.
const FAILURE_RETENTION: Duration = Duration::from_secs(10);

/// Time for which a gateway waits for other members at the first start of the group.
const FIRST_START_WAIT: Duration = Duration::from_secs(1);

/// Why a gateway reads the store, or does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// It lacks a configuration or a complete list.
    Starting,
    /// It lacks them at the first start of the group, and waits for the readers.
    Waits,
    /// It is one of the readers of its data centre.
    Reader,
    /// No reader is known to have succeeded lately.
    Stale,
    /// Other gateways read for it.
    Follows,
}

impl Cause {
    const fn store_use(self) -> StoreUse {
        match self {
            Self::Starting | Self::Reader | Self::Stale => StoreUse::Watch,
            Self::Waits | Self::Follows => StoreUse::Follow,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Waits => "waits",
            Self::Reader => "reader",
            Self::Stale => "stale",
            Self::Follows => "follows",
        }
    }
}

/// How a gateway uses the publisher's store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreUse {
    /// It reads each part and watches for changes.
    #[default]
    Watch,
    /// It makes no calls; its peers send what changes.
    Follow,
}

/// Part of the store that is followed with calls of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorePart {
    /// The operator's documents.
    Operator,
    /// The list of endpoints.
    Endpoints,
}

/// When the documents were last known to be current, and whether this gateway reads the store.
#[derive(Debug)]
pub struct StoreReading {
    /// Time of the last successful own call for each part.
    own: [Option<Timestamp>; 2],
    started_at: Option<Timestamp>,
    /// Time at which the documents were last known to be current.
    current_at: Option<Timestamp>,
    /// Share of the random delay, drawn whenever `current_at` moves.
    delay_share: f64,
    /// Time since which own reads fail; kept for [`FAILURE_RETENTION`] after other gateways read.
    failing_since: Option<Timestamp>,
    cause: Cause,
    /// Whether this gateway is a reader by rank, and the numbers of changes to the members and to
    /// their builds that this includes.
    is_reader: (Option<(u64, u64)>, bool),
}

impl StoreReading {
    /// Creates the state of a gateway that starts; `is_first_start` is whether the whole group
    /// starts for the first time. There are no callers yet, so only the readers need to read the
    /// store.
    pub(super) const fn new(is_first_start: bool) -> Self {
        Self {
            own: [None; 2],
            started_at: None,
            current_at: None,
            delay_share: 0.0,
            failing_since: None,
            cause: if is_first_start { Cause::Waits } else { Cause::Starting },
            is_reader: (None, true),
        }
    }

    /// Records that the documents of this gateway were current at a time.
    pub(super) fn record(&mut self, at: Timestamp, rng: &mut impl Rng) {
        if self.current_at.is_none_or(|before| before < at) {
            self.current_at = Some(at);
            self.delay_share = rng.random_range(0.0..1.0);
        }
    }

    /// When the documents were last known to be current.
    pub(super) const fn current_at(&self) -> Option<Timestamp> {
        self.current_at
    }

    /// Time since the documents were known to be current.
    pub(super) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_sub(at))
    }

    /// How this gateway uses the store.
    pub(super) const fn store_use(&self) -> StoreUse {
        self.cause.store_use()
    }

    fn is_stale(&self, gateways: usize, now: Timestamp) -> bool {
        let spread = DELAY_PER_GATEWAY * gateways as u32;
        let limit = STALE_AFTER + spread.min(MAX_DELAY).mul_f64(self.delay_share);
        let may_retry = self.failing_since.is_none_or(|at| now < at + FAILS_AFTER);
        let current_at = self.current_at.or(self.started_at).unwrap_or(now);
        may_retry && now >= current_at + limit
    }

    /// Whether own reads have failed for some time, so that others are preferred.
    fn fails(&mut self, gateways: usize, now: Timestamp) -> bool {
        let retention = FAILURE_RETENTION.max(DELAY_PER_GATEWAY * gateways as u32);
        self.failing_since.take_if(|at| now >= *at + FAILS_AFTER + retention);
        self.failing_since.is_some_and(|at| now >= at + FAILS_AFTER)
    }
}

impl GatewayCore {
    /// How this gateway uses the publisher's store.
    pub const fn store_use(&self) -> StoreUse {
        self.store_reading.store_use()
    }

    /// Handles a successful call to the publisher's store.
    pub(super) fn on_store_checked(&mut self, part: StorePart, now: Timestamp) {
        self.store_reading.own[part as usize] = Some(now);
        if let [Some(operator), Some(endpoints)] = self.store_reading.own {
            self.store_reading.record(operator.min(endpoints), &mut self.rng);
        }
    }

    /// Handles a change of whether the publisher's store answers this gateway.
    pub(super) fn on_publisher_status(&mut self, answers: bool, now: Timestamp) {
        self.documents.set_publisher_available(answers, now);
        self.store_reading.failing_since =
            (!answers).then(|| self.store_reading.failing_since.unwrap_or(now));
        self.log(LogEvent::Publisher { answers });
    }

    /// Decides whether this gateway reads the publisher's store.
    pub(super) fn update_store_reading(&mut self, now: Timestamp) {
        let gateways = self.members.known_count();
        let fails = self.store_reading.fails(gateways, now);
        if self.members.set_reads_fail(fails) {
            self.next_heartbeat = Timestamp::ZERO;
        }
        let changes = Some((self.members.changes(), self.builds.changes()));
        if self.store_reading.is_reader.0 != changes {
            let is_reader = self.members.is_reader(|member| self.builds.verifies_lists(member));
            self.store_reading.is_reader = (changes, is_reader);
        }
        let started_at = *self.store_reading.started_at.get_or_insert(now);
        let waits = self.store_reading.cause == Cause::Waits;
        let cause = if waits && now < started_at + FIRST_START_WAIT {
            Cause::Waits
        } else if self.store_reading.is_reader.1 {
            Cause::Reader
        } else if self.store_reading.is_stale(gateways, now) {
            Cause::Stale
        } else if self.documents.is_complete() {
            Cause::Follows
        } else if waits {
            Cause::Waits
        } else {
            Cause::Starting
        };
        if cause == Cause::Follows {
            let is_available = self.store_reading.age(now).is_some_and(|a| a < UNAVAILABLE_AFTER);
            self.documents.set_publisher_available(is_available, now);
        }
        let before = std::mem::replace(&mut self.store_reading.cause, cause);
        if before == cause {
            return;
        }
        if cause.store_use() != before.store_use() {
            self.out.push(Action::SetStoreUse(cause.store_use()));
        }
        let reads = cause.store_use() != StoreUse::Follow;
        let age_ms = self.store_reading.age(now).map(ms);
        let change = StoreReadingChange { reads, cause: cause.name(), age_ms };
        self.log(LogEvent::StoreReading(change));
    }
}
