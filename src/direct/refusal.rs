//! Responses of a gateway to requests that get none from an endpoint.

use std::time::Duration;

/// Why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// This gateway has no configuration yet.
    NoConfiguration,
    /// This gateway is stopping.
    Draining,
    /// No route matches the host and path.
    UnknownRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request lacks something that its route requires.
    BadRequest(&'static str),
    /// Its stages or its run would not end before the deadline.
    Overloaded,
    /// No endpoint accepts the request.
    NoEndpoint,
    /// No endpoint that accepts the request is in an allowed region.
    NoEndpointAtHome,
    /// The caller resumes a stream, and it is unknown which of several software versions began it.
    UnknownOrigin,
    /// No endpoint that accepts the request has the software version that began its stream.
    NoEndpointOfVersion,
    /// Every endpoint that accepts the request is cold, and their reduced capacity is used up.
    AllCold,
    /// Every endpoint that accepts the request asked this gateway for a pause, or receives a
    /// gradually growing number of requests after one.
    AllPaused,
    /// Every endpoint that accepts the request has a rate limit, and the earliest permit would be
    /// issued too late.
    AllLimited,
    /// The deadline passed; whatever runs is cancelled.
    TimedOut,
    /// The request may have run, and its response is lost.
    OutcomeUnknown,
    /// The request failed, and the repeat budget is used up.
    RepeatBudget,
    /// Endpoints crashed while they ran requests with the same content.
    Poison,
}

/// Response of the gateway to a request that gets none from an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Refused,
    /// Whether the request certainly has not run and never will.
    pub not_run: bool,
    /// How long the caller should wait before it tries again.
    pub retry_after: Duration,
}
