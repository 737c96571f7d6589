//! Tickets at the gateway: opens them at an agent, signs them, and verifies them with each request.
//!
//! A ticket lets a caller repeat a request safely. The agent that issued it (`home` on the wire)
//! grants it to one run only and keeps the answer.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hmac::{Hmac, Mac};
use serde::Serialize;
use sha2::Sha256;
use snafu::{OptionExt, Snafu, ensure};

use crate::channels::Channels;
use crate::message::{Claim, Incarnation, RunId};
use crate::wire::v1;
use crate::wire::v1::agent_client::AgentClient;

/// Tolerated difference between the clocks of hosts; the issuing agent enforces the exact expiry.
const CLOCK_ALLOWANCE: Duration = Duration::from_secs(60);
/// Timeout of a call to an issuing agent.
const ISSUER_TIMEOUT: Duration = Duration::from_millis(500);
const FORMAT: &str = "1";

/// Why a ticket can't be opened or used.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum TicketError {
    /// The text is not in the ticket format.
    #[snafu(display("malformed ticket"))]
    Syntax,
    /// The signature does not match the fleet's key.
    #[snafu(display("invalid ticket signature"))]
    Forged,
    /// The ticket has expired.
    #[snafu(display("ticket expired"))]
    Expired,
    /// The issuing agent restarted, is unreachable, or no longer has the ticket.
    #[snafu(display("ticket void, or its issuing agent restarted or is unreachable"))]
    Void,
    /// None of the agents that were asked opened a ticket.
    #[snafu(display("no agent opened a ticket"))]
    NoIssuer,
}

/// A newly opened ticket, as returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct IssuedTicket {
    /// Text to send with the request and with each repeat of it.
    pub ticket: String,
    /// Validity of the ticket, in milliseconds.
    pub valid_ms: u64,
}

/// Content of a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    number: u64,
    home: Incarnation,
    address: SocketAddr,
    expires_unix_ms: u64,
}

impl Ticket {
    fn payload(&self) -> String {
        let Self { number, home, address, expires_unix_ms } = self;
        format!("{FORMAT}|{number:016x}|{home}|{address}|{expires_unix_ms}")
    }

    /// Encodes and signs the ticket.
    pub fn sign(&self, key: &str) -> String {
        let payload = self.payload();
        let signature = mac(key, &payload).finalize().into_bytes();
        format!("{payload}|{signature:x}")
    }

    /// Parses a ticket and checks its signature and expiry.
    pub fn verify(text: &str, key: &str) -> Result<Self, TicketError> {
        let (payload, signature) = text.rsplit_once('|').context(SyntaxSnafu)?;
        let signature = from_hex(signature).context(SyntaxSnafu)?;
        ensure!(mac(key, payload).verify_slice(&signature).is_ok(), ForgedSnafu);
        let ticket = parse(payload).context(SyntaxSnafu)?;
        let latest = Duration::from_millis(ticket.expires_unix_ms) + CLOCK_ALLOWANCE;
        ensure!(unix_time() <= latest, ExpiredSnafu);
        Ok(ticket)
    }

    /// The claim that an agent makes at the issuing agent; the gateway's core sets its run.
    pub const fn claim(&self) -> Claim {
        let run = RunId { gateway: Incarnation::UNKNOWN, number: 0 };
        Claim { ticket: self.number, home: self.home, address: self.address, run }
    }
}

fn parse(payload: &str) -> Option<Ticket> {
    let mut fields = payload.split('|');
    if fields.next()? != FORMAT {
        return None;
    }
    let number = u64::from_str_radix(fields.next()?, 16).ok()?;
    let home = Incarnation(u64::from_str_radix(fields.next()?, 16).ok()?);
    let address = fields.next()?.parse().ok()?;
    let expires_unix_ms = fields.next()?.parse().ok()?;
    Some(Ticket { number, home, address, expires_unix_ms })
}

fn mac(key: &str, payload: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("any length is a key");
    mac.update(payload.as_bytes());
    mac
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok()).collect()
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Opens a ticket at the first of `agents` that grants one.
pub async fn open(
    channels: &Channels,
    agents: &[SocketAddr],
    valid: Duration,
    key: &str,
) -> Result<IssuedTicket, TicketError> {
    let valid_ms = valid.as_millis() as u64;
    for &address in agents {
        let request = v1::OpenTicketRequest { valid_ms };
        let call = async {
            let channel = channels.get(address).await.ok()?;
            AgentClient::new(channel).open_ticket(request).await.ok()
        };
        let reply = tokio::time::timeout(ISSUER_TIMEOUT, call).await.ok().flatten();
        let Some(reply) = reply.map(tonic::Response::into_inner) else {
            channels.forget(address);
            continue;
        };
        if reply.ticket == 0 {
            continue;
        }
        let expires_unix_ms = (unix_time() + valid).as_millis() as u64;
        let home = Incarnation(reply.home);
        let ticket = Ticket { number: reply.ticket, home, address, expires_unix_ms };
        return Ok(IssuedTicket { ticket: ticket.sign(key), valid_ms });
    }
    NoIssuerSnafu.fail()
}

/// State of a ticket's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketState {
    /// No run has begun.
    Free,
    /// A run has begun; no answer is kept.
    Begun,
    /// The request completed.
    Done {
        /// Identity of the request that completed.
        request: String,
        /// The complete result.
        answer: Vec<u8>,
    },
}

/// Reads the state of a ticket from its issuing agent.
pub async fn read(channels: &Channels, claim: &Claim) -> Result<TicketState, TicketError> {
    let request = v1::ReadTicketRequest { ticket: claim.ticket, home: claim.home.0 };
    let call = async {
        let channel = channels.get(claim.address).await.ok()?;
        AgentClient::new(channel).read_ticket(request).await.ok()
    };
    let reply = tokio::time::timeout(ISSUER_TIMEOUT, call).await.ok().flatten();
    let reply = reply.context(VoidSnafu)?.into_inner();
    match reply.state() {
        v1::TicketState::Void => VoidSnafu.fail(),
        v1::TicketState::Free => Ok(TicketState::Free),
        v1::TicketState::Begun => Ok(TicketState::Begun),
        v1::TicketState::Done => {
            Ok(TicketState::Done { request: reply.request, answer: reply.answer })
        }
    }
}

/// The end of a run under a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// Identity of the run.
    pub run: RunId,
    /// Identity of the request.
    pub request: String,
    /// Whether any stage of the run may have begun.
    pub begun: bool,
    /// The complete result, if the run completed.
    pub answer: Option<Vec<u8>>,
}

/// Reports the end of a run to the issuing agent. If the report fails, a repeat of the request is
/// refused with `ran: unknown`.
pub async fn finish(channels: &Channels, claim: &Claim, ended: RunEnd) {
    let request = v1::FinishTicketRequest {
        ticket: claim.ticket,
        home: claim.home.0,
        run: Some(ended.run.into()),
        begun: ended.begun,
        answer: ended.answer,
        request: ended.request,
    };
    let call = async {
        let channel = channels.get(claim.address).await.ok()?;
        AgentClient::new(channel).finish_ticket(request).await.ok()
    };
    tokio::time::timeout(ISSUER_TIMEOUT, call).await.ok();
}
