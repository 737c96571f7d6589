//! HTTP API for callers: accepts requests and returns complete results or refusals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use snafu::ResultExt;
use tokio::sync::mpsc;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::{RequestBody, ResponseBody};
use xitca_web::handler::body::Body;
use xitca_web::handler::handler_service;
use xitca_web::http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::route::{get, post};

use super::core::GatewayCore;
use super::event::{Answer, Event};
use super::request::Submission;
use super::shell::{CallerMessage, Callers};
use super::sse::SseBody;
use super::tickets::{self, RunEnd, Ticket, TicketState};
use crate::actor::Handle;
use crate::channels::Channels;
use crate::config::check::MAX_DEADLINE_MS;
use crate::config::{Labels, labels};
use crate::http::{self, BadInput, ListenError, ListenSnafu, Listener};
use crate::message::{Claim, Ran, RunId};
use crate::refusal::{Reason, Refusal};
use crate::settings::Settings;

/// Maximum number of labels of one request.
const MAX_LABELS: usize = 64;
/// Validity of a ticket.
const TICKET_VALID: Duration = Duration::from_secs(300);
/// Number of agents that are asked to open a ticket before the request for it is refused.
const MAX_ISSUERS_ASKED: usize = 3;
const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-stackmast-request");
const DIGEST_HEADER: HeaderName = HeaderName::from_static("x-stackmast-digest");

/// State shared by the handlers.
#[derive(Clone)]
pub struct CallerState {
    /// Handle of the gateway core.
    pub core: Handle<GatewayCore>,
    /// The waiting callers.
    pub callers: Arc<Callers>,
    /// Connections to agents, used for tickets.
    pub channels: Arc<Channels>,
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Runtime on which calls to other processes run.
    pub runtime: tokio::runtime::Handle,
}

/// Body of a caller's request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallerRequest {
    organisation: String,
    input: Box<RawValue>,
    #[serde(default)]
    labels: Labels,
    deadline_ms: Option<u64>,
    #[serde(default)]
    may_repeat: bool,
    #[serde(default)]
    stream: bool,
    ticket: Option<String>,
}

/// Problem document of a refusal, as sent to callers.
#[derive(Debug, Serialize)]
pub struct RefusalProblem<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    request: String,
    ran: Ran,
    reason: &'a Reason,
    stages_run: &'a [String],
    retry_after_ms: u64,
}

/// Starts the listener for callers.
pub fn listen(state: CallerState, address: SocketAddr) -> Result<Listener, ListenError> {
    let threads = state.settings.threads;
    let server = App::new()
        .with_state(state)
        .at("/v1/tickets", post(handler_service(open_ticket)))
        .at("/v1/pipelines/{pipeline}", post(handler_service(submit)))
        .at("/healthz", get(handler_service(healthz)))
        .at("/readyz", get(handler_service(readyz)))
        .serve()
        .disable_signal()
        .worker_threads(threads)
        .bind(address)
        .context(ListenSnafu { address })?
        .run();
    Listener::start(server, address)
}

async fn healthz(_: &WebContext<'_, CallerState>) -> WebResponse {
    http::text(StatusCode::OK, "ok\n")
}

