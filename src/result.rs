//! Reassembly of a streamed result: chunks are appended by offset and hashed incrementally.

use std::fmt;

use bytes::{Bytes, BytesMut};
use snafu::{Snafu, ensure};
use xxhash_rust::xxh3::Xxh3Default;

/// Why a chunk can't be appended.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum AppendError {
    /// Bytes between the end of the buffer and the chunk are missing.
    #[snafu(display("gap in the result: chunk at offset {offset} after {have} bytes"))]
    Gap {
        /// Offset of the chunk, in bytes.
        offset: u64,
        /// Number of bytes received.
        have: u64,
    },
    /// The result would exceed its maximum length.
    #[snafu(display("the result is longer than {bound} bytes"))]
    TooLong {
        /// Maximum length, in bytes.
        bound: usize,
    },
}

/// The received bytes of a result and their running hash.
#[derive(Default)]
pub struct ResultBuffer {
    bytes: BytesMut,
    hasher: Xxh3Default,
}

impl fmt::Debug for ResultBuffer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ResultBuffer({} bytes)", self.bytes.len())
    }
}

impl ResultBuffer {
    /// Number of bytes received.
    pub fn len(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Whether no bytes were received yet.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// xxh3-64 of the received bytes.
    pub fn digest(&self) -> u64 {
        self.hasher.digest()
    }

    /// Appends the chunk `data` at `offset` and returns the part of it that is new; bytes received
    /// before are skipped.
    pub fn append(
        &mut self,
        offset: u64,
        data: &Bytes,
        bound: usize,
    ) -> Result<Bytes, AppendError> {
        let have = self.len();
        ensure!(offset <= have, GapSnafu { offset, have });
        let overlap = (have - offset) as usize;
        if overlap >= data.len() {
            return Ok(Bytes::new());
        }
        let fresh = data.slice(overlap..);
        ensure!(self.bytes.len() + fresh.len() <= bound, TooLongSnafu { bound });
        self.bytes.extend_from_slice(&fresh);
        self.hasher.update(&fresh);
        Ok(fresh)
    }

    /// A copy of the received bytes from `offset` on.
    pub fn copy_from(&self, offset: u64) -> Bytes {
        let from = (offset as usize).min(self.bytes.len());
        Bytes::copy_from_slice(&self.bytes[from..])
    }

    /// Returns the complete result.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}
