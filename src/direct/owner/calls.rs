//! Calls with pieces, from the owner to endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::peers::message::JobId;
use crate::direct::poison::Run;
use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;

/// Calls of an owner before this one are over after so long.
pub(super) const SETTLING: Duration = Duration::from_millis(1_500);

/// A piece: its job, its stage's position, its own position.
pub(super) type PieceId = (JobId, usize, usize);

/// Calls by their numbers.
pub(super) type Calls = HashMap<u64, Call, foldhash::fast::RandomState>;

/// A stage of a job with pieces in a call.
#[derive(Debug, Clone, Copy)]
pub(super) struct Part {
    pub(super) job: JobId,
    pub(super) stage: usize,
    pub(super) run: Run,
}

/// A call with pieces that has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) pool: Name,
    pub(super) endpoint: Arc<Endpoint>,
    /// Each piece, with the bytes of its result.
    pub(super) pieces: Vec<(PieceId, u64)>,
    /// The stages that they are of, each once.
    pub(super) parts: Vec<Part>,
    pub(super) sent: Timestamp,
    pub(super) expected: Duration,
    /// Given up: whatever comes is freed.
    pub(super) is_late: bool,
    /// Its endpoint is taken to have fetched the inputs of its pieces.
    pub(super) has_fetched: bool,
}

impl Call {
    /// The jobs of its pieces, each once.
    pub(super) fn jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self.pieces.iter().map(|(piece, _)| piece.0).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }
}
