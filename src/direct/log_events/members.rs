//! Log events about members of the group of gateways, and about who reads the publisher's store.

use std::net::SocketAddr;

use serde::Serialize;

use crate::direct::log_events::LogEvent;
use crate::direct::peers::member::Member;

/// A peer considers a member down, or a newer heartbeat proved that the member is up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberSuspected {
    /// Address of the member.
    pub address: SocketAddr,
    /// Incarnation of the member.
    pub incarnation: u64,
    /// Heartbeat up to which the member is suspected, or which refuted the suspicion.
    pub heartbeat: u64,
    /// The peer that sent the suspicion or the newer heartbeat.
    pub peer: SocketAddr,
    /// Whether the member is suspected.
    pub suspected: bool,
}

/// A peer sent a message that this build can't read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PeerUnread {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Version of the compact message format.
    pub form: u32,
    /// `unknown form` or `unknown message`.
    pub cause: &'static str,
}

/// This gateway started or stopped to read the publisher's store, or the reason for it changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StoreReadingChange {
    /// Whether it reads the store.
    pub reads: bool,
    /// `starting`, `waits`, `reader`, `stale` or `follows`.
    pub cause: &'static str,
    /// Time in milliseconds since the documents were known to be current; `None` if they never
    /// were.
    pub age_ms: Option<u64>,
}

impl LogEvent {
    /// Event for a suspicion of a peer, or its end.
    pub fn suspected(member: &Member, peer: SocketAddr, suspected: bool) -> Self {
        let Member { address, incarnation, heartbeat, .. } = *member;
        Self::MemberSuspected(MemberSuspected { address, incarnation, heartbeat, peer, suspected })
    }
}
