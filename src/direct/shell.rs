//! Shell of the gateway core: carries out calls, responses, messages to peers and log output.

use std::collections::{BTreeSet, HashMap};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use snafu::Snafu;
use tokio::runtime::Handle as Runtime;
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;

use crate::actor::{Handle, Shell};
use crate::direct::answers::{BatchOutcome, CallFailure};
use crate::direct::client::{
    Answer, AnswerBody, AnswerHead, EndpointClient, Exchange, ForwardedRequest,
};
use crate::direct::core::GatewayCore;
use crate::direct::event::{Action, CallParams, Event, IncomingRequest, PieceParams, Refusal};
use crate::direct::event_order::Place;
use crate::direct::event_queue::{EventReceiver, EventSender, event_queue};
use crate::direct::forwarding::forward_events;
use crate::direct::gates::Gates;
use crate::direct::log_events::{LogEvent, MalformedResponse, ms};
use crate::direct::peers::links::PeerLinks;
use crate::direct::published::model::{Endpoint, Name};
pub use crate::direct::state::State;
use crate::direct::statement::{CallKind, Statement};
use crate::direct::store_reading::StoreUse;
use crate::logging::LogWriter;
use crate::message::Timestamp;
use crate::response_check::Malformed;

/// Queue delay or handling time of an event above which a late core is logged.
const LATE_THRESHOLD: Duration = Duration::from_millis(200);
/// Name of endpoint responses in log events.
const ENDPOINT_ANSWER: &str = "answer of an endpoint";
/// Minimum interval between two log events about a late core.
const LATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The stream was aborted; the connection to the caller is closed without a regular end, so that
/// the caller sees that the stream is incomplete.
#[derive(Debug, Snafu)]
#[snafu(display("the stream was aborted before its end"))]
pub struct StreamAborted;

/// Response to a caller.
pub enum Reply {
    /// Complete response of an endpoint.
    Complete(AnswerHead, Bytes),
    /// Head of an endpoint's response, and its stream of events.
    Stream(AnswerHead, StreamBody),
    /// Refusal by the gateway.
    Refused(Refusal),
}

struct Caller {
    request: Arc<ForwardedRequest>,
    reply: Option<oneshot::Sender<Reply>>,
    events: Option<EventSender>,
    is_complete: Arc<AtomicBool>,
    task: Option<(u64, AbortHandle)>,
    response: Option<(u64, Answer)>,
}

type Callers = Arc<Mutex<HashMap<u64, Caller>>>;

fn lock(callers: &Callers) -> std::sync::MutexGuard<'_, HashMap<u64, Caller>> {
    callers.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reports a caller that disconnects before its response is complete to the core.
struct DisconnectGuard {
    caller: u64,
    core: Option<Handle<GatewayCore>>,
    runtime: tokio::runtime::Handle,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(core) = self.core.take() {
            core.post(Event::CallerDisconnected { caller: self.caller }, &self.runtime);
        }
    }
}

/// Handle by which a front end submits callers' requests.
#[derive(Clone)]
pub struct Gateway {
    core: Handle<GatewayCore>,
    callers: Callers,
    next: Arc<AtomicU64>,
    state: watch::Receiver<State>,
}

impl Gateway {
    /// Current state of the gateway.
    pub fn state(&self) -> State {
        self.state.borrow().clone()
    }

    /// Waits for an era of the publisher's store that is newer than `era`.
    pub async fn store_era_after(&self, era: u64) {
        let mut state = self.state.clone();
        if state.wait_for(|state| state.store_era > era).await.is_err() {
            std::future::pending().await
        }
    }

    /// Waits until the process watches the publisher's store.
    pub async fn until_watching(&self) {
        let mut state = self.state.clone();
        if state.wait_for(|state| state.store_use == StoreUse::Watch).await.is_err() {
            std::future::pending().await
        }
    }

    /// Number of callers that wait for a response or whose stream is open.
    pub fn callers(&self) -> usize {
        lock(&self.callers).len()
    }

    /// Submits a request and waits for the response. Dropping the future cancels the request.
    pub async fn submit(
        &self,
        incoming: IncomingRequest,
        request: ForwardedRequest,
    ) -> Option<Reply> {
        let caller = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let entry = Caller {
            request: Arc::new(request),
            reply: Some(sender),
            events: None,
            is_complete: Arc::default(),
            task: None,
            response: None,
        };
        lock(&self.callers).insert(caller, entry);
        let runtime = tokio::runtime::Handle::current();
        let mut guard = DisconnectGuard { caller, core: Some(self.core.clone()), runtime };
        self.core.send(Event::Submit { caller, incoming }).await.ok()?;
        let mut reply = receiver.await.ok()?;
        if let Reply::Stream(_, body) = &mut reply {
            body.guard = Some(guard);
        } else {
            guard.core = None;
        }
        Some(reply)
    }
}

