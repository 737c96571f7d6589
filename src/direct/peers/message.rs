//! The messages that gateways send to each other.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::departures::Departure;
use crate::direct::limits::known::AnnouncedLimit;
use crate::direct::origins::Origin;
use crate::direct::origins::versions::Version;
use crate::direct::owner::producers::Usage;
use crate::direct::peers::heartbeat::Heartbeat;
use crate::direct::peers::member::Member;
use crate::direct::poison::SubjectKind;
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::poison::suspects::{AnnouncedSuspect, SuspectUpdate};
use crate::direct::published::documents::{Revised, Seen};
use crate::direct::published::evacuations::Evacuations;
use crate::direct::published::list_position::Verification;
use crate::direct::published::model::{Deployment, Name};
use crate::direct::published::position::Position;
use crate::direct::published::regions::AllowedRegions;

/// Identifies one request of one incarnation of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId {
    /// Address at which the gateway's peers connect to it.
    pub gateway: SocketAddr,
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// Sequence number of the request in that incarnation.
    pub number: u64,
}

impl JobId {
    /// Orders before all other ids.
    pub const LOWEST: Self = Self {
        gateway: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0)),
        incarnation: 0,
        number: 0,
    };
}

/// Name of a piece's result, assigned by the endpoint that produced it.
pub type Handle = Name;

/// A result and the endpoint that stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    /// Handle of the result.
    pub handle: Handle,
    /// Id of the endpoint.
    pub endpoint: Name,
}

/// The stages of one request, sent to the owner of their pools.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id of the job.
    pub id: JobId,
    /// The caller's id of the request.
    pub request: Name,
    /// Cell whose endpoints run the stages; empty from a build without cells.
    #[serde(default = "no_name")]
    pub cell: Name,
    /// Name of the route in the gateway's configuration.
    pub route: Name,
    /// The graph of stages.
    pub stages: Vec<JobStage>,
    /// Key that is sent to the producing endpoints for pieces without a key of their own.
    pub key: Option<Name>,
    /// Time left to respond within the objective.
    pub to_objective: Duration,
    /// Time left until the caller stops waiting.
    pub to_deadline: Duration,
    /// Expected time from the end of the stages to the start of the response.
    #[serde(rename = "after")]
    pub after_stages: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Data centre that is expected to fetch the last results.
    pub data_centre: Name,
    /// Regions in which the stages may run.
    #[serde(default)]
    #[serde(rename = "homes")]
    pub allowed_regions: AllowedRegions,
    /// Whether another owner had started the job.
    pub resubmitted: bool,
    /// Fingerprint of the request's content and its caller.
    #[serde(default)]
    pub fingerprint: Fingerprint,
    /// Organisation of the caller; `None` without one, and from builds before form 8.
    #[serde(default)]
    pub organisation: Option<Name>,
}

fn no_name() -> Name {
    "".into()
}

/// One stage of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStage {
    /// Pool whose endpoints run the pieces of the stage.
    pub pool: Name,
    /// Indexes of the stages whose results the stage needs.
    pub after: Vec<usize>,
    /// Expected size of one result, in bytes.
    pub result_bytes: u64,
    /// Number of pieces.
    pub pieces: usize,
    /// Results by piece if the stage is already done; empty otherwise.
    pub done: Vec<StoredResult>,
}

/// The reason for which an owner cancelled a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReason {
    /// The job would not finish in time.
    WouldBeLate,
    /// There is not enough memory for the results.
    NoRoom,
    /// No endpoint of a pool accepts work.
    NoEndpoint,
    /// The deadline passed.
    DeadlinePassed,
    /// Pieces failed, and the repeat budget is exhausted.
    RepeatBudget,
    /// Pieces failed too often.
    Failed,
    /// The gateway that received the job does not own its cell.
    NotOwner,
}

/// A stream, for the gateways that hold the record of its origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStream {
    /// Id of the request that receives the first event of the stream.
    pub stream: Name,
    /// Origin of the stream.
    pub origin: Origin,
    /// How long its caller may still resume the stream.
    pub expires_in: Duration,
}

