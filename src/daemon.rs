//! The daemon: starts the parts of a process according to its settings and shuts them down
//! gracefully.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::{Logger, warn};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tonic::transport::server::TcpIncoming;

use crate::actor::{self, Handle};
use crate::admin::{self, AdminState, RoleHandle};
use crate::agent;
use crate::agent::core::AgentCore;
use crate::agent::endpoint::EndpointClient;
use crate::agent::orders::Orders;
use crate::agent::service::AgentService;
use crate::agent::tickets::Tickets;
use crate::audit::{Audit, Change};
use crate::channels::Channels;
use crate::config::{Config, EndpointKind};
use crate::config_store::ConfigStore;
use crate::distribution::{self, Distributor};
use crate::gateway;
use crate::gateway::core::GatewayCore;
use crate::gateway::http::CallerState;
use crate::gateway::shell::{Callers, GatewayShell};
use crate::http::{ListenError, Listener};
use crate::logging;
use crate::message::Incarnation;
use crate::metrics as m;
use crate::peer::PeerService;
use crate::platform::{HostState, Platform};
use crate::settings::{Role, Settings};
use crate::signals::{ReloadSignals, SignalError, StopSignals};
use crate::view::{Location, View};
use crate::wire::MAX_MESSAGE_LEN;
use crate::wire::v1::agent_server::AgentServer;
use crate::wire::v1::peer_server::PeerServer;

/// Interval at which a stopping process checks whether anything is in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Delay between the last response and closing the listeners, so that sockets can flush.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Reason for which the daemon failed.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A listener could not be opened.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// The listener's address and the cause.
        source: ListenError,
    },
    /// The runtime could not be started.
    #[snafu(display("can't start the runtime: {source}"))]
    Runtime {
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// Signals can't be received.
    #[snafu(display("{source}"), context(false))]
    Signals {
        /// Cause of the failure.
        source: SignalError,
    },
    /// The metrics could not be set up.
    #[snafu(display("can't record metrics: {source}"))]
    Metrics {
        /// Cause of the failure.
        source: metrics_exporter_prometheus::BuildError,
    },
}

/// Runs a process until it is ordered to stop and nothing is in flight.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(async {
        // First, since SIGHUP may arrive at any time and would end the process.
        let reload_signals = ReloadSignals::catch()?;
        serve(Arc::new(settings), reload_signals).await
    })
}

/// Logs each SIGHUP: the daemon reads its settings only when it starts.
async fn log_reload_signals(mut signals: ReloadSignals, log: Logger) {
    loop {
        signals.received().await;
        warn!(log, "SIGHUP ignored: changed settings take effect at the next start");
    }
}

/// The parts that processes of both roles have.
struct Base {
    settings: Arc<Settings>,
    incarnation: Incarnation,
    log: Logger,
    audit: Audit,
    channels: Arc<Channels>,
    distributor: Arc<Distributor>,
    metrics: PrometheusHandle,
    drain: Arc<Notify>,
}

impl Base {
    fn new(settings: Arc<Settings>, role: &'static str) -> Result<Self, DaemonError> {
        let metrics = PrometheusBuilder::new().install_recorder().context(MetricsSnafu)?;
        m::describe();
        let log = logging::logger(&settings.host, role);
        let audit = Audit::new(log.clone());
        let channels = Arc::<Channels>::default();
        let store = Arc::new(ConfigStore::new(audit.clone()));
        let distributor = Arc::new(Distributor::new(distribution::Setup {
            address: settings.internal,
            seeds: settings.peers.clone(),
            polls_per_second: settings.fleet_polls_per_second,
            store,
            platform: Platform::new(settings.platform),
            channels: channels.clone(),
            audit: audit.clone(),
        }));
        let incarnation = Incarnation(rand::random::<u64>().max(1));
        let drain = Arc::<Notify>::default();
        Ok(Self { settings, incarnation, log, audit, channels, distributor, metrics, drain })
    }

    fn admin(&self, role: RoleHandle) -> Result<Listener, ListenError> {
        let state = AdminState {
            role,
            settings: self.settings.clone(),
            incarnation: self.incarnation,
            started: Instant::now(),
            distributor: self.distributor.clone(),
            channels: self.channels.clone(),
            audit: self.audit.clone(),
            metrics: self.metrics.clone(),
            drain: self.drain.clone(),
            runtime: tokio::runtime::Handle::current(),
        };
        admin::listen(state, self.settings.admin)
    }