/// Body with the events of a stream.
pub struct StreamBody {
    events: EventReceiver,
    is_complete: Arc<AtomicBool>,
    guard: Option<DisconnectGuard>,
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.events.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(events)) => Poll::Ready(Some(Ok(Frame::data(events)))),
            Poll::Ready(None) => {
                if let Some(mut guard) = self.guard.take() {
                    guard.core = None;
                }
                let is_complete = self.is_complete.load(Ordering::Acquire);
                Poll::Ready(if is_complete { None } else { Some(Err(StreamAborted)) })
            }
        }
    }
}

/// One message to an endpoint and its response; reports both to the core.
struct EndpointExchange {
    core: Handle<GatewayCore>,
    endpoint: Arc<Endpoint>,
    asked: CallKind,
    gates: Gates,
    /// When the permit expires, for an endpoint with a rate limit.
    permit: Option<Timestamp>,
    /// When the message was sent.
    sent: Option<Timestamp>,
    /// Caller and attempt to report with [`Event::CallSent`] when the message is sent.
    report_as_sent: Option<(u64, u64)>,
    lines: LogWriter,
}

impl Exchange for EndpointExchange {
    fn may_send(&mut self) -> bool {
        let now = self.core.now();
        if !self.gates.is_open(&self.endpoint, self.asked, self.permit, now) {
            crate::metrics::withheld(self.asked);
            return false;
        }
        self.sent = Some(now);
        if let Some((caller, attempt)) = self.report_as_sent.take() {
            self.core.post(Event::CallSent { caller, attempt }, &Runtime::current());
        }
        true
    }

    fn on_status(&mut self, statement: Statement) {
        // For an endpoint with a known rate limit, a response without one is an update, too.
        if statement.is_empty() && !self.gates.is_limited(&self.endpoint) {
            return;
        }
        let (endpoint, asked, at) = (self.endpoint.clone(), self.asked, self.core.now());
        let sent = self.sent.unwrap_or(Timestamp::ZERO);
        let event = Event::EndpointStatus { endpoint, asked, statement, sent, at };
        self.core.post(event, &Runtime::current());
    }

    fn on_malformed(&mut self, fault: Malformed) {
        let endpoint = self.endpoint.id.clone();
        let (asked, fault) = (self.asked.as_str(), fault.to_string());
        let event = LogEvent::MalformedResponse(MalformedResponse { endpoint, asked, fault });
        crate::metrics::log_event(&event);
        self.lines.write(&event);
    }

    fn on_unknown_headers(&mut self, fields: BTreeSet<String>) {
        let event = Event::UnknownFields { document: ENDPOINT_ANSWER, fields };
        self.core.post(event, &Runtime::current());
    }
}

/// Shell of one gateway.
pub struct GatewayShell<C> {
    core: Handle<GatewayCore>,
    client: Arc<C>,
    peers: PeerLinks<GatewayCore>,
    callers: Callers,
    state: watch::Sender<State>,
    lines: LogWriter,
    gates: Gates,
    late_logged_at: Option<Instant>,
}

impl<C: EndpointClient> GatewayShell<C> {
    /// Creates a shell, and the handle for front ends.
    pub fn new(
        core: Handle<GatewayCore>,
        client: Arc<C>,
        peers: PeerLinks<GatewayCore>,
        lines: LogWriter,
    ) -> (Self, Gateway) {
        let (state, receiver) = watch::channel(State::default());
        let callers = Callers::default();
        let gateway = Gateway {
            core: core.clone(),
            callers: callers.clone(),
            next: Arc::new(AtomicU64::new(1)),
            state: receiver,
        };
        let gates = Gates::default();
        (Self { core, client, peers, callers, state, lines, gates, late_logged_at: None }, gateway)
    }

    /// Sets how the process uses the publisher's store at its start.
    #[must_use]
    pub fn with_store_use(self, store_use: StoreUse) -> Self {
        self.state.send_modify(|state| state.store_use = store_use);
        self
    }

