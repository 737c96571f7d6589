//! A result as it comes in: pieces at offsets, kept whole and digested.

use std::fmt;

use bytes::{Bytes, BytesMut};
use snafu::{Snafu, ensure};
use xxhash_rust::xxh3::Xxh3Default;

/// Why a piece can't be taken in.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum AppendError {
    /// Something is missing before it.
    #[snafu(display("a piece at {offset} after {have} bytes"))]
    Gap {
        /// Where the piece starts.
        offset: u64,
        /// Bytes so far.
        have: u64,
    },
    /// The result would be longer than the bound.
    #[snafu(display("more than {bound} bytes"))]
    TooLong {
        /// The bound.
        bound: usize,
    },
}

/// The bytes of a result so far.
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
    /// Bytes so far.
    pub fn len(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Whether nothing came yet.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// xxh3-64 of the bytes so far.
    pub fn digest(&self) -> u64 {
        self.hasher.digest()
    }

    /// Takes in a piece and returns what of it is new; a piece that came before is nothing new.
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

    /// A copy of what lies behind `offset`.
    pub fn from(&self, offset: u64) -> Bytes {
        let from = (offset as usize).min(self.bytes.len());
        Bytes::copy_from_slice(&self.bytes[from..])
    }

    /// The whole result.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}
