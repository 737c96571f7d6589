//! The other gateways: membership, the messages exchanged with them, and the connections to them.
//!
//! `core` asks `members` for the owner of a cell and `pulls` for the documents to request from a
//! peer; `links` and `bulk` do the I/O for `shell`. `codec` encodes and decodes messages
//! (`without_eras` those of earlier releases), and `build` tracks peers that run another build.
//! There is no consensus: callers of `members` must tolerate that another gateway has a different
//! view.

pub mod build;
pub mod bulk;
pub mod codec;
pub mod links;
pub mod members;
pub mod message;
pub mod pulls;
mod without_eras;