    fn exchange(
        &self,
        endpoint: &Arc<Endpoint>,
        asked: CallKind,
        permit: Option<Timestamp>,
    ) -> EndpointExchange {
        EndpointExchange {
            core: self.core.clone(),
            endpoint: endpoint.clone(),
            asked,
            gates: self.gates.clone(),
            permit,
            sent: None,
            report_as_sent: None,
            lines: self.lines.clone(),
        }
    }

    fn call(&self, caller: u64, attempt: u64, params: CallParams) {
        let mut callers = lock(&self.callers);
        let Some(entry) = callers.get_mut(&caller) else {
            return;
        };
        let request = entry.request.clone();
        let (core, client, callers) =
            (self.core.clone(), self.client.clone(), self.callers.clone());
        let timeout = params.timeout;
        let mut exchange = self.exchange(&params.endpoint, CallKind::Request, params.permit);
        exchange.report_as_sent = (!params.inputs.is_empty()).then_some((caller, attempt));
        let task = tokio::spawn(async move {
            let called =
                tokio::time::timeout(timeout, client.call(params, request, exchange)).await;
            let event = match called.unwrap_or(Err(CallFailure::Silent)) {
                Ok(answer) => {
                    let proof = answer.proof;
                    let is_open = matches!(answer.body, AnswerBody::Stream(_));
                    if let Some(entry) = lock(&callers).get_mut(&caller) {
                        entry.response = Some((attempt, answer));
                    }
                    Event::Answered { caller, attempt, proof, is_open }
                }
                Err(failure) => Event::CallFailed { caller, attempt, failure },
            };
            core.send(event).await.ok();
        });
        entry.task = Some((attempt, task.abort_handle()));
    }

    fn cancel_attempt(&self, caller: u64, attempt: u64) {
        if let Some(entry) = lock(&self.callers).get_mut(&caller) {
            if let Some((_, task)) = entry.task.take_if(|(a, _)| *a == attempt) {
                task.abort();
            }
            entry.response.take_if(|(a, _)| *a == attempt);
        }
    }

    fn deliver(&self, caller: u64, attempt: u64, place: Place) {
        let mut callers = lock(&self.callers);
        let Some(entry) = callers.get_mut(&caller) else {
            return;
        };
        let Some((_, answer)) = entry.response.take_if(|(a, _)| *a == attempt) else {
            return;
        };
        match answer.body {
            AnswerBody::Complete(body) => {
                if let Some(reply) = entry.reply.take() {
                    reply.send(Reply::Complete(answer.head, body)).ok();
                }
                callers.remove(&caller);
            }
            AnswerBody::Stream(body) => {
                if let Some(reply) = entry.reply.take() {
                    let (events, receiver) = event_queue();
                    entry.events = Some(events);
                    let is_complete = entry.is_complete.clone();
                    let stream = StreamBody { events: receiver, is_complete, guard: None };
                    reply.send(Reply::Stream(answer.head, stream)).ok();
                }
                let Some(events) = entry.events.clone() else {
                    return;
                };
                let framing = answer.proof.framing;
                let core = self.core.clone();
                let forwarding =
                    forward_events(caller, attempt, body, framing, place, events, core);
                entry.task = Some((attempt, tokio::spawn(forwarding).abort_handle()));
            }
        }
    }

    fn end(&self, caller: u64, reply: Option<Refusal>, is_complete: bool) {
        let Some(entry) = lock(&self.callers).remove(&caller) else {
            return;
        };
        entry.is_complete.store(is_complete, Ordering::Release);
        if let (Some(sender), Some(refusal)) = (entry.reply, reply) {
            sender.send(Reply::Refused(refusal)).ok();
        }
        if let Some((_, task)) = entry.task.filter(|_| !is_complete) {
            task.abort();
        }
    }

    fn batch(
        &self,
        call: u64,
        endpoint: Arc<Endpoint>,
        pieces: Vec<PieceParams>,
        timeout: Duration,
        permit: Option<Timestamp>,
    ) {
        let (core, client) = (self.core.clone(), self.client.clone());
        let exchange = self.exchange(&endpoint, CallKind::Pieces, permit);
        tokio::spawn(async move {
            let called = client.batch(endpoint, pieces, exchange);
            let called = tokio::time::timeout(timeout, called).await;
            let outcome = called.unwrap_or(BatchOutcome::Failed(CallFailure::Silent));
            core.send(Event::BatchEnded { call, outcome }).await.ok();
        });
    }