async fn readyz(ctx: &WebContext<'_, CallerState>) -> WebResponse {
    let state = ctx.state();
    let ready = state.core.inspect(|core, _| (core.view().is_some(), core.is_draining())).await;
    match ready {
        Ok((true, false)) => http::text(StatusCode::OK, "ready\n"),
        Ok((false, false)) => http::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"),
        Ok((_, true)) | Err(_) => http::text(StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
    }
}

async fn open_ticket(ctx: &WebContext<'_, CallerState>) -> WebResponse {
    let state = ctx.state();
    let issuers = state.core.inspect(|core, _| candidate_issuers(core)).await.unwrap_or_default();
    let (channels, settings) = (state.channels.clone(), state.settings.clone());
    let opened = state.runtime.spawn(async move {
        tickets::open(&channels, &issuers, TICKET_VALID, &settings.ticket_key).await
    });
    match opened.await {
        Ok(Ok(issued)) => http::json(StatusCode::CREATED, &issued),
        Ok(Err(_)) | Err(_) => {
            let reason = Reason::TicketVoid;
            refused("", &Refusal::not_run(reason, Duration::from_secs(1)))
        }
    }
}

/// A random selection of agents of endpoints that are in use.
fn candidate_issuers(core: &GatewayCore) -> Vec<SocketAddr> {
    let Some(view) = core.view() else {
        return Vec::new();
    };
    let mut endpoints = view.endpoints_in_use();
    endpoints.shuffle(&mut rand::rng());
    endpoints.into_iter().take(MAX_ISSUERS_ASKED).map(|e| e.agent).collect()
}

async fn submit(ctx: &WebContext<'_, CallerState>, Body(body): Body<RequestBody>) -> WebResponse {
    let state = ctx.state();
    let path = ctx.req().uri().path();
    let pipeline = path.rsplit('/').next().unwrap_or_default().to_owned();
    let bounds = &state.settings.bounds;
    let read = http::read_body(body, bounds.body_bytes, bounds.body_timeout).await;
    let parsed = read.and_then(|bytes| parse(pipeline, &bytes));
    let (mut submission, ticket) = match parsed {
        Ok(parsed) => parsed,
        Err(error) => return http::bad_input(&error),
    };
    if let Some(ticket) = ticket {
        match check_ticket(state, &ticket).await {
            Ok(claim) => submission.claim = Some(claim),
            Err(response) => return *response,
        }
    }
    answer(state, submission).await
}

fn parse(pipeline: String, bytes: &[u8]) -> Result<(Submission, Option<String>), BadInput> {
    let request: CallerRequest =
        serde_json::from_slice(bytes).map_err(|e| BadInput::Syntax { message: e.to_string() })?;
    check_labels(&request.labels)?;
    check_deadline(request.deadline_ms)?;
    let submission = Submission {
        pipeline,
        organisation: request.organisation,
        labels: request.labels,
        input: Bytes::copy_from_slice(request.input.get().as_bytes()),
        deadline: request.deadline_ms.map(Duration::from_millis),
        may_repeat: request.may_repeat,
        stream: request.stream,
        claim: None,
    };
    Ok((submission, request.ticket))
}

fn check_labels(given: &Labels) -> Result<(), BadInput> {
    if given.len() > MAX_LABELS {
        let allowed = format!("at most {MAX_LABELS} labels");
        return Err(BadInput::OutOfRange { field: "labels", allowed });
    }
    for (key, value) in given {
        labels::check_label(key, value)
            .map_err(|e| BadInput::OutOfRange { field: "labels", allowed: e.to_string() })?;
    }
    Ok(())
}

fn check_deadline(given: Option<u64>) -> Result<(), BadInput> {
    if given.is_none_or(|ms| (1..=MAX_DEADLINE_MS).contains(&ms)) {
        return Ok(());
    }
    let allowed = format!("1 to {MAX_DEADLINE_MS}");
    Err(BadInput::OutOfRange { field: "deadline_ms", allowed })
}

/// Returns the claim of a ticket whose request has not begun, otherwise the final response.
async fn check_ticket(state: &CallerState, text: &str) -> Result<Claim, Box<WebResponse>> {
    let Ok(ticket) = Ticket::verify(text, &state.settings.ticket_key) else {
        return Err(Box::new(refused("", &ticket_refusal(Reason::TicketVoid))));
    };
    let claim = ticket.claim();
    let (channels, read_claim) = (state.channels.clone(), claim.clone());
    let read = state.runtime.spawn(async move { tickets::read(&channels, &read_claim).await });
    match read.await {
        Ok(Ok(TicketState::Free)) => Ok(claim),
        Ok(Ok(TicketState::Begun)) => {
            Err(Box::new(refused("", &ticket_refusal(Reason::TicketUsed))))
        }
        Ok(Ok(TicketState::Done { request, answer })) => {
            let digest = xxhash_rust::xxh3::xxh3_64(&answer);
            Err(Box::new(complete(&request, Bytes::from(answer), digest)))
        }
        Ok(Err(_)) | Err(_) => Err(Box::new(refused("", &ticket_refusal(Reason::TicketVoid)))),
    }
}

fn ticket_refusal(reason: Reason) -> Refusal {
    let retry_after = Duration::from_secs(1);
    Refusal { ran: Ran::Unknown, ..Refusal::not_run(reason, retry_after) }
}

/// Unregisters a caller on drop, and notifies the core in case the request is still in flight.
pub(super) struct CallerGuard {
    caller: u64,
    state: CallerState,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.state.callers.unregister(self.caller);
        self.state
            .core
            .post(Event::CallerDisconnected { caller: self.caller }, &self.state.runtime);
    }
}

