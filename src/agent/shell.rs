//! I/O of the agent: calls from gateways, calls to the endpoint, and claims at issuing agents.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio_stream::Stream;
use tonic::Status;

use super::core::AgentCore;
use super::endpoint::EndpointClient;
use super::event::{Action, CallId, CallStart, ClaimAnswer, Event};
use crate::actor::{Handle, Shell};
use crate::channels::Channels;
use crate::config::EndpointKind;
use crate::message::{AgentReason, AttemptId, Claim, Incarnation, Load, Ran, Reply, Revocation};
use crate::wire::v1::agent_client::AgentClient;
use crate::wire::{PROTOCOL, reply_to_wire, run_from_wire, v1};

/// Timeout of a claim; the attempt occupies a slot of the endpoint until the claim is answered.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

type ReplySender = mpsc::UnboundedSender<Result<v1::StageReply, Status>>;

/// The open calls of gateways, with the channels on which they are answered.
#[derive(Default)]
struct Calls {
    next: AtomicU64,
    streams: Mutex<HashMap<CallId, ReplySender>>,
    revocations: Mutex<HashMap<CallId, oneshot::Sender<Revocation>>>,
}

impl Calls {
    fn next(&self) -> CallId {
        CallId(self.next.fetch_add(1, Ordering::Relaxed) + 1)
    }

    fn open(&self, sender: ReplySender) -> CallId {
        let call = self.next();
        self.streams.lock().unwrap_or_else(PoisonError::into_inner).insert(call, sender);
        call
    }

    fn close(&self, call: CallId) {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner).remove(&call);
    }

    fn send(&self, call: CallId, reply: v1::StageReply, is_final: bool) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = streams.get(&call) {
            sender.send(Ok(reply)).ok();
        }
        if is_final {
            streams.remove(&call);
        }
    }
}

/// Executes the actions of the agent core.
pub struct AgentShell {
    calls: Arc<Calls>,
    core: Handle<AgentCore>,
    endpoint: EndpointClient,
    kind: Arc<Mutex<EndpointKind>>,
    channels: Arc<Channels>,
    running: HashMap<AttemptId, AbortHandle>,
}

/// Creates the shell, and the service that passes gateways' calls to the core.
pub fn shell(
    core: Handle<AgentCore>,
    incarnation: Incarnation,
    endpoint: EndpointClient,
    kind: Arc<Mutex<EndpointKind>>,
    channels: Arc<Channels>,
) -> (AgentShell, StageService) {
    let calls = Arc::<Calls>::default();
    let service = StageService { calls: calls.clone(), core: core.clone(), incarnation };
    let shell = AgentShell { calls, core, endpoint, kind, channels, running: HashMap::new() };
    (shell, service)
}

impl Shell<AgentCore> for AgentShell {
    fn act(&mut self, action: Action, core: &AgentCore) {
        match action {
            Action::Send { call, attempt, reply } => {
                let is_final = reply.is_final();
                let wire = reply_to_wire(attempt, core.incarnation(), core.load(), reply);
                self.calls.send(call, wire, is_final);
            }
            Action::Close { call } => self.calls.close(call),
            Action::Revoked { call, outcome } => self.answer_revocation(call, outcome),
            Action::Call { attempt, start } => self.call_endpoint(attempt, start),
            Action::CancelCall { attempt } => self.cancel_call(attempt),
            Action::Claim { attempt, claim } => self.claim(attempt, claim),
        }
    }
}

impl AgentShell {
    fn answer_revocation(&self, call: CallId, outcome: Revocation) {
        let mut waiting = self.calls.revocations.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = waiting.remove(&call) {
            sender.send(outcome).ok();
        }
    }

    fn call_endpoint(&mut self, attempt: AttemptId, start: CallStart) {
        self.running.retain(|_, task| !task.is_finished());
        let (core, endpoint) = (self.core.clone(), self.endpoint.clone());
        let kind = *self.kind.lock().unwrap_or_else(PoisonError::into_inner);
        let task = tokio::spawn(async move {
            endpoint.call(kind, attempt, start, &core).await;
        });
        self.running.insert(attempt, task.abort_handle());
    }

    fn cancel_call(&mut self, attempt: AttemptId) {
        if let Some(task) = self.running.remove(&attempt) {
            task.abort();
        }
        let kind = *self.kind.lock().unwrap_or_else(PoisonError::into_inner);
        if kind == EndpointKind::Engine {
            let endpoint = self.endpoint.clone();
            tokio::spawn(async move { endpoint.cancel(attempt).await });
        }
    }

