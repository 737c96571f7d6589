//! The administration API for operators: status, requests, configuration and drain, behind a bearer
//! token.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use metrics_exporter_prometheus::PrometheusHandle;
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::sync::Notify;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::handler::handler_service;
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::route::{get, post};

use crate::actor::Handle;
use crate::agent::core::AgentCore;
use crate::audit::Audit;
use crate::channels::Channels;
use crate::direct::peers::build::Build;
use crate::distribution::Distributor;
use crate::gateway::core::GatewayCore;
use crate::http::{self, BadInput, ListenError, ListenSnafu, Listener};
use crate::message::{Incarnation, Load, RequestId, Timestamp};
use crate::metrics as m;
use crate::peer::{explain_local, explain_remote};
use crate::settings::Settings;

/// Entries of a list when the request has no `count` parameter.
const DEFAULT_COUNT: usize = 50;

/// Handle of the process's core, by the role of the process.
#[derive(Clone)]
pub enum RoleHandle {
    /// Core of a gateway.
    Gateway(Handle<GatewayCore>),
    /// Core of an agent.
    Agent(Handle<AgentCore>),
}

/// State shared by the request handlers.
#[derive(Clone)]
pub struct AdminState {
    /// Handle of the core.
    pub role: RoleHandle,
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Start time of the process.
    pub started: Instant,
    /// Distribution of configuration and host list.
    pub distributor: Arc<Distributor>,
    /// Connections to other processes.
    pub channels: Arc<Channels>,
    /// Audit trail of the process.
    pub audit: Audit,
    /// Metrics in the Prometheus format.
    pub metrics: PrometheusHandle,
    /// Signals the daemon to drain and stop.
    pub drain: Arc<Notify>,
    /// Runtime for calls to other processes.
    pub runtime: tokio::runtime::Handle,
}

/// Status of a process.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// Host name of the process.
    pub host: String,
    /// `gateway` or `agent`.
    pub role: String,
    /// Data centre of the process.
    pub data_centre: String,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Build of the running program.
    #[serde(default)]
    pub build: Build,
    /// Seconds since the process started.
    pub uptime_s: u64,
    /// Version of the configuration in force; 0 if there is none.
    pub config_version: u64,
    /// Seconds since the last response of the platform.
    pub platform_age_s: Option<f64>,
    /// Number of known peers.
    pub peers: usize,
    /// Requests in flight in a gateway, or attempts queued or running in an agent.
    pub in_flight: usize,
    /// Whether the process accepts no new work.
    pub draining: bool,
}

/// Status of an endpoint as seen by a gateway.
#[derive(Debug, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub endpoint: String,
    /// `serving`, `suspected` or `leaving`.
    pub state: String,
    /// Attempts of this gateway in flight at the endpoint.
    pub in_flight: u32,
    /// Attempts queued at the endpoint's agent, from its last report.
    pub queued: u32,
    /// Attempts running at the endpoint, from the agent's last report.
    pub running: u32,
    /// Concurrency limit of the endpoint, from the agent's last report.
    pub limit: u32,
    /// Age of the agent's last report in milliseconds.
    pub report_age_ms: Option<u64>,
}

/// Summary of a request in a list.
#[derive(Debug, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Identifier of the request.
    pub request: String,
    /// Pipeline of the request.
    pub pipeline: String,
    /// Organisation of the request.
    pub organisation: String,
    /// Last recorded event of the request.
    pub last: String,
}

/// Starts the listener of the administration API.
pub fn listen(state: AdminState, address: SocketAddr) -> Result<Listener, ListenError> {
    let server = App::new()
        .with_state(state)
        .at("/metrics", get(handler_service(metrics_text)))
        .at("/healthz", get(handler_service(healthz)))
        .at("/v1/status", get(handler_service(status)))
        .at("/v1/endpoints", get(handler_service(endpoints)))
        .at("/v1/requests", get(handler_service(requests)))
        .at("/v1/requests/{id}/explain", get(handler_service(explain)))
        .at("/v1/audit", get(handler_service(audit)))
        .at("/v1/config", get(handler_service(config)))
        .at("/v1/drain", post(handler_service(drain)))
        .serve()
        .disable_signal()
        .worker_threads(1)
        .bind(address)
        .context(ListenSnafu { address })?
        .run();
    Listener::start(server, address)
}

type Context<'a> = WebContext<'a, AdminState>;

async fn healthz(_: &Context<'_>) -> WebResponse {
    http::text(StatusCode::OK, "ok\n")
}

async fn metrics_text(ctx: &Context<'_>) -> WebResponse {
    let state = ctx.state();
    if let Ok(in_flight) = in_flight(&state.role).await {
        m::in_flight(in_flight);
    }
    if let RoleHandle::Gateway(core) = &state.role
        && let Ok(retries) = core.inspect(|core, _| core.retries_left()).await
    {
        m::retry_budget(retries);
    }
    http::text(StatusCode::OK, state.metrics.render())
}

fn authorised<'a>(ctx: &'a Context<'_>) -> Result<&'a AdminState, BadInput> {
    let state = ctx.state();
    http::authorise(ctx.req().headers(), &state.settings.admin_token)?;
    Ok(state)
}

fn respond<T: Serialize>(result: Result<T, BadInput>) -> WebResponse {
    match result {
        Ok(value) => http::json(StatusCode::OK, &value),
        Err(error) => http::bad_input(&error),
    }
}

fn count(ctx: &Context<'_>) -> usize {
    let query = ctx.req().uri().query().unwrap_or_default();
    let count = query.split('&').find_map(|pair| pair.strip_prefix("count="));
    count.and_then(|c| c.parse().ok()).unwrap_or(DEFAULT_COUNT)
}

