//! The other gateways: membership, the messages exchanged with them, and the connections to them.
//!
//! `core` asks `members` for the members that are up and `pulls` for the documents to request from
//! a peer. `member` describes one member; `updates` merges what peers gossip of members,
//! `neighbours` selects the receivers of a heartbeat, and `ownership` derives duties, such as the
//! owner of a cell. `links` and `bulk` do the I/O for `shell`. `codec` encodes and decodes messages
//! (`appended_fields` and `without_eras` those of earlier releases), and `build` tracks peers that run
//! another build. There is no consensus: callers of `members` must tolerate that another gateway
//! has a different view.

mod appended_fields;
pub mod build;
pub mod bulk;
pub mod codec;
pub mod heartbeat;
pub mod links;
pub mod member;
pub mod members;
pub mod message;
pub mod neighbours;
pub(super) mod ownership;
pub mod pulls;
mod updates;
mod without_eras;
