//! How reading the publisher's store went, for the lines that tell of it.

use std::time::Duration;

/// How reading the publisher's store went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreRead {
    /// What was read.
    pub subject: &'static str,
    /// Whether it was a watch.
    pub watch: bool,
    /// `whole`, or how it failed.
    pub outcome: &'static str,
    /// Bytes that came.
    pub bytes: usize,
    /// Bytes that were stated.
    pub expected: Option<u64>,
    /// Whether a new connection answered, while the one before it said nothing.
    pub again: bool,
    /// From the call to the answer's head, or to the failure; a watch waits for changes meanwhile.
    pub waited: Duration,
    /// From the answer's head to its end.
    pub took: Duration,
    /// Time of decoding.
    pub decoding: Duration,
}

impl StoreRead {
    /// The subject of reads of the configuration.
    pub const CONFIGURATION: &'static str = "configuration";
    /// The outcome of a read whose answer came whole.
    pub const WHOLE: &'static str = "whole";
}