/// A message from one gateway to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The heartbeat for builds of form 6 and earlier, with all members and the sender's state.
    Gossip {
        /// The members that the sender considers up, including itself.
        members: Vec<Member>,
        /// Latest configuration and entries that the sender has received.
        seen: Seen,
        /// Whether the sender has received a configuration and a complete list of endpoints.
        complete: bool,
        /// Endpoint capacity that the sender uses as an owner.
        usage: Vec<Usage>,
        /// The sender's event lag.
        #[serde(default)]
        #[serde(rename = "late")]
        event_lag: Duration,
        /// Evacuation orders that the sender knows.
        #[serde(default)]
        evacuations: Evacuations,
        /// Departures of endpoints that the sender observed and the receiver may not know.
        #[serde(default)]
        departures: Vec<Departure>,
        /// Limits reported by endpoints that the receiver may not know.
        #[serde(default)]
        limits: Vec<AnnouncedLimit>,
        /// Newest era of the store that the sender knows; 0 from builds without eras.
        #[serde(default)]
        era: u64,
    },
    /// Requests the documents that the sender lacks.
    Pull {
        /// Configuration and position of the list that the sender has; position 0 requests the
        /// complete list.
        seen: Seen,
        /// Whether the sender requests a newer configuration in addition to entries of endpoints.
        #[serde(default)]
        configuration: bool,
        /// Sequence number of the sender's pulls of configurations; 0 from builds that don't send
        /// it.
        #[serde(default)]
        number: u64,
    },
    /// The requested configuration. It is long, and is sent over a connection of its own.
    Configuration {
        /// Revision of the configuration's last change.
        revision: u64,
        /// The configuration.
        deployment: Arc<Deployment>,
        /// Number of the pull that it responds to; it is sent in the greeting, ahead of the
        /// message.
        #[serde(skip)]
        pull: u64,
        /// Era of that revision.
        #[serde(default)]
        era: u64,
        /// Health checks of the configuration's pools, in their order; empty from builds before
        /// form 12.
        #[serde(default)]
        health_paths: Vec<Option<Name>>,
    },
    /// The sender has no newer configuration, or is sending it to too many other gateways.
    NoConfiguration,
    /// Entries of endpoints.
    Documents {
        /// The entries and removals that the receiver had not received.
        documents: Vec<Revised>,
        /// Whether the sender has received a complete list; builds before form 11 then assume that
        /// the documents complete the receiver's list, given the `seen` of its pull.
        complete: bool,
        /// The revision that the sender announces. Removals are forgotten after some time, so it
        /// may be higher than that of any document.
        #[serde(default)]
        seen: u64,
        /// Era of that revision.
        #[serde(default)]
        era: u64,
        /// How the receiver verifies that it holds every change up to `seen`; `None` from builds
        /// before form 11, and if the sender does not hold them itself.
        #[serde(default)]
        verification: Option<Verification>,
    },
    /// Requests that the receiver run the stages of a request.
    Submit(Box<Job>),
    /// The receiver of a job has accepted it and will report its end.
    Accepted(JobId),
    /// The job was not started, or ended without its results.
    #[serde(rename = "GivenUp")]
    Cancelled {
        /// Id of the job.
        job: JobId,
        /// Reason for the cancellation.
        reason: JobReason,
        /// Whether no part of the job was started.
        #[serde(rename = "untouched")]
        not_started: bool,
        /// Time after which the job may be submitted again.
        retry_after: Duration,
    },
    /// A stage is done.
    StageDone {
        /// Id of the job.
        job: JobId,
        /// Index of the stage.
        stage: usize,
        /// The results by piece.
        results: Vec<StoredResult>,
    },
    /// Every stage is done; the results of the last stages were sent in [`Self::StageDone`].
    Ready(JobId),
    /// The results of a job are no longer needed, or the job is cancelled.
    Release(JobId),
    /// Crash records by fingerprint: the requests under which endpoints crashed.
    Suspects(Vec<AnnouncedSuspect>),
    /// Requests [`Self::Suspects`] if the receiver's records don't have this digest.
    AskSuspects(u64),
    /// Requests a permit to send one message to an endpoint with a rate limit.
    AskPermit {
        /// Number that the sender assigned to the request.
        number: u64,
        /// The endpoint, and its limit as far as the sender knows it.
        limit: AnnouncedLimit,
        /// Priority; 0 is the most urgent.
        priority: u8,
        /// Maximum time to wait for a permit.
        wait: Duration,
    },
    /// The response to [`Self::AskPermit`].
    Permit {
        /// Number of the request for a permit.
        number: u64,
        /// Whether the message may be sent now.
        #[serde(rename = "given")]
        granted: bool,
        /// Expected time until a permit is available, if none was given.
        retry_after: Duration,
    },
    /// The heartbeat of the sender.
    Heartbeat(Box<Heartbeat>),
    /// Streams that began at endpoints of pools with several software versions.
    StreamsBegan(Vec<BegunStream>),
    /// Asks for the origin of a stream that a caller resumes.
    AskOrigin {
        /// Number that the sender assigned to the resuming request.
        number: u64,
        /// Id of the request that received the first event of the stream.
        stream: Name,
        /// Pool that is expected to run the request.
        pool: Name,
    },
    /// The response to [`Self::AskOrigin`].
    StreamOrigin {
        /// Number of the resuming request.
        number: u64,
        /// Id of the request that received the first event of the stream.
        stream: Name,
        /// Origin of the stream, if the sender knows it.
        origin: Option<Origin>,
        /// Versions of the pool that the sender has listed recently; empty if it has no record, and
        /// inferred the origin from the only version of the pool.
        versions: Vec<Version>,
    },
    /// Crash records by fingerprint: the parts of prompts under which endpoints crashed.
    SuspectParts(Vec<SuspectUpdate>),
    /// Requests [`Self::SuspectParts`] if the receiver's records don't have this digest.
    AskSuspectParts(u64),
}

