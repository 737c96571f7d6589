//! The other gateways: who is there, what they say, and the connections to them.
//!
//! `core` asks `members` who owns what and `pulls` what to ask of whom; `links` and `bulk` do the I/O for `shell`. `codec`
//! writes and reads what they carry (`without_eras` what earlier landings write), `build` knows which
//! peers run another build. Nothing is agreed: whoever reads `members` must bear that another gateway sees others.

pub mod build;
pub mod bulk;
pub mod codec;
pub mod links;
pub mod members;
pub mod message;
pub mod pulls;
mod without_eras;