    /// Waits for a signal or an order to stop; further signals have no effect.
    async fn wait_for_stop(&self) -> Result<(), DaemonError> {
        let mut signals = StopSignals::catch()?;
        tokio::select! {
            () = signals.received() => {}
            () = self.drain.notified() => {}
        }
        self.audit.record(Change::Draining);
        Ok(())
    }

    /// Waits until nothing is in flight, at most for the drain timeout of the settings.
    async fn wait_until_idle(&self, mut in_flight: impl AsyncFnMut() -> usize) {
        let until = Instant::now() + self.settings.bounds.drain_timeout;
        while Instant::now() < until && in_flight().await > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        tokio::time::sleep(FLUSH_DELAY).await;
    }
}

async fn serve(settings: Arc<Settings>, reload_signals: ReloadSignals) -> Result<(), DaemonError> {
    let role = settings.role.clone();
    let name = match role {
        Role::Gateway { .. } => "gateway",
        Role::Agent { .. } => "agent",
    };
    let base = Base::new(settings, name)?;
    tokio::spawn(log_reload_signals(reload_signals, base.log.clone()));
    match role {
        Role::Gateway { callers } => serve_gateway(base, callers).await,
        Role::Agent { endpoint, address } => serve_agent(base, &endpoint, address).await,
    }
}

async fn bind(address: SocketAddr) -> Result<TcpIncoming, ListenError> {
    let bound = TcpListener::bind(address).await;
    let listener = bound.map_err(|source| ListenError { address, source })?;
    Ok(TcpIncoming::from(listener).with_nodelay(Some(true)))
}

async fn serve_gateway(base: Base, callers_address: SocketAddr) -> Result<(), DaemonError> {
    let settings = base.settings.clone();
    let core = GatewayCore::new(gateway::event::Setup {
        host: settings.host.as_str().into(),
        incarnation: base.incarnation,
        in_flight: settings.bounds.in_flight,
        records: settings.bounds.records,
        result_bytes: settings.bounds.result_bytes,
        seed: rand::random(),
    });
    let (handle, mailbox) = actor::mailbox();
    let callers = Arc::<Callers>::default();
    let shell = GatewayShell::new(
        handle.clone(),
        callers.clone(),
        base.channels.clone(),
        base.audit.clone(),
    );
    tokio::spawn(actor::run(core, shell, mailbox));

    let internal = bind(settings.internal).await?;
    let peers =
        PeerService { distributor: base.distributor.clone(), gateway: Some(handle.clone()) };
    let server = tonic::transport::Server::builder().add_service(peer_server(peers));
    tokio::spawn(server.serve_with_incoming(internal));
    let admin = base.admin(RoleHandle::Gateway(handle.clone()))?;
    let listener = gateway::http::listen(
        CallerState {
            core: handle.clone(),
            callers: callers.clone(),
            channels: base.channels.clone(),
            settings: settings.clone(),
            runtime: tokio::runtime::Handle::current(),
        },
        callers_address,
    )?;
    tokio::spawn(base.distributor.clone().run());
    tokio::spawn(configure_gateway(handle.clone(), base.distributor.clone(), settings));
    base.audit.record(Change::Started { incarnation: base.incarnation.to_string() });

    base.wait_for_stop().await?;
    handle.send(gateway::event::Event::Drain).await.ok();
    base.wait_until_idle(async || callers.len()).await;
    listener.stop();
    admin.stop();
    Ok(())
}

fn peer_server(service: PeerService) -> PeerServer<PeerService> {
    PeerServer::new(service).max_decoding_message_size(MAX_MESSAGE_LEN)
}

/// Compiles each configuration that comes into force and sends it to the core.
async fn configure_gateway(
    core: Handle<GatewayCore>,
    distributor: Arc<Distributor>,
    settings: Arc<Settings>,
) {
    distributor.started().await;
    let mut configs = distributor.store().subscribe();
    let mut hosts = distributor.subscribe_hosts();
    let mut applied = 0;
    loop {
        if let Some(installed) = distributor.store().installed()
            && installed.config.version > applied
        {
            applied = installed.config.version;
            let location =
                Location { host: settings.host.clone(), data_centre: settings.data_centre.clone() };
            let digest = installed.bundle.manifest.digest.clone();
            let view = Arc::new(View::new(installed.config.clone(), digest, location));
            core.send(gateway::event::Event::Configure { view }).await.ok();
        }
        let count = distributor.gateways();
        core.send(gateway::event::Event::Gateways { count }).await.ok();
        tokio::select! {
            changed = configs.changed() => if changed.is_err() { return },
            changed = hosts.changed() => if changed.is_err() { return },
        }
    }
}

