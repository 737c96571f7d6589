//! Starts a deployment: stand-ins in this process, gateways and agents as separate processes.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::Method;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};
use stackmast::config::parts::PartsError;
use stackmast::config::{Config, Endpoint};
use stackmast::platform::{Host, HostState};

use crate::client::Client;
use crate::deployment::{Deployment, EndpointSpec, StandIn};
use crate::engine::{Engine, EngineHandler};
use crate::platform::Platform;
use crate::proxy::Proxy;
use crate::runs::Runs;
use crate::serve::{Server, serve};
use crate::service::{Faults, PlainService};

/// Token of operators in the test bench.
pub const ADMIN_TOKEN: &str = "testbed-admin-token";
/// Key that signs tickets in the test bench.
pub const TICKET_KEY: &str = "testbed-ticket-key-0123456789";
/// Time within which a process must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reason why a fleet failed to start.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// An operation on a socket, file or process failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// Operation that failed.
        what: &'static str,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The configuration could not be published.
    #[snafu(display("{source}"), context(false))]
    Parts {
        /// Underlying error.
        source: PartsError,
    },
    /// A process did not become ready.
    #[snafu(display("{name} did not become ready; its log:\n{log}"))]
    NotReady {
        /// Name of the process.
        name: String,
        /// Log of the process.
        log: String,
    },
}

/// Command that runs the daemon.
#[derive(Debug, Clone)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments that precede those of the daemon.
    pub before: Vec<String>,
}

/// One process of the fleet; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    /// Host name of the process.
    pub name: String,
    /// Address for callers; only for gateways.
    pub callers: Option<SocketAddr>,
    /// Address for other processes.
    pub internal: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    settings: PathBuf,
    program: Program,
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).ok();
    }

    /// Starts the process again with the same settings, after it has exited.
    pub fn restart(&mut self) -> Result<(), FleetError> {
        self.child = spawn(&self.program, &self.settings)?;
        Ok(())
    }

    /// Exit code, once the process has exited.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().and_then(|status| status.code())
    }

    /// Log of the process since its last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

fn spawn(program: &Program, settings: &Path) -> Result<Child, FleetError> {
    let log = std::fs::File::create(settings.with_extension("log"));
    let log = log.context(IoSnafu { what: "create a log" })?;
    let _alone = START_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    Command::new(&program.path)
        .args(&program.before)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .context(IoSnafu { what: "start the daemon" })
}

/// A running stand-in with its controls.
pub struct Running {
    /// Injected fault.
    pub faults: Faults,
    /// The engine, if the stand-in is one.
    pub engine: Option<Arc<Engine>>,
    /// Proxy between the agent and the stand-in.
    pub proxy: Proxy,
    /// Address of the stand-in without proxy.
    pub address: SocketAddr,
    _server: Server,
}

/// A running deployment.
pub struct Fleet {
    /// Stand-in for the platform.
    pub platform: Arc<Platform>,
    /// Proxy in front of the platform.
    pub platform_proxy: Proxy,
    /// Stages that the stand-ins ran.
    pub runs: Runs,
    /// Stand-ins by endpoint.
    pub stand_ins: HashMap<String, Running>,
    /// Agents by endpoint.
    pub agents: HashMap<String, Process>,
    /// Proxies in front of the agents, by endpoint.
    pub agent_proxies: HashMap<String, Proxy>,
    /// Gateways.
    pub gateways: Vec<Process>,
    /// Configuration that was published last.
    pub config: Config,
    /// Client for administrative requests.
    pub client: Client,
    own: SocketAddr,
    addresses: Addresses,
    folder: PathBuf,
    _platform_server: Server,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        self.agents.clear();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Port 0 of a random loopback address for this fleet, so that no outgoing connection takes a port
/// between the check that it is free and the start of its listener.
fn own_address() -> SocketAddr {
    let [a, b, c, _] = rand::random::<u32>().to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a.max(1), b, c.clamp(1, 254))), 0)
}

/// Held while a port is searched and while a process is started: between fork and exec a child
/// holds its parent's sockets, so that a port that another thread just found free would be in use.
static START_LOCK: Mutex<()> = Mutex::new(());

/// Allocates free addresses for processes, each only once.
struct Addresses {
    own: SocketAddr,
    given: HashSet<SocketAddr>,
}

impl Addresses {
    fn take(&mut self) -> Result<SocketAddr, FleetError> {
        let what = "find a free port";
        let _alone = START_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let listener = TcpListener::bind(self.own).context(IoSnafu { what })?;
            let address = listener.local_addr().context(IoSnafu { what })?;
            if self.given.insert(address) {
                return Ok(address);
            }
        }
    }
}

