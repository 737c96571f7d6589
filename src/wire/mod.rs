//! The protocol between the processes: generated messages, and their conversion to the typed ones.

mod convert;

/// What `stackmast.proto` gives; see `tests/generated.rs`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated.rs"]
pub mod v1;

pub use convert::{BadMessage, reply_from_wire, reply_to_wire, run_from_wire, run_to_wire};

/// The version of the protocol; a process refuses another one's messages before anything runs.
pub const PROTOCOL: u32 = 1;
/// Bytes of one message at most.
pub const MAX_MESSAGE_LEN: usize = 8 << 20;
