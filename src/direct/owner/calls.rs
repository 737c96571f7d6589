//! Batch calls from the owner to endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::peers::message::JobId;
use crate::direct::poison::Run;
use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;

/// Time after which calls that a previous owner sent have ended.
pub(super) const TAKEOVER_PERIOD: Duration = Duration::from_millis(1_500);

/// A piece: its job, the index of its stage and its index in the stage.
pub(super) type PieceId = (JobId, usize, usize);

/// Running calls by number.
pub(super) type Calls = HashMap<u64, Call, foldhash::fast::RandomState>;

/// A stage of a job that has pieces in a call.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallStage {
    pub(super) job: JobId,
    /// Index of the stage in the job.
    pub(super) stage: usize,
    /// The run as reported to the detection of poison requests.
    pub(super) run: Run,
}

/// A batch call that has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) pool: Name,
    pub(super) endpoint: Arc<Endpoint>,
    /// Pieces in the call, each with the size of its result in bytes.
    pub(super) pieces: Vec<(PieceId, u64)>,
    /// Stages that the pieces belong to, each listed once.
    pub(super) stages: Vec<CallStage>,
    pub(super) sent: Timestamp,
    /// Expected duration.
    pub(super) expected: Duration,
    /// Whether the call is overdue and its pieces were requeued.
    pub(super) is_abandoned: bool,
    /// Whether the endpoint is assumed to have fetched the inputs of the pieces.
    pub(super) has_fetched: bool,
}

impl Call {
    /// Time when the call is expected to end.
    pub(super) fn expected_end(&self) -> Timestamp {
        self.sent + self.expected
    }

    /// Jobs that have pieces in the call, each listed once.
    pub(super) fn jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self.pieces.iter().map(|(piece, _)| piece.0).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }
}