    fn request_report(&self, endpoint: Arc<Endpoint>) {
        let (core, client) = (self.core.clone(), self.client.clone());
        let exchange = self.exchange(&endpoint, CallKind::Report, None);
        tokio::spawn(async move {
            let (id, requested_at) = (endpoint.id.clone(), core.now());
            let event = match client.report(endpoint, exchange).await {
                Some(report) => Event::ReportReceived { endpoint: id, report, requested_at },
                None => Event::ReportFailed { endpoint: id },
            };
            core.send(event).await.ok();
        });
    }

    fn probe(&self, endpoint: Arc<Endpoint>) {
        let (core, client) = (self.core.clone(), self.client.clone());
        tokio::spawn(async move {
            let is_closed = client.is_closed(&endpoint).await;
            let (endpoint, incarnation) = (endpoint.id.clone(), endpoint.incarnation);
            core.send(Event::Probed { endpoint, incarnation, is_closed }).await.ok();
        });
    }

    fn identify(
        &self,
        caller: u64,
        attempt: u64,
        endpoint: Arc<Endpoint>,
        health_path: Option<Name>,
        permit: Option<Timestamp>,
    ) {
        let (core, client) = (self.core.clone(), self.client.clone());
        let exchange = self.exchange(&endpoint, CallKind::Health, permit);
        tokio::spawn(async move {
            let identity = client.identify(endpoint, health_path, exchange).await;
            core.send(Event::Identified { caller, attempt, identity }).await.ok();
        });
    }

    fn write_log(&self, event: &LogEvent) {
        crate::metrics::log_event(event);
        self.lines.write(event);
    }
}

impl<C: EndpointClient> Shell<GatewayCore> for GatewayShell<C> {
    fn act(&mut self, action: Action, _core: &GatewayCore) {
        match action {
            Action::Call { caller, attempt, params } => self.call(caller, attempt, params),
            Action::CancelAttempt { caller, attempt } => self.cancel_attempt(caller, attempt),
            Action::Deliver { caller, attempt, place } => self.deliver(caller, attempt, place),
            Action::Refuse { caller, refusal } => self.end(caller, Some(refusal), false),
            Action::EndStream { caller } => self.end(caller, None, true),
            Action::AbortStream { caller } => self.end(caller, None, false),
            Action::CallBatch { call, endpoint, pieces, timeout, permit } => {
                self.batch(call, endpoint, pieces, timeout, permit);
            }
            Action::FreeResults { endpoint, handles, permit } => {
                let client = self.client.clone();
                let exchange = self.exchange(&endpoint, CallKind::Free, permit);
                tokio::spawn(async move { client.free(endpoint, handles, exchange).await });
            }
            Action::BlockSends { endpoint, incarnation, until } => {
                self.gates.close(endpoint, incarnation, until, self.core.now());
            }
            Action::RequirePermits { endpoint, incarnation, is_limited } => {
                self.gates.set_limited(endpoint, incarnation, is_limited, self.core.now());
            }
            Action::RequestReport(endpoint) => self.request_report(endpoint),
            Action::Probe(endpoint) => self.probe(endpoint),
            Action::Identify { caller, attempt, endpoint, health_path, permit } => {
                self.identify(caller, attempt, endpoint, health_path, permit);
            }
            // The core handles these itself before it returns its actions.
            Action::PoisonReport(_) | Action::RequestPermit(_) => {}
            Action::Send { to, message } => self.peers.send(to, message),
            Action::Broadcast { to, message } => self.peers.broadcast(&to, message),
            Action::Disconnect { from } => self.peers.disconnect(from),
            Action::SetReady(ready) => self.state.send_modify(|s| s.ready = ready),
            Action::SetShedding(sheds) => self.state.send_modify(|s| s.sheds_connections = sheds),
            Action::SetStoreUse(store_use) => self.state.send_modify(|s| s.store_use = store_use),
            Action::SetStoreEra(era) => self.state.send_modify(|s| s.store_era = era),
            Action::SetCallerLimits(limits) => self.state.send_modify(|s| s.limits = limits),
            Action::Log(event) => self.write_log(&event),
        }
    }

    fn handled(&mut self, waited: Duration, took: Duration) {
        crate::metrics::core_handled(waited, took);
        if waited.max(took) < LATE_THRESHOLD
            || self.late_logged_at.is_some_and(|at| at.elapsed() < LATE_LOG_INTERVAL)
        {
            return;
        }
        self.late_logged_at = Some(Instant::now());
        self.write_log(&LogEvent::CoreLate { waited_ms: ms(waited), took_ms: ms(took) });
    }
}
