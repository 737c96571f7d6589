//! I/O of the gateway: calls to agents, and delivery of answers to waiting callers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio_stream::StreamExt;

use super::core::GatewayCore;
use super::event::{Action, Answer, EndpointChange, Event};
use crate::actor::{Handle, Shell};
use crate::audit::{Audit, Change};
use crate::channels::Channels;
use crate::config::Endpoint;
use crate::message::{AttemptId, Incarnation, Revocation, Run};
use crate::wire::v1::agent_client::AgentClient;
use crate::wire::{MAX_MESSAGE_LEN, reply_from_wire, run_to_wire, v1};

/// Timeout of a revocation.
pub(super) const REVOKE_TIMEOUT: Duration = Duration::from_millis(150);

/// A message to a waiting caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerMessage {
    /// A chunk of the result.
    Chunk {
        /// Offset of the chunk in the result, in bytes.
        offset: u64,
        /// Bytes of the chunk.
        data: Bytes,
    },
    /// All earlier chunks are invalid; the result restarts at offset 0.
    Reset,
    /// The final answer.
    Answer(Answer),
}

/// The waiting callers, keyed by the number that the core uses for them.
#[derive(Debug, Default)]
pub struct Callers {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, mpsc::UnboundedSender<CallerMessage>>>,
}

impl Callers {
    /// Registers a caller; returns its number and the receiver of its messages.
    pub fn register(&self) -> (u64, mpsc::UnboundedReceiver<CallerMessage>) {
        let caller = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = mpsc::unbounded_channel();
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(caller, sender);
        (caller, receiver)
    }

    /// Number of registered callers.
    pub fn len(&self) -> usize {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Whether no caller is registered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Unregisters a caller.
    pub fn unregister(&self, caller: u64) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&caller);
    }

    fn send(&self, caller: u64, message: CallerMessage) {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = waiting.get(&caller) {
            sender.send(message).ok();
        }
    }
}

/// Executes the actions of the gateway core.
pub struct GatewayShell {
    core: Handle<GatewayCore>,
    callers: Arc<Callers>,
    channels: Arc<Channels>,
    audit: Audit,
    calls: HashMap<u64, AbortHandle>,
}

impl GatewayShell {
    /// Creates a shell without open calls.
    pub fn new(
        core: Handle<GatewayCore>,
        callers: Arc<Callers>,
        channels: Arc<Channels>,
        audit: Audit,
    ) -> Self {
        Self { core, callers, channels, audit, calls: HashMap::new() }
    }

    fn run(&mut self, endpoint: &Endpoint, call: u64, run: Run) {
        let (core, channels, address) = (self.core.clone(), self.channels.clone(), endpoint.agent);
        let task = tokio::spawn(async move {
            let attempt = run.attempt;
            let event = make_call(&core, &channels, address, call, run).await;
            core.send(event.unwrap_or(Event::CallLost { call, attempt })).await.ok();
        });
        self.calls.insert(call, task.abort_handle());
    }

    fn revoke(&self, endpoint: &Endpoint, attempt: AttemptId, agent: Incarnation, cancel: bool) {
        let (core, channels, address) = (self.core.clone(), self.channels.clone(), endpoint.agent);
        let request = v1::RevokeRequest { attempt: Some(attempt.into()), agent: agent.0, cancel };
        tokio::spawn(async move {
            let reply = call_revoke(&channels, address, request);
            let answer = tokio::time::timeout(REVOKE_TIMEOUT, reply).await;
            let outcome = answer.ok().flatten().unwrap_or(Revocation::Unreachable);
            if !cancel {
                core.send(Event::Revoked { attempt, outcome }).await.ok();
            }
        });
    }

    fn record_change(&self, endpoint: String, change: EndpointChange) {
        self.audit.record(match change {
            EndpointChange::Suspected => Change::EndpointSuspected { endpoint },
            EndpointChange::Recovered => Change::EndpointBack { endpoint },
            EndpointChange::Leaving => Change::EndpointLeaving { endpoint },
        });
    }
}

impl Shell<GatewayCore> for GatewayShell {
    fn act(&mut self, action: Action, _core: &GatewayCore) {
        match action {
            Action::Run { endpoint, call, run } => self.run(&endpoint, call, run),
            Action::Revoke { endpoint, attempt, agent } => {
                self.revoke(&endpoint, attempt, agent, false);
            }
            Action::Cancel { endpoint, attempt, agent } => {
                self.revoke(&endpoint, attempt, agent, true);
            }
            Action::CloseCall { call } => {
                if let Some(task) = self.calls.remove(&call) {
                    task.abort();
                }
            }
            Action::Chunk { caller, offset, data } => {
                self.callers.send(caller, CallerMessage::Chunk { offset, data });
            }
            Action::Reset { caller } => self.callers.send(caller, CallerMessage::Reset),
            Action::Answer { caller, answer } => {
                self.callers.send(caller, CallerMessage::Answer(answer));
            }
            Action::EndpointChanged { endpoint, change } => self.record_change(endpoint, change),
        }
    }
}

/// Calls an agent and forwards its replies to the core. Returns `None` if the call failed after the
/// request may have been sent.
async fn make_call(
    core: &Handle<GatewayCore>,
    channels: &Channels,
    address: std::net::SocketAddr,
    call: u64,
    run: Run,
) -> Option<Event> {
    let attempt = run.attempt;
    let Ok(channel) = channels.get(address).await else {
        return Some(Event::CallUnsent { call, attempt });
    };
    let mut client = AgentClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_LEN)
        .max_encoding_message_size(MAX_MESSAGE_LEN);
    let Ok(response) = client.run(run_to_wire(run)).await else {
        channels.forget(address);
        return None;
    };
    let mut replies = response.into_inner();
    while let Some(Ok(reply)) = replies.next().await {
        let from = Incarnation(reply.agent);
        let load = reply.load.map(Into::into);
        let reply = reply_from_wire(reply.reply?);
        let is_final = reply.is_final();
        let event = Event::Reply { call, attempt, from, load, reply };
        if is_final {
            return Some(event);
        }
        core.send(event).await.ok()?;
    }
    channels.forget(address);
    None
}

async fn call_revoke(
    channels: &Channels,
    address: std::net::SocketAddr,
    request: v1::RevokeRequest,
) -> Option<Revocation> {
    let channel = channels.get(address).await.ok()?;
    let reply = AgentClient::new(channel).revoke(request).await.ok()?;
    Some(reply.into_inner().outcome().into())
}
