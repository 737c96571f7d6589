//! Conversions between generated and typed messages; what does not fit is a [`BadMessage`].

use std::time::Duration;

use bytes::Bytes;
use snafu::{OptionExt, Snafu};

use super::{PROTOCOL, v1};
use crate::message::{
    AgentReason, AttemptId, Claim, Incarnation, Load, Ran, Reply, Revocation, Run, RunId,
};

/// A message that violates the protocol.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum BadMessage {
    /// A required field is missing.
    #[snafu(display("the field {field} is missing"))]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A field has an invalid value.
    #[snafu(display("the field {field} can't be read"))]
    Unreadable {
        /// Name of the field.
        field: &'static str,
    },
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl From<AttemptId> for v1::AttemptId {
    fn from(id: AttemptId) -> Self {
        Self { gateway: id.gateway.0, sequence: id.sequence }
    }
}

impl From<v1::AttemptId> for AttemptId {
    fn from(id: v1::AttemptId) -> Self {
        Self { gateway: Incarnation(id.gateway), sequence: id.sequence }
    }
}

impl From<RunId> for v1::RunId {
    fn from(id: RunId) -> Self {
        Self { gateway: id.gateway.0, number: id.number }
    }
}

impl From<v1::RunId> for RunId {
    fn from(id: v1::RunId) -> Self {
        Self { gateway: Incarnation(id.gateway), number: id.number }
    }
}

impl From<Load> for v1::Load {
    fn from(load: Load) -> Self {
        Self { queued: load.queued, running: load.running, limit: load.limit }
    }
}

impl From<v1::Load> for Load {
    fn from(load: v1::Load) -> Self {
        Self { queued: load.queued, running: load.running, limit: load.limit }
    }
}

impl From<Revocation> for v1::Outcome {
    fn from(outcome: Revocation) -> Self {
        match outcome {
            Revocation::NotRun => Self::NotRun,
            Revocation::Begun => Self::Begun,
            Revocation::Unknown | Revocation::Unreachable => Self::Unknown,
        }
    }
}

impl From<v1::Outcome> for Revocation {
    fn from(outcome: v1::Outcome) -> Self {
        match outcome {
            v1::Outcome::NotRun => Self::NotRun,
            v1::Outcome::Begun => Self::Begun,
            v1::Outcome::Unknown => Self::Unknown,
        }
    }
}

/// Converts a [`Run`] to its wire form.
pub fn run_to_wire(run: Run) -> v1::RunRequest {
    v1::RunRequest {
        protocol: PROTOCOL,
        attempt: Some(run.attempt.into()),
        agent: run.agent.0,
        endpoint: run.endpoint,
        request: run.request,
        stage: run.stage,
        organisation: run.organisation,
        priority: run.priority.into(),
        time_left_us: micros(run.time_left),
        resume: run.resume,
        claim: run.claim.map(claim_to_wire),
        input: run.input.into(),
    }
}

fn claim_to_wire(claim: Claim) -> v1::Claim {
    v1::Claim {
        ticket: claim.ticket,
        home: claim.home.0,
        address: claim.address.to_string(),
        run: Some(claim.run.into()),
    }
}

/// Converts a [`Run`] from its wire form.
pub fn run_from_wire(run: v1::RunRequest) -> Result<Run, BadMessage> {
    let attempt = run.attempt.context(MissingSnafu { field: "attempt" })?;
    Ok(Run {
        attempt: attempt.into(),
        agent: Incarnation(run.agent),
        endpoint: run.endpoint,
        request: run.request,
        stage: run.stage,
        organisation: run.organisation,
        priority: u8::try_from(run.priority).unwrap_or(u8::MAX),
        time_left: Duration::from_micros(run.time_left_us),
        resume: run.resume,
        claim: run.claim.map(claim_from_wire).transpose()?,
        input: Bytes::from(run.input),
    })
}

fn claim_from_wire(claim: v1::Claim) -> Result<Claim, BadMessage> {
    let address = claim.address.parse().ok();
    Ok(Claim {
        ticket: claim.ticket,
        home: Incarnation(claim.home),
        address: address.context(UnreadableSnafu { field: "claim.address" })?,
        run: claim.run.context(MissingSnafu { field: "claim.run" })?.into(),
    })
}