impl Fleet {
    /// Starts all processes and waits until every gateway and agent is ready.
    pub async fn start(
        program: &Program,
        deployment: Deployment,
        gateways: usize,
    ) -> Result<Self, FleetError> {
        let mut fleet = Self::empty(deployment.config).await?;
        for spec in &deployment.endpoints {
            fleet.start_endpoint(program, spec, deployment.proxied).await?;
        }
        fleet.start_gateways(program, gateways).await?;
        Ok(fleet)
    }

    /// Starts only the platform.
    async fn empty(config: Config) -> Result<Self, FleetError> {
        let folder = std::env::temp_dir().join(format!("stackmast-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&folder).context(IoSnafu { what: "create a folder" })?;
        let platform = Arc::new(Platform::default());
        let own = own_address();
        let server = serve(own, platform.clone()).await;
        let server = server.context(IoSnafu { what: "start the platform" })?;
        let proxy = Proxy::start(own, server.address).await;
        Ok(Self {
            own,
            addresses: Addresses { own: own_address(), given: HashSet::new() },
            platform,
            platform_proxy: proxy.context(IoSnafu { what: "start a proxy" })?,
            runs: Runs::default(),
            stand_ins: HashMap::new(),
            agents: HashMap::new(),
            agent_proxies: HashMap::new(),
            gateways: Vec::new(),
            config,
            client: Client::default(),
            folder,
            _platform_server: server,
        })
    }

    /// Starts gateways and the agents of the first endpoints of the configuration, without
    /// stand-ins.
    pub async fn bare(
        program: &Program,
        config: Config,
        agents: usize,
        gateways: usize,
    ) -> Result<Self, FleetError> {
        let mut fleet = Self::empty(config).await?;
        for i in 0..agents {
            let endpoint = fleet.config.endpoints[i].name.clone();
            let settings = json!({
                "role": "agent",
                "endpoint": endpoint,
                "endpoint_address": "127.0.0.1:9",
                "data_centre": "dc-0",
            });
            let process =
                fleet.start_process(program, &format!("{endpoint}-host"), settings, None)?;
            Arc::make_mut(&mut fleet.config.endpoints[i]).agent = process.internal;
            fleet.agents.insert(endpoint, process);
        }
        fleet.start_gateways(program, gateways).await?;
        Ok(fleet)
    }

    async fn start_endpoint(
        &mut self,
        program: &Program,
        spec: &EndpointSpec,
        proxied: bool,
    ) -> Result<(), FleetError> {
        let running = start_stand_in(self.own, spec, &self.runs).await?;
        let settings = json!({
            "role": "agent",
            "endpoint": spec.name,
            "endpoint_address": if proxied { running.proxy.address } else { running.address },
            "data_centre": spec.data_centre,
        });
        let name = format!("{}-host", spec.name);
        let process = self.start_process(program, &name, settings, None)?;
        let proxy = Proxy::start(self.own, process.internal).await;
        let proxy = proxy.context(IoSnafu { what: "start a proxy" })?;
        self.config.endpoints.push(Arc::new(Endpoint {
            name: spec.name.clone(),
            kind: spec.kind(),
            agent: if proxied { proxy.address } else { process.internal },
            data_centre: spec.data_centre.clone(),
            labels: spec.labels.clone(),
            concurrency: spec.concurrency,
            cost: 1.0,
            leaving: false,
        }));
        self.stand_ins.insert(spec.name.clone(), running);
        self.agents.insert(spec.name.clone(), process);
        self.agent_proxies.insert(spec.name.clone(), proxy);
        Ok(())
    }

    /// Publishes the configuration, starts the gateways, and waits until all processes are ready.
    async fn start_gateways(&mut self, program: &Program, count: usize) -> Result<(), FleetError> {
        self.platform.publish(&self.config)?;
        for i in 0..count {
            self.start_gateway(program, &format!("gateway-{i}"))?;
        }
        self.list_hosts(&[]);
        self.wait_ready().await
    }

    fn start_gateway(&mut self, program: &Program, name: &str) -> Result<(), FleetError> {
        let callers = self.addresses.take()?;
        let settings = json!({ "role": "gateway", "callers": callers, "data_centre": "dc-0" });
        let process = self.start_process(program, name, settings, Some(callers))?;
        self.gateways.push(process);
        Ok(())
    }

    fn start_process(
        &mut self,
        program: &Program,
        name: &str,
        settings: Value,
        callers: Option<SocketAddr>,
    ) -> Result<Process, FleetError> {
        let (internal, admin) = (self.addresses.take()?, self.addresses.take()?);
        let seeds: Vec<_> = self.gateways.iter().map(|g| g.internal).collect();
        let seeds: Vec<_> =
            seeds.into_iter().chain(self.agents.values().map(|a| a.internal)).take(4).collect();
        let mut all = json!({
            "host": name,
            "internal": internal,
            "admin": admin,
            "admin_token": ADMIN_TOKEN,
            "ticket_key": TICKET_KEY,
            "platform": self.platform_proxy.address,
            "peers": seeds,
            "fleet_polls_per_second": 20,
        });
        if let (Value::Object(all), Value::Object(own)) = (&mut all, settings) {
            all.extend(own);
        }
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, all.to_string()).context(IoSnafu { what: "write settings" })?;
        Ok(Process {
            name: name.to_owned(),
            callers,
            internal,
            admin,
            child: spawn(program, &path)?,
            settings: path,
            program: program.clone(),
        })
    }

    /// Publishes the list of hosts and marks the given ones as leaving.
    pub fn list_hosts(&self, leaving: &[&str]) {
        let agents = self.agents.values().map(|p| (p, false));
        let gateways = self.gateways.iter().map(|p| (p, true));
        let hosts = agents.chain(gateways).map(|(process, gateway)| Host {
            name: process.name.clone(),
            internal: process.internal,
            gateway,
            state: if leaving.contains(&process.name.as_str()) {
                HostState::Leaving
            } else {
                HostState::Live
            },
        });
        self.platform.list_hosts(hosts.collect());
    }

    /// Changes the configuration and publishes it under the next version, which it returns.
    pub fn publish(&mut self, change: impl FnOnce(&mut Config)) -> Result<u64, FleetError> {
        change(&mut self.config);
        self.config.version += 1;
        self.platform.publish(&self.config)?;
        Ok(self.config.version)
    }

    /// Address of a gateway for callers.
    pub fn callers(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].callers.expect("gateways have callers")
    }

