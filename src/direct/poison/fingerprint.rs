//! Identifies requests with the same content, independent of gateway and request id.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64_with_seed};

/// Seed of the digests of prompt parts, which tells them from contents.
const PROMPT_PART_SEED: u64 = u64::MAX;

/// Digest of the organisation, the method, the path with its query, and the body of a request. The
/// host is left out, since one route may be reached under several.
///
/// With 64 bits, among 1,000 remembered requests and a billion others two collide once in 20
/// million cases, and callers can only produce collisions with their own requests.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Fingerprint of a request's content, before its organisation is known.
    pub fn of_content(method: &str, target: &str, body: &[u8]) -> Self {
        let mut digest = Xxh3Default::new();
        for part in [method.as_bytes(), target.as_bytes(), body] {
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Self(digest.digest())
    }

    /// Fingerprint of one stage of the request: a stage may run without fault before another one
    /// crashes its endpoints.
    pub fn of_stage(self, stage: usize) -> Self {
        Self(xxh3_64_with_seed(&self.0.to_le_bytes(), stage as u64 + 1))
    }

    /// Fingerprint of a part of prompts, by its id. The same for all organisations, routes and
    /// pools: the part is the same text for each of them.
    pub fn of_prompt_part(id: &str) -> Self {
        Self(xxh3_64_with_seed(id.as_bytes(), PROMPT_PART_SEED))
    }

    /// Fingerprint of the same content for an organisation, or for callers without an API key.
    pub fn for_organisation(self, organisation: Option<&str>) -> Self {
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