impl PeerMessage {
    /// A configuration as of its last change, in response to a pull.
    pub fn configuration(position: Position, deployment: Arc<Deployment>, pull: u64) -> Self {
        let Position { era, revision } = position;
        let health_paths = deployment.health_paths();
        Self::Configuration { revision, deployment, pull, era, health_paths }
    }

    /// Crash records of a kind.
    pub fn suspects(kind: SubjectKind, updates: Vec<SuspectUpdate>) -> Self {
        match kind {
            SubjectKind::Content => {
                Self::Suspects(updates.into_iter().map(|update| update.suspect).collect())
            }
            SubjectKind::PromptPart => Self::SuspectParts(updates),
        }
    }

    /// Request for crash records of a kind, unless they have this digest.
    pub const fn ask_suspects(kind: SubjectKind, digest: u64) -> Self {
        match kind {
            SubjectKind::Content => Self::AskSuspects(digest),
            SubjectKind::PromptPart => Self::AskSuspectParts(digest),
        }
    }

    /// Name of the message kind in metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Gossip { .. } => "gossip",
            Self::Pull { .. } => "pull",
            Self::Configuration { .. } => "configuration",
            Self::NoConfiguration => "no_configuration",
            Self::Documents { .. } => "documents",
            Self::Submit(_) => "submit",
            Self::Accepted(_) => "accepted",
            Self::Cancelled { .. } => "given_up",
            Self::StageDone { .. } => "stage_done",
            Self::Ready(_) => "ready",
            Self::Release(_) => "release",
            Self::Suspects(_) => "suspects",
            Self::AskSuspects(_) => "ask_suspects",
            Self::AskPermit { .. } => "ask_permit",
            Self::Permit { .. } => "permit",
            Self::Heartbeat(_) => "heartbeat",
            Self::StreamsBegan(_) => "streams_began",
            Self::AskOrigin { .. } => "ask_origin",
            Self::StreamOrigin { .. } => "stream_origin",
            Self::SuspectParts(_) => "suspect_parts",
            Self::AskSuspectParts(_) => "ask_suspect_parts",
        }
    }
}
