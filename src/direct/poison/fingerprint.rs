//! What makes two requests the same, whoever takes them and whatever their ids are.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64_with_seed};

/// A digest of who asks, the method, the path with its query, and the body. The host is left out: one
/// route may be reached by several.
///
/// 64 bits: among 1,000 requests that are remembered and a billion others, two are taken for the same once in
/// 20 million cases, and callers can only choose contents that collide with their own.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Of what a request holds, before it is known who asks.
    pub fn of_content(method: &str, target: &str, body: &[u8]) -> Self {
        let mut digest = Xxh3Default::new();
        for part in [method.as_bytes(), target.as_bytes(), body] {
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Self(digest.digest())
    }

    /// What one of its stages has endpoints do: a stage may run well before another one crashes each endpoint.
    pub fn of_stage(self, stage: usize) -> Self {
        Self(xxh3_64_with_seed(&self.0.to_le_bytes(), stage as u64 + 1))
    }

    /// The same content, asked by an organisation, or by nobody who shows a key.
    pub fn asked_by(self, organisation: Option<&str>) -> Self {
        let Some(organisation) = organisation else {
            return self;
        };
        let mut digest = Xxh3Default::new();
        digest.update(&self.0.to_le_bytes());
        digest.update(organisation.as_bytes());
        Self(digest.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
