//! The typed messages between a gateway and the agents, and the identities in them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// Time since the start of the process; the cores never read a clock.
pub type Timestamp = Duration;

/// One life of a process; drawn at random when it starts, never 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Stands for "not known yet"; every agent refuses it.
    pub const UNKNOWN: Self = Self(0);
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An identity that is not written as one.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{text:?} is not a request id: expected gateway.incarnation.number"))]
pub struct BadRequestId {
    /// The text.
    text: String,
}

/// Names a request, and with it the gateway that decided it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// The gateway's host name in the settings.
    pub gateway: std::sync::Arc<str>,
    /// The gateway's incarnation.
    pub incarnation: Incarnation,
    /// Counts the requests of that incarnation.
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

/// One attempt to run one stage of one request; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The gateway's incarnation.
    pub gateway: Incarnation,
    /// Counts the attempts of that incarnation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.gateway, self.sequence)
    }
}

/// What a gateway asks of an agent: run a stage, or go on sending what an attempt gave.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// This attempt.
    pub attempt: AttemptId,
    /// The agent's incarnation that is meant; another one must not begin it.
    pub agent: Incarnation,
    /// The endpoint that is meant.
    pub endpoint: String,
    /// The request, for the endpoint's own records.
    pub request: String,
    /// The stage's name.
    pub stage: String,
    /// Whose fair share it is.
    pub organisation: String,
    /// A higher one leaves the queue first.
    pub priority: u8,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// From where to go on, in bytes, when this attempt was asked for before; `None` begins it.
    pub resume: Option<u64>,
    /// The claim that must be granted before a request under a ticket begins.
    pub claim: Option<Claim>,
    /// The stage's input.
    pub input: Bytes,
}

/// A request under a ticket: the ticket's home must grant its first hand-over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The ticket's number at its home.
    pub ticket: u64,
    /// The home's incarnation.
    pub home: Incarnation,
    /// The home's address.
    pub address: std::net::SocketAddr,
    /// The run that asks: the gateway's incarnation and the request's number.
    pub run: RunId,
}

/// One run of a request under a ticket: whichever gateway carries it out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunId {
    /// The gateway's incarnation.
    pub gateway: Incarnation,
    /// The request's number there.
    pub number: u64,
}

/// How much of something ran, in every refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Nothing of it has run, nor will.
    NotRun,
    /// Earlier stages ran; the rest has not and will not.
    RanInPart,
    /// It may have run.
    Unknown,
}

/// Why an agent refuses or gives up an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentReason {
    /// The agent's queue is full.
    QueueFull,
    /// The endpoint or its agent is leaving.
    Leaving,
    /// The message meant another life of this agent.
    WrongIncarnation,
    /// The message meant another endpoint.
    WrongEndpoint,
    /// The gateway took the attempt back.
    Revoked,
    /// The deadline passed in the queue.
    DeadlinePassed,
    /// The attempt is not known here (any more).
    Forgotten,
    /// The gateway could not reach the agent.
    AgentUnreachable,
    /// The agent could not reach the endpoint.
    EndpointUnreachable,
    /// The endpoint failed while it ran the attempt.
    EndpointFailed,
    /// Nothing was heard of it for far longer than such a stage takes.
    Stalled,
    /// The endpoint answered for another attempt, or more than the bound.
    EndpointMisbehaved,
    /// The ticket's home did not grant the run.
    ClaimRefused,
    /// The peer speaks another version of the protocol.
    ProtocolVersion,
}

impl AgentReason {
    /// The word in explanations and metrics.
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

/// What an agent says of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// It waits in the agent's queue.
    Queued,
    /// It was handed over to the endpoint.
    Begun,
    /// A piece of the result.
    Chunk {
        /// Where the piece starts, in bytes.
        offset: u64,
        /// The piece.
        data: Bytes,
    },
    /// The result is whole.
    Done {
        /// Its bytes.
        length: u64,
        /// xxh3-64 of them.
        digest: u64,
        /// Time at the endpoint.
        service: Duration,
    },
    /// It ended without a result.
    Refused {
        /// `NotRun` is a proof; anything else is not.
        ran: Ran,
        /// Why.
        reason: AgentReason,
        /// When to come back.
        retry_after: Duration,
    },
}

impl Reply {
    /// Whether nothing follows it.
    pub const fn is_final(&self) -> bool {
        matches!(self, Self::Done { .. } | Self::Refused { .. })
    }
}

/// What an agent reports of its load, with every reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Attempts that wait.
    pub queued: u32,
    /// Attempts handed over and not ended.
    pub running: u32,
    /// Attempts that it hands over at once.
    pub limit: u32,
}

/// What became of an attempt that a gateway takes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Revocation {
    /// It has not run and will not.
    NotRun,
    /// It was handed over.
    Begun,
    /// This life of the agent can't know.
    Unknown,
    /// The agent did not answer.
    Unreachable,
}
