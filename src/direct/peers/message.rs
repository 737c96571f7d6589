//! What gateways say to each other.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::departures::Departure;
use crate::direct::limits::known::LimitTold;
use crate::direct::owner::makers::Usage;
use crate::direct::peers::members::Member;
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::poison::suspects::Account;
use crate::direct::published::documents::{Revised, Seen};
use crate::direct::published::evacuations::Evacuations;
use crate::direct::published::homes::Homes;
use crate::direct::published::model::{Deployment, Name};

/// Names one request of one life of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId {
    /// Where the gateway's peers connect.
    pub gateway: SocketAddr,
    /// The gateway's life.
    pub incarnation: u64,
    /// Counts the requests of that life.
    pub number: u64,
}

impl JobId {
    /// Comes before all others.
    pub const LOWEST: Self = Self {
        gateway: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0)),
        incarnation: 0,
        number: 0,
    };
}

/// The result of a piece, as its maker names it.
pub type Handle = Name;

/// A result and the endpoint that keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Made {
    /// The result.
    pub handle: Handle,
    /// The endpoint's id.
    pub endpoint: Name,
}

/// The stages of one request, for the owner of their pools.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Which.
    pub id: JobId,
    /// The caller's id of the request.
    pub request: Name,
    /// The cell whose endpoints make them; of a program that knows none, empty.
    #[serde(default = "no_name")]
    pub cell: Name,
    /// The route, as the gateway's configuration has it.
    pub route: Name,
    /// The stages' graph.
    pub stages: Vec<JobStage>,
    /// What makers are told as the key of pieces that need no other.
    pub key: Option<Name>,
    /// Until the answer is in time.
    pub to_objective: Duration,
    /// Until the caller stops waiting.
    pub to_deadline: Duration,
    /// Expected time from the stages' end to the answer's start.
    pub after: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Where the last results will be fetched from, as far as is known.
    pub data_centre: Name,
    /// Where its stages may be made.
    #[serde(default)]
    pub homes: Homes,
    /// Whether another owner had begun it.
    pub resubmitted: bool,
    /// What the request holds and who asks.
    #[serde(default)]
    pub fingerprint: Fingerprint,
}

fn no_name() -> Name {
    "".into()
}

/// One stage of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStage {
    /// The pool that makes its pieces.
    pub pool: Name,
    /// Positions of the stages whose results it needs.
    pub after: Vec<usize>,
    /// About how many bytes one result fills.
    pub result_bytes: u64,
    /// How many pieces.
    pub pieces: usize,
    /// Results that are there already, by piece; empty where the stage is not done.
    pub done: Vec<Made>,
}

/// Why an owner gave a job up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReason {
    /// It would not end in time.
    WouldBeLate,
    /// Results would not find room.
    NoRoom,
    /// No endpoint of a pool takes work.
    NoEndpoint,
    /// The deadline passed.
    DeadlinePassed,
    /// Pieces failed, and no repeat is left in the budget.
    RepeatBudget,
    /// Pieces failed too often.
    Failed,
    /// The gateway that was asked owns nothing now.
    NotOwner,
}

/// What one gateway tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Who is there, and what the sender has seen of the documents.
    Gossip {
        /// Members that the sender takes for alive, itself among them.
        members: Vec<Member>,
        /// What it has seen.
        seen: Seen,
        /// Whether it has seen a configuration and a whole list.
        complete: bool,
        /// What it uses at endpoints as an owner.
        usage: Vec<Usage>,
        /// How late it handles its events.
        #[serde(default)]
        late: Duration,
        /// What it knows of orders to evacuate data centres.
        #[serde(default)]
        evacuations: Evacuations,
        /// Endpoints that it heard leave, as far as the receiver may not know.
        #[serde(default)]
        departures: Vec<Departure>,
        /// Limits that endpoints name, as far as the receiver may not know.
        #[serde(default)]
        limits: Vec<LimitTold>,
        /// The newest era of the store that it knows; 0 from builds without eras.
        #[serde(default)]
        era: u64,
    },
    /// Asks for the documents that the sender lacks.
    Pull {
        /// What it has seen.
        seen: Seen,
        /// Whether a newer configuration is wanted, besides entries of endpoints.
        #[serde(default)]
        configuration: bool,
        /// Counts the sender's pulls of configurations; 0 if it doesn't tell.
        #[serde(default)]
        number: u64,
    },
    /// The configuration that was asked for. It is long, and travels apart from all other messages.
    Configuration {
        /// The revision of its last change.
        revision: u64,
        /// The configuration.
        deployment: Arc<Deployment>,
        /// The number of the pull that it answers; it travels ahead of the message.
        #[serde(skip)]
        pull: u64,
        /// The era of that revision.
        #[serde(default)]
        era: u64,
    },
    /// The sender has no newer configuration, or sends it to too many others now.
    NoConfiguration,
    /// Entries of endpoints.
    Documents {
        /// What the receiver had not seen.
        documents: Vec<Revised>,
        /// Whether, with what was asked for, the receiver has the whole list.
        complete: bool,
        /// The highest revision that the sender has seen; entries that are gone for long are forgotten,
        /// and it alone is left of them.
        #[serde(default)]
        seen: u64,
        /// The era of that revision.
        #[serde(default)]
        era: u64,
    },
    /// Run the stages of a request.
    Submit(Box<Job>),
    /// The job is begun and will be ended, one way or the other.
    Accepted(JobId),
    /// The job is not begun, or is ended without its results.
    GivenUp {
        /// Which.
        job: JobId,
        /// Why.
        reason: JobReason,
        /// Whether nothing of it was begun.
        untouched: bool,
        /// When to come back.
        retry_after: Duration,
    },
    /// A stage is done.
    StageDone {
        /// Which job.
        job: JobId,
        /// Its position.
        stage: usize,
        /// The results by piece.
        results: Vec<Made>,
    },
    /// Every stage is done; the results of the last ones stand in [`Self::StageDone`].
    Ready(JobId),
    /// The results of a job are not needed any more, or the job as a whole.
    Release(JobId),
    /// What the sender knows of contents under which endpoints crashed.
    Suspects(Vec<Account>),
    /// Asks for that, where the digest of what the receiver knows is another one.
    AskSuspects(u64),
    /// Asks for a permit to send an endpoint with a limit one message.
    AskPermit {
        /// The sender's number for it.
        number: u64,
        /// The endpoint, and what the sender knows of its limit.
        limit: LimitTold,
        /// 0 is the most urgent.
        priority: u8,
        /// How long it may wait for its turn.
        wait: Duration,
    },
    /// Decides on that.
    Permit {
        /// The number of the one who asked.
        number: u64,
        /// Whether the message may go out now.
        given: bool,
        /// If not, when it would be its turn.
        retry_after: Duration,
    },
}

impl PeerMessage {
    /// The word for metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Gossip { .. } => "gossip",
            Self::Pull { .. } => "pull",
            Self::Configuration { .. } => "configuration",
            Self::NoConfiguration => "no_configuration",
            Self::Documents { .. } => "documents",
            Self::Submit(_) => "submit",
            Self::Accepted(_) => "accepted",
            Self::GivenUp { .. } => "given_up",
            Self::StageDone { .. } => "stage_done",
            Self::Ready(_) => "ready",
            Self::Release(_) => "release",
            Self::Suspects(_) => "suspects",
            Self::AskSuspects(_) => "ask_suspects",
            Self::AskPermit { .. } => "ask_permit",
            Self::Permit { .. } => "permit",
        }
    }
}
