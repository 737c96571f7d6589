//! The outcome of one read of the publisher's store, for log events.

use std::sync::Arc;
use std::time::Duration;

use crate::response_check::Malformed;

/// Outcome and timing of one read of the publisher's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRead {
    /// The kind of document that was read.
    pub subject: &'static str,
    /// Whether the read was a watch, which waits for changes.
    pub watch: bool,
    /// `whole` for a complete response, otherwise the kind of failure.
    pub outcome: &'static str,
    /// Path and query of a call that failed; with the cause if the rest of a range can't be asked for.
    pub query: Option<Arc<str>>,
    /// What is wrong with a response that is not well-formed.
    pub fault: Option<Malformed>,
    /// Bytes received.
    pub bytes: usize,
    /// Bytes announced by the response, if any.
    pub expected: Option<u64>,
    /// Whether the response came over a new connection because the previous one stayed silent.
    pub reconnected: bool,
    /// Time from the call to the response headers, or to the failure; for a watch this includes the
    /// wait for changes.
    pub wait_time: Duration,
    /// Time from the response headers to the end of the body.
    pub transfer_time: Duration,
    /// Time spent on decoding.
    pub decode_time: Duration,
}

impl StoreRead {
    /// The `subject` of configuration reads.
    pub const CONFIGURATION: &'static str = "configuration";
    /// The `outcome` of a read with a complete response.
    pub const COMPLETE: &'static str = "whole";
}
