//! The typed messages between gateways and agents, and the identifiers they carry.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// Time since the process started; cores get it as an argument and never read a clock.
pub type Timestamp = Duration;

/// Identifies one run of a process; drawn at random at startup, never 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Placeholder for an unknown incarnation; every agent refuses it.
    pub const UNKNOWN: Self = Self(0);
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The text is not a valid request identifier.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{text:?} is not a request id: expected gateway.incarnation.number"))]
pub struct BadRequestId {
    /// The invalid text.
    text: String,
}

/// Identifies a request and the gateway that scheduled it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// Host name of the gateway in the settings.
    pub gateway: std::sync::Arc<str>,
    /// Incarnation of the gateway.
    pub incarnation: Incarnation,
    /// Sequence number of the request within the incarnation.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.gateway, self.incarnation, self.number)
    }
}

impl FromStr for RequestId {
    type Err = BadRequestId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_request_id(text).context(BadRequestIdSnafu { text })
    }
}

fn parse_request_id(text: &str) -> Option<RequestId> {
    let (rest, number) = text.rsplit_once('.')?;
    let (gateway, incarnation) = rest.rsplit_once('.')?;
    let incarnation = Incarnation(u64::from_str_radix(incarnation, 16).ok()?);
    Some(RequestId { gateway: gateway.into(), incarnation, number: number.parse().ok()? })
}

/// Identifies one attempt to run one stage of one request; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// Incarnation of the gateway.
    pub gateway: Incarnation,
    /// Sequence number of the attempt within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.gateway, self.sequence)
    }
}

/// Request of a gateway to an agent: run a stage, or resume sending the result of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that is addressed; any other must not start the attempt.
    pub agent: Incarnation,
    /// Name of the endpoint that is addressed.
    pub endpoint: String,
    /// Identifier of the request, for the endpoint's records.
    pub request: String,
    /// Name of the stage.
    pub stage: String,
    /// Organisation to which the fair share of the attempt is charged.
    pub organisation: String,
    /// Queue priority; higher values leave the queue first.
    pub priority: u8,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Offset in bytes from which to resume the result of a known attempt; `None` starts the
    /// attempt.
    pub resume: Option<u64>,
    /// Claim that must be granted before a request with a ticket starts.
    pub claim: Option<Claim>,
    /// Input of the stage.
    pub input: Bytes,
}

/// Claim of a request with a ticket; the agent that issued the ticket must grant its first
/// dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Number of the ticket at the agent that issued it.
    pub ticket: u64,
    /// Incarnation of the agent that issued the ticket.
    pub home: Incarnation,
    /// Address of the agent that issued the ticket.
    pub address: std::net::SocketAddr,
    /// Run that requests the grant.
    pub run: RunId,
}

/// Identifies one run of a request with a ticket, by the gateway that carries it out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunId {
    /// Incarnation of the gateway.
    pub gateway: Incarnation,
    /// Sequence number of the request at the gateway.
    pub number: u64,
}

/// How much of a refused request or attempt has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Nothing has run, and nothing will run.
    NotRun,
    /// Earlier stages ran; the rest has not run and will not run.
    RanInPart,
    /// It may have run.
    Unknown,
}

/// Reason for which an agent refuses or abandons an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentReason {
    /// The agent's queue is full.
    QueueFull,
    /// The endpoint or its agent is draining.
    Leaving,
    /// The message was addressed to another incarnation of the agent.
    WrongIncarnation,
    /// The message was addressed to another endpoint.
    WrongEndpoint,
    /// The gateway revoked the attempt.
    Revoked,
    /// The deadline expired in the queue.
    DeadlinePassed,
    /// The attempt is not known, or no longer known.
    Forgotten,
    /// The gateway could not reach the agent.
    AgentUnreachable,
    /// The agent could not reach the endpoint.
    EndpointUnreachable,
    /// The endpoint failed while it ran the attempt.
    EndpointFailed,
    /// The attempt made no progress for far longer than such a stage takes.
    Stalled,
    /// The endpoint responded to another attempt, or its response exceeds the size limit or has
    /// neither a length nor chunks.
    EndpointMisbehaved,
    /// The agent that issued the ticket did not grant the run.
    ClaimRefused,
    /// The peer uses another protocol version.
    ProtocolVersion,
}

impl AgentReason {
    /// Label used in explanations and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::Leaving => "leaving",
            Self::WrongIncarnation => "wrong_incarnation",
            Self::WrongEndpoint => "wrong_endpoint",
            Self::Revoked => "revoked",
            Self::DeadlinePassed => "deadline_passed",
            Self::Forgotten => "forgotten",
            Self::AgentUnreachable => "agent_unreachable",
            Self::EndpointUnreachable => "endpoint_unreachable",
            Self::EndpointFailed => "endpoint_failed",
            Self::Stalled => "stalled",
            Self::EndpointMisbehaved => "endpoint_misbehaved",
            Self::ClaimRefused => "claim_refused",
            Self::ProtocolVersion => "protocol_version",
        }
    }
}

/// Report of an agent on an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The attempt is in the agent's queue.
    Queued,
    /// The attempt was sent to the endpoint.
    Begun,
    /// A chunk of the result.
    Chunk {
        /// Offset of the chunk in bytes.
        offset: u64,
        /// Content of the chunk.
        data: Bytes,
    },
    /// The result is complete.
    Done {
        /// Length of the result in bytes.
        length: u64,
        /// xxh3-64 digest of the result.
        digest: u64,
        /// Service time at the endpoint.
        service: Duration,
    },
    /// The attempt ended without a result.
    Refused {
        /// Whether the attempt ran; only `NotRun` proves that it didn't.
        ran: Ran,
        /// Reason of the failure.
        reason: AgentReason,
        /// Delay after which a retry is worthwhile.
        retry_after: Duration,
    },
}

impl Reply {
    /// Whether this is the last reply of an attempt.
    pub const fn is_final(&self) -> bool {
        matches!(self, Self::Done { .. } | Self::Refused { .. })
    }
}

/// Load of an agent, reported with every reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Attempts in the queue.
    pub queued: u32,
    /// Attempts sent to the endpoint that have not ended.
    pub running: u32,
    /// Maximum number of attempts at the endpoint at once.
    pub limit: u32,
}

/// Outcome of the revocation of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Revocation {
    /// The attempt has not run and will not run.
    NotRun,
    /// The attempt was sent to the endpoint.
    Begun,
    /// The agent's incarnation has no record of the attempt.
    Unknown,
    /// The agent did not respond.
    Unreachable,
}