/// Converts a [`Reply`] to its wire form.
pub fn reply_to_wire(
    attempt: AttemptId,
    agent: Incarnation,
    load: Load,
    reply: Reply,
) -> v1::StageReply {
    use v1::stage_reply::Reply as Wire;
    let reply = match reply {
        Reply::Queued => Wire::Queued(v1::Queued {}),
        Reply::Begun => Wire::Begun(v1::Begun {}),
        Reply::Chunk { offset, data } => Wire::Chunk(v1::Chunk { offset, data: data.into() }),
        Reply::Done { length, digest, service } => {
            Wire::Done(v1::Done { length, digest, service_us: micros(service) })
        }
        Reply::Refused { ran, reason, retry_after } => Wire::Refused(v1::Refused {
            ran: ran_to_wire(ran).into(),
            reason: reason_to_wire(reason).into(),
            retry_after_us: micros(retry_after),
        }),
    };
    v1::StageReply {
        attempt: Some(attempt.into()),
        agent: agent.0,
        load: Some(load.into()),
        reply: Some(reply),
    }
}

/// Converts a [`Reply`] from its wire form.
pub fn reply_from_wire(reply: v1::stage_reply::Reply) -> Reply {
    use v1::stage_reply::Reply as Wire;
    match reply {
        Wire::Queued(_) => Reply::Queued,
        Wire::Begun(_) => Reply::Begun,
        Wire::Chunk(c) => Reply::Chunk { offset: c.offset, data: Bytes::from(c.data) },
        Wire::Done(d) => Reply::Done {
            length: d.length,
            digest: d.digest,
            service: Duration::from_micros(d.service_us),
        },
        Wire::Refused(r) => Reply::Refused {
            ran: ran_from_wire(r.ran()),
            reason: reason_from_wire(r.reason()),
            retry_after: Duration::from_micros(r.retry_after_us),
        },
    }
}

const fn ran_to_wire(ran: Ran) -> v1::Ran {
    match ran {
        Ran::NotRun => v1::Ran::NotRun,
        Ran::RanInPart | Ran::Unknown => v1::Ran::Unknown,
    }
}

const fn ran_from_wire(ran: v1::Ran) -> Ran {
    match ran {
        v1::Ran::NotRun => Ran::NotRun,
        v1::Ran::Unknown => Ran::Unknown,
    }
}

const fn reason_to_wire(reason: AgentReason) -> v1::Reason {
    match reason {
        AgentReason::QueueFull => v1::Reason::QueueFull,
        AgentReason::Leaving => v1::Reason::Leaving,
        AgentReason::WrongIncarnation => v1::Reason::WrongIncarnation,
        AgentReason::WrongEndpoint => v1::Reason::WrongEndpoint,
        AgentReason::Revoked => v1::Reason::Revoked,
        AgentReason::DeadlinePassed => v1::Reason::DeadlinePassed,
        AgentReason::Forgotten => v1::Reason::Forgotten,
        AgentReason::AgentUnreachable | AgentReason::EndpointUnreachable => {
            v1::Reason::EndpointUnreachable
        }
        AgentReason::EndpointFailed | AgentReason::Stalled => v1::Reason::EndpointFailed,
        AgentReason::EndpointMisbehaved => v1::Reason::EndpointMisbehaved,
        AgentReason::ClaimRefused => v1::Reason::ClaimRefused,
        AgentReason::ProtocolVersion => v1::Reason::ProtocolVersion,
    }
}

const fn reason_from_wire(reason: v1::Reason) -> AgentReason {
    match reason {
        v1::Reason::QueueFull => AgentReason::QueueFull,
        v1::Reason::Leaving => AgentReason::Leaving,
        v1::Reason::WrongIncarnation => AgentReason::WrongIncarnation,
        v1::Reason::WrongEndpoint => AgentReason::WrongEndpoint,
        v1::Reason::Revoked => AgentReason::Revoked,
        v1::Reason::DeadlinePassed => AgentReason::DeadlinePassed,
        v1::Reason::Forgotten => AgentReason::Forgotten,
        v1::Reason::EndpointUnreachable => AgentReason::EndpointUnreachable,
        v1::Reason::EndpointFailed | v1::Reason::Unspecified => AgentReason::EndpointFailed,
        v1::Reason::EndpointMisbehaved => AgentReason::EndpointMisbehaved,
        v1::Reason::ClaimRefused => AgentReason::ClaimRefused,
        v1::Reason::ProtocolVersion => AgentReason::ProtocolVersion,
    }
}
