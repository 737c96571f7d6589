//! What a modelled group of gateways counts.

use std::collections::BTreeMap;

/// Messages and bytes of one kind of message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Encoded bytes.
    pub bytes: u64,
}

/// What was counted since the last reset.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Traffic between gateways by kind of message.
    pub by_kind: BTreeMap<&'static str, Traffic>,
    /// Bytes by distance: within a data centre, between data centres, between regions.
    pub by_distance: [u64; 3],
    /// Calls to the store.
    pub calls: u64,
    /// Events that the cores handled.
    pub events: u64,
    /// Members that a gateway considered down while they ran and could be reached.
    pub false_failures: u64,
}

impl Counts {
    /// Bytes of all messages.
    pub fn bytes(&self) -> u64 {
        self.by_kind.values().map(|traffic| traffic.bytes).sum()
    }
}
