//! Log events about decisions under load.

use serde::Serialize;

use crate::direct::published::model::Name;
use crate::policy::urgency::Urgency;

/// Decision under load, written with its name in snake case as field `event`.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LoadEvent {
    /// An admitted job of which nothing had started was cancelled for a more urgent one.
    GaveWay {
        /// Id of the cancelled request, given by its caller.
        request: Name,
        /// Urgency of the cancelled request.
        urgency: Urgency,
        /// Id of the more urgent request.
        for_request: Name,
        /// Urgency of the more urgent request.
        for_urgency: Urgency,
        /// Pool that lacked capacity.
        pool: Name,
        /// Milliseconds after which the caller may retry.
        retry_after_ms: u64,
    },
    /// An admitted job of which nothing had started was rejected, since it could no longer start in
    /// time.
    MissedStart {
        /// Id of the rejected request, given by its caller.
        request: Name,
        /// Urgency of the request.
        urgency: Urgency,
        /// Pool that lacked capacity.
        pool: Name,
        /// Milliseconds after which the caller may retry.
        retry_after_ms: u64,
    },
    /// A place was booked for the return of a refused caller.
    PlaceBooked {
        /// Id of the refused request.
        request: Name,
        /// Fingerprint of the request, by which its return is recognized.
        fingerprint: String,
        /// Organisation of the caller.
        organisation: Option<Name>,
        /// Milliseconds until the place is available.
        in_ms: u64,
        /// Number of places that are booked now.
        booked: usize,
    },
    /// A booked place was used, or released unused.
    PlaceEnded {
        /// Fingerprint of the request that the place was booked for.
        fingerprint: String,
        /// `used`; `refused` (the caller returned in time, but there was no capacity); `early` (the
        /// request was admitted before); `elsewhere` (another cell admitted it); `unused`; or
        /// `released` (the owner stops, or a pool has no endpoint left).
        outcome: &'static str,
        /// Milliseconds since the place was booked.
        after_ms: u64,
        /// Number of places that are still booked.
        booked: usize,
    },
    /// A request was refused, since no engine is expected to start it before its deadline.
    EnginesBusy {
        /// Request id given by the caller.
        request: Name,
        /// Engine that is expected to start the request first.
        endpoint: Name,
        /// Number of requests that ran there by its newest load report.
        running: u32,
        /// Number of requests that waited there by this report.
        waiting: u32,
        /// Number of requests that it runs concurrently.
        slots: u32,
        /// Number of calls of this gateway to the engine since then.
        sent_since: usize,
        /// Age of the report in milliseconds.
        report_age_ms: u64,
        /// Expected milliseconds until the first event.
        start_ms: u64,
        /// Milliseconds until the deadline.
        left_ms: u64,
    },
    /// A request was sent with the address of an engine that has parts of its prompt.
    PromptFetch {
        /// Request id given by the caller.
        request: Name,
        /// Engine that runs the request.
        endpoint: Name,
        /// Engine that has parts of the prompt.
        source: Name,
        /// Number of tokens that are fetched instead of computed.
        tokens: u64,
    },
    /// New connections of callers are closed unread from now on, or served again.
    Shedding {
        /// Whether they are closed.
        sheds: bool,
        /// Average event lag of this process in milliseconds.
        late_ms: u64,
        /// Number of peers that announced their event lag within the last second.
        peers: usize,
        /// Number of those that are overloaded.
        overloaded_peers: usize,
    },
    /// Callers reached the limits of what the process holds for them within the last second.
    CallersLimited {
        /// Number of their connections now.
        connections: usize,
        /// Maximum number of their connections.
        max_connections: usize,
        /// Bytes that their connections and requests hold now.
        bytes: usize,
        /// Maximum number of these bytes.
        max_bytes: usize,
        /// Connections that were closed for others.
        gave_way: usize,
        /// Connections and requests that were refused.
        refused: usize,
    },
}

impl LoadEvent {
    /// Name of the event in metrics; the same as in the log.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::GaveWay { .. } => "gave_way",
            Self::MissedStart { .. } => "missed_start",
            Self::PlaceBooked { .. } => "place_booked",
            Self::PlaceEnded { .. } => "place_ended",
            Self::EnginesBusy { .. } => "engines_busy",
            Self::PromptFetch { .. } => "prompt_fetch",
            Self::Shedding { .. } => "shedding",
            Self::CallersLimited { .. } => "callers_limited",
        }
    }
}