async fn in_flight(role: &RoleHandle) -> Result<usize, crate::actor::Stopped> {
    match role {
        RoleHandle::Gateway(core) => core.inspect(|core, _| core.in_flight()).await,
        RoleHandle::Agent(core) => core.inspect(|core, _| attempts_in_agent(core.load())).await,
    }
}

const fn attempts_in_agent(load: Load) -> usize {
    (load.queued + load.running) as usize
}

async fn status(ctx: &Context<'_>) -> WebResponse {
    let state = match authorised(ctx) {
        Ok(state) => state,
        Err(error) => return http::bad_input(&error),
    };
    let (role, draining) = match &state.role {
        RoleHandle::Gateway(core) => ("gateway", core.inspect(|c, _| c.is_draining()).await),
        RoleHandle::Agent(core) => ("agent", core.inspect(|c, _| c.is_leaving()).await),
    };
    respond(Ok(Status {
        host: state.settings.host.clone(),
        role: role.to_owned(),
        data_centre: state.settings.data_centre.clone(),
        incarnation: state.incarnation.to_string(),
        build: Build::own(),
        uptime_s: state.started.elapsed().as_secs(),
        config_version: state.distributor.store().version(),
        platform_age_s: state.distributor.platform_age().map(|a| a.as_secs_f64()),
        peers: state.distributor.peers().len(),
        in_flight: in_flight(&state.role).await.unwrap_or_default(),
        draining: draining.unwrap_or(true),
    }))
}

async fn endpoints(ctx: &Context<'_>) -> WebResponse {
    let listed = match (authorised(ctx), &ctx.state().role) {
        (Err(error), _) => Err(error),
        (Ok(_), RoleHandle::Gateway(core)) => {
            let listed = core.inspect(list_endpoints).await;
            listed.map_err(|e| BadInput::Unknown { what: e.to_string() })
        }
        (Ok(_), RoleHandle::Agent(_)) => Ok(Vec::new()),
    };
    respond(listed)
}

fn list_endpoints(core: &GatewayCore, now: Timestamp) -> Vec<EndpointStatus> {
    let mut listed: Vec<_> = core
        .fleet()
        .iter()
        .map(|(name, state)| {
            let load = state.report.map(|(load, _)| load).unwrap_or_default();
            let state_name = if state.is_leaving(now) {
                "leaving"
            } else if state.is_suspected(now) {
                "suspected"
            } else {
                "serving"
            };
            EndpointStatus {
                endpoint: name.clone(),
                state: state_name.to_owned(),
                in_flight: state.in_flight,
                queued: load.queued,
                running: load.running,
                limit: load.limit,
                report_age_ms: state.report.map(|(_, at)| (now - at).as_millis() as u64),
            }
        })
        .collect();
    listed.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
    listed
}

async fn requests(ctx: &Context<'_>) -> WebResponse {
    let count = count(ctx);
    let listed = match (authorised(ctx), &ctx.state().role) {
        (Err(error), _) => Err(error),
        (Ok(_), RoleHandle::Gateway(core)) => {
            let listed = core.inspect(move |core, _| list_requests(core, count)).await;
            listed.map_err(|e| BadInput::Unknown { what: e.to_string() })
        }
        (Ok(_), RoleHandle::Agent(_)) => Ok(Vec::new()),
    };
    respond(listed)
}

fn list_requests(core: &GatewayCore, count: usize) -> Vec<RequestStatus> {
    let listed = core.recent(count).map(|record| {
        let explained = crate::policy::explain::Explanation::from(&**record);
        RequestStatus {
            last: explained.steps.last().map(|s| s.what.clone()).unwrap_or_default(),
            request: explained.request,
            pipeline: explained.pipeline,
            organisation: explained.organisation,
        }
    });
    listed.collect()
}

async fn explain(ctx: &Context<'_>) -> WebResponse {
    let state = match authorised(ctx) {
        Ok(state) => state,
        Err(error) => return http::bad_input(&error),
    };
    let path = ctx.req().uri().path();
    let text = path.trim_end_matches("/explain").rsplit('/').next().unwrap_or_default();
    let text = percent_decode_str(text).decode_utf8_lossy();
    let id: RequestId = match text.parse() {
        Ok(id) => id,
        Err(error) => {
            let error: crate::message::BadRequestId = error;
            let allowed = error.to_string();
            return http::bad_input(&BadInput::OutOfRange { field: "request", allowed });
        }
    };
    let what = format!("request {id}");
    let explained = match &state.role {
        RoleHandle::Gateway(core) if *id.gateway == *state.settings.host => {
            explain_local(core, id).await
        }
        RoleHandle::Gateway(_) | RoleHandle::Agent(_) => {
            let (distributor, channels) = (state.distributor.clone(), state.channels.clone());
            let asked = state
                .runtime
                .spawn(async move { explain_remote(&distributor, &channels, &id).await });
            asked.await.ok().flatten()
        }
    };
    respond(explained.ok_or(BadInput::Unknown { what }))
}

async fn audit(ctx: &Context<'_>) -> WebResponse {
    let count = count(ctx);
    respond(authorised(ctx).map(|state| state.audit.recent(count)))
}

async fn config(ctx: &Context<'_>) -> WebResponse {
    let found = authorised(ctx).and_then(|state| {
        let installed = state.distributor.store().installed();
        installed.ok_or_else(|| BadInput::Unknown { what: "a configuration".to_owned() })
    });
    respond(found.map(|installed| installed.config.clone()))
}

async fn drain(ctx: &Context<'_>) -> WebResponse {
    respond(authorised(ctx).map(|state| {
        state.drain.notify_one();
        "draining"
    }))
}