async fn serve_agent(base: Base, endpoint: &str, address: SocketAddr) -> Result<(), DaemonError> {
    let settings = base.settings.clone();
    let bounds = agent::event::Bounds {
        queue: settings.bounds.in_flight,
        result_bytes: settings.bounds.result_bytes,
        ..agent::event::Bounds::default()
    };
    let core = AgentCore::new(base.incarnation, endpoint, bounds);
    let (handle, mailbox) = actor::mailbox();
    let kind = Arc::new(Mutex::new(EndpointKind::Service));
    let client = EndpointClient::new(address, base.log.clone());
    let orders = Orders {
        endpoint: endpoint.to_owned(),
        incarnation: base.incarnation,
        client: client.clone(),
        store: base.distributor.store().clone(),
        audit: base.audit.clone(),
    };
    let (shell, stages) = agent::shell::shell(
        handle.clone(),
        base.incarnation,
        client,
        kind.clone(),
        base.channels.clone(),
    );
    tokio::spawn(actor::run(core, shell, mailbox));

    let internal = bind(settings.internal).await?;
    let service = AgentService { stages, tickets: Arc::new(Tickets::new(base.incarnation)) };
    let peers = PeerService { distributor: base.distributor.clone(), gateway: None };
    let stages = AgentServer::new(service).max_decoding_message_size(MAX_MESSAGE_LEN);
    let server =
        tonic::transport::Server::builder().add_service(stages).add_service(peer_server(peers));
    tokio::spawn(server.serve_with_incoming(internal));
    let admin = base.admin(RoleHandle::Agent(handle.clone()))?;
    tokio::spawn(base.distributor.clone().run());
    let configured = ConfiguredEndpoint {
        name: endpoint.to_owned(),
        core: handle.clone(),
        kind,
        audit: base.audit.clone(),
    };
    tokio::spawn(configure_agent(configured, base.distributor.clone(), settings));
    let distributor = base.distributor.clone();
    tokio::spawn(async move {
        distributor.started().await;
        orders.run().await;
    });
    base.audit.record(Change::Started { incarnation: base.incarnation.to_string() });

    base.wait_for_stop().await?;
    handle.send(agent::event::Event::Drain).await.ok();
    base.wait_until_idle(async || {
        let idle = handle.inspect(|core, _| core.is_idle()).await;
        usize::from(!idle.unwrap_or(true))
    })
    .await;
    admin.stop();
    Ok(())
}

/// The endpoint beside which an agent runs, as named in the configuration.
struct ConfiguredEndpoint {
    name: String,
    core: Handle<AgentCore>,
    kind: Arc<Mutex<EndpointKind>>,
    audit: Audit,
}

/// Forwards changes of the endpoint in the configuration and the host list to the core.
async fn configure_agent(
    configured: ConfiguredEndpoint,
    distributor: Arc<Distributor>,
    settings: Arc<Settings>,
) {
    distributor.started().await;
    let mut configs = distributor.store().subscribe();
    let mut hosts = distributor.subscribe_hosts();
    let mut was_leaving = None;
    loop {
        let listed_leaving = distributor
            .hosts()
            .hosts
            .iter()
            .any(|h| h.name == settings.host && h.state == HostState::Leaving);
        if let Some(installed) = distributor.store().installed() {
            let leaving = configured.apply(&installed.config, listed_leaving).await;
            if was_leaving.replace(leaving) != Some(leaving) {
                configured.record_change(leaving);
            }
        }
        tokio::select! {
            changed = configs.changed() => if changed.is_err() { return },
            changed = hosts.changed() => if changed.is_err() { return },
        }
    }
}

impl ConfiguredEndpoint {
    /// Applies a configuration; returns whether the endpoint is draining, as is one that is not
    /// configured.
    async fn apply(&self, config: &Config, listed_leaving: bool) -> bool {
        let found = config.endpoints.iter().find(|e| e.name == self.name);
        let kind = found.map_or(EndpointKind::Service, |e| e.kind);
        *self.kind.lock().unwrap_or_else(PoisonError::into_inner) = kind;
        let leaving = listed_leaving || found.is_none_or(|e| e.leaving);
        let event = agent::event::Event::Configure {
            concurrency: found.map_or(0, |e| e.concurrency),
            leaving,
            is_engine: kind == EndpointKind::Engine,
        };
        self.core.send(event).await.ok();
        leaving
    }

    fn record_change(&self, leaving: bool) {
        let endpoint = self.name.clone();
        self.audit.record(if leaving {
            Change::EndpointLeaving { endpoint }
        } else {
            Change::EndpointServing { endpoint }
        });
    }
}
