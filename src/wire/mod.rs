//! The protocol between processes: generated messages and conversions from and to the typed
//! messages.

mod convert;

/// Code generated from `stackmast.proto`; see `tests/generated.rs`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated.rs"]
pub mod v1;

pub use convert::{BadMessage, reply_from_wire, reply_to_wire, run_from_wire, run_to_wire};

/// Protocol version; a process refuses messages of any other version before anything runs.
pub const PROTOCOL: u32 = 1;
/// Maximum size of a message in bytes.
pub const MAX_MESSAGE_LEN: usize = 8 << 20;