async fn answer(state: &CallerState, submission: Submission) -> WebResponse {
    let (caller, mut messages) = state.callers.register();
    let guard = CallerGuard { caller, state: state.clone() };
    let (stream, claim) = (submission.stream, submission.claim.clone());
    if state.core.send(Event::Submit { caller, submission }).await.is_err() {
        return refused("", &Refusal::not_run(Reason::Draining, Duration::from_secs(1)));
    }
    let first = messages.recv().await;
    if !stream || matches!(first, Some(CallerMessage::Answer(Answer::Refused { .. }))) {
        return buffered(state, first, messages, claim).await;
    }
    let body = SseBody::new(first, messages, guard, claim.map(|c| (c, state.clone())));
    let mut response = WebResponse::new(ResponseBody::boxed(body));
    let media_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

async fn buffered(
    state: &CallerState,
    first: Option<CallerMessage>,
    mut messages: mpsc::UnboundedReceiver<CallerMessage>,
    claim: Option<Claim>,
) -> WebResponse {
    let mut next = first;
    loop {
        match next {
            Some(CallerMessage::Answer(answer)) => {
                if let Some(claim) = claim {
                    let report = finish_ticket(state, claim, &answer);
                    // The caller may repeat the request right after the answer, so the issuing
                    // agent must have the result first. A refusal need not wait.
                    if matches!(answer, Answer::Complete { .. }) {
                        report.await.ok();
                    }
                }
                return final_answer(answer);
            }
            Some(CallerMessage::Chunk { .. } | CallerMessage::Reset) => {}
            None => {
                return refused("", &ticket_refusal(Reason::Draining));
            }
        }
        next = messages.recv().await;
    }
}

/// Reports the end of a run to the ticket's issuing agent; the task ends when the report is
/// acknowledged or times out.
pub(super) fn finish_ticket(
    state: &CallerState,
    claim: Claim,
    answer: &Answer,
) -> tokio::task::JoinHandle<()> {
    let (id, begun, result) = match answer {
        Answer::Complete { request, result, .. } => (request, true, Some(result.to_vec())),
        Answer::Refused { request, refusal } => (request, refusal.ran != Ran::NotRun, None),
    };
    let run = RunId { gateway: id.incarnation, number: id.number };
    let ended = RunEnd { run, request: id.to_string(), begun, answer: result };
    let channels = state.channels.clone();
    state.runtime.spawn(async move { tickets::finish(&channels, &claim, ended).await })
}

fn final_answer(answer: Answer) -> WebResponse {
    match answer {
        Answer::Complete { request, result, digest } => {
            complete(&request.to_string(), result, digest)
        }
        Answer::Refused { request, refusal } => refused(&request.to_string(), &refusal),
    }
}

fn complete(request: &str, result: Bytes, digest: u64) -> WebResponse {
    let media_type = HeaderValue::from_static("application/octet-stream");
    let mut response = http::typed(StatusCode::OK, media_type, result);
    let headers = response.headers_mut();
    if let Ok(request) = HeaderValue::from_str(request) {
        headers.insert(REQUEST_HEADER, request);
    }
    if let Ok(digest) = HeaderValue::from_str(&format!("{digest:016x}")) {
        headers.insert(DIGEST_HEADER, digest);
    }
    response
}

fn refused(request: &str, refusal: &Refusal) -> WebResponse {
    let status = status_of(&refusal.reason);
    let mut response = http::problem(status, &refusal_problem(request, refusal));
    let seconds = refusal.retry_after.as_secs_f64().ceil() as u64;
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    if let Ok(request) = HeaderValue::from_str(request) {
        headers.insert(REQUEST_HEADER, request);
    }
    response
}

/// Builds the problem document of a refusal.
pub(super) fn refusal_problem<'a>(request: &str, refusal: &'a Refusal) -> RefusalProblem<'a> {
    RefusalProblem {
        r#type: http::problem_type(refusal.reason.as_str()),
        title: refusal.reason.as_str(),
        status: status_of(&refusal.reason).as_u16(),
        request: request.to_owned(),
        ran: refusal.ran,
        reason: &refusal.reason,
        stages_run: &refusal.stages_run,
        retry_after_ms: refusal.retry_after.as_millis() as u64,
    }
}

const fn status_of(reason: &Reason) -> StatusCode {
    match reason {
        Reason::UnknownPipeline { .. } => StatusCode::NOT_FOUND,
        Reason::UnknownOrganisation { .. } | Reason::Rule { .. } => StatusCode::FORBIDDEN,
        Reason::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
        Reason::DeadlinePassed { .. } => StatusCode::GATEWAY_TIMEOUT,
        Reason::OutcomeUnknown { .. } => StatusCode::BAD_GATEWAY,
        Reason::TicketUsed => StatusCode::CONFLICT,
        Reason::TicketVoid => StatusCode::GONE,
        Reason::NoConfiguration
        | Reason::Draining
        | Reason::TooManyInFlight { .. }
        | Reason::WouldBeLate { .. }
        | Reason::NoEndpoint { .. }
        | Reason::RetryBudget { .. }
        | Reason::CallerGone => StatusCode::SERVICE_UNAVAILABLE,
    }
}
