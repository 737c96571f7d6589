//! Tickets at the gateway: signed names of a home, opened for callers and checked when they come back.

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

/// Clocks of hosts may differ by this much; the home itself counts the time.
const CLOCK_ALLOWANCE: Duration = Duration::from_secs(60);
/// How long a home may take to answer.
const HOME_TIMEOUT: Duration = Duration::from_millis(500);
const FORMAT: &str = "1";

/// Why a ticket is of no use.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum TicketError {
    /// It is not written as a ticket.
    #[snafu(display("not a ticket"))]
    Syntax,
    /// Its signature is not this fleet's.
    #[snafu(display("the ticket's signature is wrong"))]
    Forged,
    /// It has expired.
    #[snafu(display("the ticket has expired"))]
    Expired,
    /// Its home has restarted, or can't be reached.
    #[snafu(display("the ticket's home is gone"))]
    HomeGone,
    /// No agent could open a ticket.
    #[snafu(display("no agent could open a ticket"))]
    NoHome,
}

/// A ticket as a caller holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Issued {
    /// What to send with the request, and with each repeat of it.
    pub ticket: String,
    /// How long it is valid, in milliseconds.
    pub valid_ms: u64,
}

/// What a ticket names.
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

    /// The text that callers hold.
    pub fn sign(&self, key: &str) -> String {
        let payload = self.payload();
        let signature = mac(key, &payload).finalize().into_bytes();
        format!("{payload}|{signature:x}")
    }

    /// Reads and checks a caller's text.
    pub fn verify(text: &str, key: &str) -> Result<Self, TicketError> {
        let (payload, signature) = text.rsplit_once('|').context(SyntaxSnafu)?;
        let signature = from_hex(signature).context(SyntaxSnafu)?;
        ensure!(mac(key, payload).verify_slice(&signature).is_ok(), ForgedSnafu);
        let ticket = parse(payload).context(SyntaxSnafu)?;
        let latest = Duration::from_millis(ticket.expires_unix_ms) + CLOCK_ALLOWANCE;
        ensure!(unix_time() <= latest, ExpiredSnafu);
        Ok(ticket)
    }

    /// The claim that agents take to the home; the gateway's core fills in the run.
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

/// Opens a ticket at one of the agents.
pub async fn open(
    channels: &Channels,
    agents: &[SocketAddr],
    valid: Duration,
    key: &str,
) -> Result<Issued, TicketError> {
    let valid_ms = valid.as_millis() as u64;
    for &address in agents {
        let request = v1::OpenTicketRequest { valid_ms };
        let asked = async {
            let channel = channels.get(address).await.ok()?;
            AgentClient::new(channel).open_ticket(request).await.ok()
        };
        let reply = tokio::time::timeout(HOME_TIMEOUT, asked).await.ok().flatten();
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
        return Ok(Issued { ticket: ticket.sign(key), valid_ms });
    }
    NoHomeSnafu.fail()
}

/// What became of a ticket's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate {
    /// Nothing of it has begun.
    Free,
    /// A run has begun, and has not ended with an answer.
    Begun,
    /// It was answered.
    Done {
        /// The request that answered it.
        request: String,
        /// The whole answer.
        answer: Vec<u8>,
    },
}

/// Asks a ticket's home.
pub async fn read(channels: &Channels, claim: &Claim) -> Result<Fate, TicketError> {
    let request = v1::ReadTicketRequest { ticket: claim.ticket, home: claim.home.0 };
    let asked = async {
        let channel = channels.get(claim.address).await.ok()?;
        AgentClient::new(channel).read_ticket(request).await.ok()
    };
    let reply = tokio::time::timeout(HOME_TIMEOUT, asked).await.ok().flatten();
    let reply = reply.context(HomeGoneSnafu)?.into_inner();
    match reply.state() {
        v1::TicketState::Void => HomeGoneSnafu.fail(),
        v1::TicketState::Free => Ok(Fate::Free),
        v1::TicketState::Begun => Ok(Fate::Begun),
        v1::TicketState::Done => Ok(Fate::Done { request: reply.request, answer: reply.answer }),
    }
}

/// How a run under a ticket ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The run.
    pub run: RunId,
    /// Its request.
    pub request: String,
    /// Whether something of it may have begun.
    pub begun: bool,
    /// The whole answer, where there is one.
    pub answer: Option<Vec<u8>>,
}

/// Tells the home how a run ended; where it can't be told, a repeat hears "may have run".
pub async fn finish(channels: &Channels, claim: &Claim, ended: Ended) {
    let request = v1::FinishTicketRequest {
        ticket: claim.ticket,
        home: claim.home.0,
        run: Some(ended.run.into()),
        begun: ended.begun,
        answer: ended.answer,
        request: ended.request,
    };
    let told = async {
        let channel = channels.get(claim.address).await.ok()?;
        AgentClient::new(channel).finish_ticket(request).await.ok()
    };
    tokio::time::timeout(HOME_TIMEOUT, told).await.ok();
}