    /// Every process of the fleet.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        self.gateways.iter().chain(self.agents.values())
    }

    async fn wait_ready(&self) -> Result<(), FleetError> {
        let version = self.config.version;
        self.wait_version(version).await.map(|_| ())
    }

    /// Waits until every process has this configuration version. Returns the time that it took.
    pub async fn wait_version(&self, version: u64) -> Result<Duration, FleetError> {
        let start = Instant::now();
        for process in self.processes() {
            while self.version_of(process).await < Some(version) {
                if start.elapsed() > READY_TIMEOUT {
                    return NotReadySnafu { name: &process.name, log: process.log() }.fail();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(start.elapsed())
    }

    async fn version_of(&self, process: &Process) -> Option<u64> {
        self.status(process).await?["config_version"].as_u64()
    }

    /// Status that a process reports.
    pub async fn status(&self, process: &Process) -> Option<Value> {
        let reply = self.admin(process, Method::GET, "/v1/status").await?;
        Some(reply)
    }

    /// Sends an administrative request to a process.
    pub async fn admin(&self, process: &Process, method: Method, path: &str) -> Option<Value> {
        let reply = self.client.call(method, process.admin, path, ADMIN_TOKEN, "").await.ok()?;
        reply.status.is_success().then(|| reply.json())
    }

    /// Sum of the samples of a metric in a process whose lines contain `labels`.
    pub async fn metric(&self, process: &Process, name: &str, labels: &str) -> f64 {
        let reply = self.client.call(Method::GET, process.admin, "/metrics", "", "").await;
        let text = reply.map(|r| r.text()).unwrap_or_default();
        let samples = text.lines().filter(|l| l.starts_with(name) && l.contains(labels));
        samples.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }
}

async fn start_stand_in(
    own: SocketAddr,
    spec: &EndpointSpec,
    runs: &Runs,
) -> Result<Running, FleetError> {
    let what = "start a stand-in";
    let (faults, engine, server) = match spec.stand_in {
        StandIn::Service(times) => {
            let service = Arc::new(PlainService::new(&spec.name, times, runs.clone()));
            (service.faults.clone(), None, serve(own, service).await)
        }
        StandIn::Engine(speed) => {
            let engine = Engine::start(&spec.name, speed, runs.clone());
            let handler = Arc::new(EngineHandler(engine.clone()));
            (engine.faults.clone(), Some(engine), serve(own, handler).await)
        }
    };
    let server = server.context(IoSnafu { what })?;
    let proxy = Proxy::start(own, server.address).await.context(IoSnafu { what })?;
    Ok(Running { faults, engine, proxy, address: server.address, _server: server })
}