    fn claim(&self, attempt: AttemptId, claim: Claim) {
        let (core, channels) = (self.core.clone(), self.channels.clone());
        tokio::spawn(async move {
            let answer = claim_with_timeout(&channels, &claim).await;
            core.send(Event::Claimed { attempt, answer }).await.ok();
        });
    }
}

async fn claim_with_timeout(channels: &Channels, claim: &Claim) -> ClaimAnswer {
    let answer = tokio::time::timeout(CLAIM_TIMEOUT, claim_at(channels, claim)).await;
    answer.unwrap_or(ClaimAnswer::Unreachable)
}

async fn claim_at(channels: &Channels, claim: &Claim) -> ClaimAnswer {
    let Ok(channel) = channels.get(claim.address).await else {
        return ClaimAnswer::Unreachable;
    };
    let request =
        v1::ClaimRequest { ticket: claim.ticket, home: claim.home.0, run: Some(claim.run.into()) };
    let Ok(reply) = AgentClient::new(channel).claim(request).await else {
        channels.forget(claim.address);
        return ClaimAnswer::Unreachable;
    };
    match reply.into_inner().grant() {
        v1::Grant::Given => ClaimAnswer::Granted,
        v1::Grant::Refused => ClaimAnswer::Refused,
    }
}

/// Serves the stage calls and revocations of gateways.
#[derive(Clone)]
pub struct StageService {
    calls: Arc<Calls>,
    core: Handle<AgentCore>,
    incarnation: Incarnation,
}

impl StageService {
    /// Opens a call for a stage and returns the stream of its replies.
    pub async fn run(&self, request: v1::RunRequest) -> Result<Replies, Status> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let protocol = request.protocol;
        let run = run_from_wire(request).map_err(|e| Status::invalid_argument(e.to_string()))?;
        if protocol != PROTOCOL {
            sender.send(Ok(self.other_protocol(run.attempt))).ok();
            return Ok(Replies { receiver, guard: None });
        }
        let call = self.calls.open(sender);
        let guard = CallGuard {
            call,
            calls: self.calls.clone(),
            core: self.core.clone(),
            runtime: tokio::runtime::Handle::current(),
        };
        self.core.send(Event::Run { call, run }).await.map_err(stopped)?;
        Ok(Replies { receiver, guard: Some(guard) })
    }

    fn other_protocol(&self, attempt: AttemptId) -> v1::StageReply {
        let reply = Reply::Refused {
            ran: Ran::NotRun,
            reason: AgentReason::ProtocolVersion,
            retry_after: Duration::ZERO,
        };
        reply_to_wire(attempt, self.incarnation, Load::default(), reply)
    }

    /// Revokes an attempt; with `cancel`, also ends an attempt that has begun.
    pub async fn revoke(&self, request: v1::RevokeRequest) -> Result<v1::RevokeReply, Status> {
        let attempt = request.attempt.ok_or_else(|| Status::invalid_argument("no attempt"))?;
        let attempt = AttemptId::from(attempt);
        let call = self.calls.next();
        let (sender, receiver) = oneshot::channel();
        let waiting = &self.calls.revocations;
        waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(call, sender);
        let agent = Incarnation(request.agent);
        self.core.send(Event::Revoke { call, attempt, agent }).await.map_err(stopped)?;
        let outcome = receiver.await.unwrap_or(Revocation::Unknown);
        if request.cancel && outcome == Revocation::Begun {
            self.core.send(Event::Cancel { attempt }).await.map_err(stopped)?;
        }
        Ok(v1::RevokeReply { outcome: v1::Outcome::from(outcome).into() })
    }
}

fn stopped(error: crate::actor::Stopped) -> Status {
    Status::unavailable(error.to_string())
}

/// Notifies the core on drop that a gateway's call was closed.
struct CallGuard {
    call: CallId,
    calls: Arc<Calls>,
    core: Handle<AgentCore>,
    runtime: tokio::runtime::Handle,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.calls.close(self.call);
        self.core.post(Event::CallClosed { call: self.call }, &self.runtime);
    }
}

/// Stream of the replies on one call.
pub struct Replies {
    receiver: mpsc::UnboundedReceiver<Result<v1::StageReply, Status>>,
    #[allow(dead_code, reason = "dropped with the stream")]
    guard: Option<CallGuard>,
}

impl Stream for Replies {
    type Item = Result<v1::StageReply, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.receiver.poll_recv(cx)
    }
}
