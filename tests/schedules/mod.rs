//! Small fakes around the cores: a network, endpoints and callers, driven by one seed.

mod endpoints;
mod network;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stackmast::actor::Core;
use stackmast::agent::core::AgentCore;
use stackmast::agent::event as agent;
use stackmast::agent::event::{CallId, EndpointEvent};
use stackmast::config::{Config, Endpoint, EndpointKind, Organisation, Pipeline, Stage};
use stackmast::gateway::core::GatewayCore;
use stackmast::gateway::event as gateway;
use stackmast::gateway::event::Answer;
use stackmast::gateway::request::Submission;
use stackmast::message::{AttemptId, Incarnation, Ran, Run, Timestamp};
use stackmast::view::{Location, View};
use stackmast_testbed::deployment::{labels, selector};
use stackmast_testbed::history::{self, Breach, ReportedRun, Seen};
use stackmast_testbed::runs;

pub const GATEWAYS: usize = 2;
pub const AGENTS: usize = 4;
/// Agents from this index on serve engines.
const FIRST_ENGINE: usize = 2;
const FIRST_PORT: u16 = 1_000;
const REQUESTS: usize = 8;
/// The stages, and whether each may be repeated.
const STAGES: [(&str, bool); 3] = [("encode", true), ("book", false), ("generate", true)];
const DEADLINE: Duration = Duration::from_secs(2);
/// Latest time of a schedule.
const END: Duration = Duration::from_secs(40);
const REVOKE_TIMEOUT: Duration = Duration::from_millis(150);

/// Probabilities of faults, in thousandths.
#[derive(Debug, Clone, Copy)]
pub struct Odds {
    pub lost: u32,
    pub doubled: u32,
    pub endpoint: u32,
    /// Number of kills, freezes, drains and cuts in one schedule.
    pub faults: u32,
}

/// One call of a gateway; its index in the list of calls is its id at the agent.
#[derive(Debug, Clone)]
struct Call {
    gateway: usize,
    epoch: u64,
    number: u64,
    attempt: AttemptId,
    agent: usize,
    /// Replies no longer reach the gateway; for the call of a duplicated message they never did.
    broken: bool,
}

#[derive(Debug, Clone)]
enum ToAgent {
    Run(CallId, Run),
    Closed(CallId),
    Revoke { gateway: usize, epoch: u64, attempt: AttemptId, agent: Incarnation, cancel: bool },
    Endpoint { epoch: u64, attempt: AttemptId, event: EndpointEvent },
    Tick,
}

#[derive(Debug, Clone)]
enum Fault {
    KillAgent(usize),
    KillGateway(usize),
    FreezeAgent(usize, Duration),
    FreezeGateway(usize, Duration),
    Leaving(usize, bool),
    CutLink(usize, usize, Duration),
}

#[derive(Debug, Clone)]
enum Step {
    Submit(usize),
    Gateway { index: usize, epoch: u64, event: gateway::Event },
    Agent { index: usize, message: ToAgent },
    Fault(Fault),
}

struct Node<C> {
    core: C,
    epoch: u64,
    frozen_until: Timestamp,
}

#[derive(Debug)]
struct Submitted {
    gateway: usize,
    epoch: u64,
    at: Timestamp,
    submission: Submission,
    request: history::Request,
    answered_at: Option<Timestamp>,
    /// Until when the gateway was frozen at the time of its answer.
    frozen_until: Timestamp,
}

/// A revocation that an agent has not answered yet.
#[derive(Debug, Clone, Copy)]
struct Revoking {
    gateway: usize,
    epoch: u64,
    attempt: AttemptId,
    cancel: bool,
}

pub struct World {
    rng: StdRng,
    odds: Odds,
    now: Timestamp,
    order: BinaryHeap<Reverse<(Timestamp, u64)>>,
    steps: HashMap<u64, Step>,
    next_step: u64,
    gateways: Vec<Node<GatewayCore>>,
    agents: Vec<Node<AgentCore>>,
    calls: Vec<Call>,
    revocations: HashMap<CallId, Revoking>,
    cut_until: HashMap<(usize, usize), Timestamp>,
    streams: HashMap<(usize, AttemptId), String>,
    runs: Vec<runs::Run>,
    submitted: Vec<Submitted>,
    view: Arc<View>,
}

fn config() -> Config {
    let stage = |name: &str, service: &str, may_repeat| Stage {
        name: name.to_owned(),
        endpoints: selector(&format!("service={service}")),
        may_repeat,
        expected_ms: 20,
    };
    let endpoints = (0..AGENTS).map(|i| Endpoint {
        name: format!("endpoint-{i}"),
        kind: if i < FIRST_ENGINE { EndpointKind::Service } else { EndpointKind::Engine },
        agent: ([127, 0, 0, 1], FIRST_PORT + i as u16).into(),
        data_centre: "dc".to_owned(),
        labels: labels(&[("service", if i < FIRST_ENGINE { "plain" } else { "model" })]),
        concurrency: 2,
        cost: 1.0,
        leaving: false,
    });
    Config {
        version: 1,
        pipelines: vec![Pipeline {
            name: "p".to_owned(),
            deadline_ms: DEADLINE.as_millis() as u64,
            priority: 0,
            stages: vec![
                stage("encode", "plain", true),
                stage("book", "plain", false),
                stage("generate", "model", true),
            ],
        }],
        endpoints: endpoints.map(Arc::new).collect(),
        organisations: vec![Arc::new(Organisation { name: "o".to_owned(), labels: labels(&[]) })],
        ..Config::default()
    }
}

/// Output of a stage: starts with the request's key, so that mixed-up requests are detected.
fn output(stage: &str, input: &str) -> String {
    let key = input.split('|').next().unwrap_or_default();
    let digest = xxhash_rust::xxh3::xxh3_64(input.as_bytes());
    format!("{key}|{stage}|{digest:016x}")
}

fn expected(key: &str) -> String {
    STAGES.iter().fold(key.to_owned(), |input, (stage, _)| output(stage, &input))
}

impl World {
    pub fn new(seed: u64, odds: Odds) -> Self {
        let location = Location { host: "gateway".to_owned(), data_centre: "dc".to_owned() };
        let view = Arc::new(View::new(Arc::new(config()), "digest".to_owned(), location));
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            odds,
            now: Duration::ZERO,
            order: BinaryHeap::new(),
            steps: HashMap::new(),
            next_step: 0,
            gateways: Vec::new(),
            agents: Vec::new(),
            calls: Vec::new(),
            revocations: HashMap::new(),
            cut_until: HashMap::new(),
            streams: HashMap::new(),
            runs: Vec::new(),
            submitted: Vec::new(),
            view,
        };
        world.gateways = (0..GATEWAYS).map(|i| world.new_gateway(i, 0)).collect();
        world.agents = (0..AGENTS).map(|i| world.new_agent(i, 0)).collect();
        world.plan();
        world
    }

    fn new_gateway(&self, index: usize, epoch: u64) -> Node<GatewayCore> {
        let mut core = GatewayCore::new(gateway::Setup {
            host: format!("gateway-{index}").into(),
            incarnation: Incarnation(10_000 + index as u64 * 1_000 + epoch),
            in_flight: 100,
            records: 100,
            result_bytes: 1 << 16,
            seed: epoch * 10 + index as u64,
        });
        core.handle(gateway::Event::Configure { view: self.view.clone() }, self.now);
        Node { core, epoch, frozen_until: Duration::ZERO }
    }

    fn new_agent(&self, index: usize, epoch: u64) -> Node<AgentCore> {
        let incarnation = Incarnation(1 + index as u64 * 1_000 + epoch);
        let bounds = agent::Bounds { queue: 16, ..agent::Bounds::default() };
        let mut core = AgentCore::new(incarnation, &format!("endpoint-{index}"), bounds);
        core.handle(serving(index, false), self.now);
        Node { core, epoch, frozen_until: Duration::ZERO }
    }

    fn plan(&mut self) {
        for i in 0..REQUESTS {
            let at = self.millis(0, 1_500);
            let may_repeat = self.rng.random_bool(0.5);
            let key = format!("k{i}");
            let submission = Submission {
                pipeline: "p".to_owned(),
                organisation: "o".to_owned(),
                labels: labels(&[]),
                input: Bytes::from(key.clone()),
                deadline: None,
                may_repeat,
                stream: self.rng.random_bool(0.3),
                claim: None,
            };
            let stages = STAGES.iter().map(|(s, repeat)| ((*s).to_owned(), *repeat)).collect();
            let expected = expected(&key);
            let request = history::Request { key, may_repeat, stages, expected, seen: Vec::new() };
            let gateway = self.rng.random_range(0..GATEWAYS);
            let epoch = 0;
            self.submitted.push(Submitted {
                gateway,
                epoch,
                at,
                submission,
                request,
                answered_at: None,
                frozen_until: Duration::ZERO,
            });
            self.at(at, Step::Submit(i));
        }
        for _ in 0..self.odds.faults {
            let at = self.millis(0, 3_000);
            let fault = self.random_fault();
            self.at(at, Step::Fault(fault));
        }
    }

    fn random_fault(&mut self) -> Fault {
        let agent = self.rng.random_range(0..AGENTS);
        let gateway = self.rng.random_range(0..GATEWAYS);
        let time = self.millis(10, 4_000);
        match self.rng.random_range(0..6) {
            0 => Fault::KillAgent(agent),
            1 => Fault::KillGateway(gateway),
            2 => Fault::FreezeAgent(agent, time),
            3 => Fault::FreezeGateway(gateway, time),
            4 => Fault::Leaving(agent, self.rng.random_bool(0.5)),
            _ => Fault::CutLink(gateway, agent, time),
        }
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from * 1_000..=to * 1_000))
    }

    fn happens(&mut self, thousandths: u32) -> bool {
        self.rng.random_ratio(thousandths.min(1_000), 1_000)
    }

    fn at(&mut self, at: Timestamp, step: Step) {
        self.next_step += 1;
        self.order.push(Reverse((at, self.next_step)));
        self.steps.insert(self.next_step, step);
    }

    /// Schedules a step after a network delay, which is seldom long; messages may overtake each
    /// other.
    fn send_later(&mut self, step: Step) {
        let delay = if self.happens(20) { self.millis(50, 800) } else { self.millis(0, 3) };
        self.at(self.now + delay, step);
    }

    /// Runs the schedule to its end and returns every violated guarantee.
    pub fn run(&mut self) -> Vec<String> {
        while let Some(Reverse((at, id))) = self.order.pop() {
            if at > END {
                break;
            }
            self.now = at;
            if let Some(step) = self.steps.remove(&id) {
                self.take(step);
            }
        }
        self.breaches()
    }

    /// Number of steps scheduled so far.
    pub fn steps_taken(&self) -> u64 {
        self.next_step
    }

    /// Number of complete final answers.
    pub fn whole(&self) -> usize {
        let whole = |a: &&Submitted| matches!(a.request.seen.first(), Some(Seen::Whole(_)));
        self.submitted.iter().filter(whole).count()
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Submit(i) => {
                let index = self.submitted[i].gateway;
                let epoch = self.gateways[index].epoch;
                self.submitted[i].epoch = epoch;
                let submission = self.submitted[i].submission.clone();
                let event = gateway::Event::Submit { caller: i as u64, submission };
                self.deliver_to_gateway(index, epoch, event);
            }
            Step::Gateway { index, epoch, event } => self.deliver_to_gateway(index, epoch, event),
            Step::Agent { index, message } => self.deliver_to_agent(index, message),
            Step::Fault(fault) => self.inject_fault(fault),
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillAgent(i) => {
                self.agents[i] = self.new_agent(i, self.agents[i].epoch + 1);
                self.break_calls(|call| call.agent == i);
            }
            Fault::KillGateway(i) => {
                self.gateways[i] = self.new_gateway(i, self.gateways[i].epoch + 1);
                self.break_calls(|call| call.gateway == i);
            }
            Fault::FreezeAgent(i, time) => freeze(&mut self.agents[i], self.now + time),
            Fault::FreezeGateway(i, time) => freeze(&mut self.gateways[i], self.now + time),
            Fault::Leaving(i, leaving) => self.feed_agent(i, serving(i, leaving)),
            Fault::CutLink(gateway, agent, time) => {
                self.cut_until.insert((gateway, agent), self.now + time);
                self.break_calls(|call| call.gateway == gateway && call.agent == agent);
            }
        }
    }

    fn break_calls(&mut self, which: impl Fn(&Call) -> bool) {
        for i in 0..self.calls.len() {
            if !self.calls[i].broken && which(&self.calls[i]) {
                self.break_call(i);
            }
        }
    }

    /// Both sides learn of the broken call, each after its own delay.
    fn break_call(&mut self, i: usize) {
        self.calls[i].broken = true;
        let Call { gateway, epoch, number, attempt, agent, .. } = self.calls[i].clone();
        let event = gateway::Event::CallLost { call: number, attempt };
        self.send_later(Step::Gateway { index: gateway, epoch, event });
        self.send_later(Step::Agent { index: agent, message: ToAgent::Closed(CallId(i as u64)) });
    }

    fn deliver_to_gateway(&mut self, index: usize, epoch: u64, event: gateway::Event) {
        let node = &mut self.gateways[index];
        if node.epoch != epoch {
            return;
        }
        if self.now < node.frozen_until {
            let at = node.frozen_until;
            return self.at(at, Step::Gateway { index, epoch, event });
        }
        if let gateway::Event::Submit { caller, .. } = event {
            // A frozen gateway accepts its callers' requests when it resumes.
            self.submitted[caller as usize].at = self.now;
        }
        for action in self.gateways[index].core.handle(event, self.now) {
            self.act_gateway(index, epoch, action);
        }
        if let Some(at) = self.gateways[index].core.next_wakeup() {
            let at = at.max(self.now + Duration::from_micros(1));
            self.at(at, Step::Gateway { index, epoch, event: gateway::Event::Tick });
        }
    }

    fn deliver_to_agent(&mut self, index: usize, message: ToAgent) {
        let frozen_until = self.agents[index].frozen_until;
        if self.now < frozen_until {
            return self.at(frozen_until, Step::Agent { index, message });
        }
        let event = match message {
            ToAgent::Run(call, run) => agent::Event::Run { call, run },
            ToAgent::Closed(call) => agent::Event::CallClosed { call },
            ToAgent::Revoke { gateway, epoch, attempt, agent, cancel } => {
                let call = CallId(1 << 40 | self.next_step);
                self.revocations.insert(call, Revoking { gateway, epoch, attempt, cancel });
                agent::Event::Revoke { call, attempt, agent }
            }
            ToAgent::Endpoint { epoch, attempt, event } => {
                if epoch != self.agents[index].epoch {
                    return;
                }
                agent::Event::Endpoint { attempt, event }
            }
            ToAgent::Tick => agent::Event::Tick,
        };
        self.feed_agent(index, event);
    }

    fn feed_agent(&mut self, index: usize, event: agent::Event) {
        for action in self.agents[index].core.handle(event, self.now) {
            self.act_agent(index, action);
        }
        if let Some(at) = self.agents[index].core.next_wakeup() {
            let at = at.max(self.now + Duration::from_micros(1));
            self.at(at, Step::Agent { index, message: ToAgent::Tick });
        }
    }

    fn answered(&mut self, caller: usize, answer: Answer) {
        let seen = match answer {
            Answer::Complete { result, .. } => {
                Seen::Whole(String::from_utf8_lossy(&result).into_owned())
            }
            Answer::Refused { refusal, .. } => Seen::Refused {
                ran: match refusal.ran {
                    Ran::NotRun => ReportedRun::NotRun,
                    Ran::RanInPart => ReportedRun::InPart,
                    Ran::Unknown => ReportedRun::Unknown,
                },
                stages_run: refusal.stages_run,
            },
        };
        let submitted = &mut self.submitted[caller];
        submitted.request.seen.push(seen);
        submitted.answered_at.get_or_insert(self.now);
        submitted.frozen_until = self.gateways[submitted.gateway].frozen_until;
    }

    fn breaches(&self) -> Vec<String> {
        let requests: Vec<_> = self.submitted.iter().map(|a| a.request.clone()).collect();
        let broken = history::check(&requests, &self.runs);
        let mut found: Vec<_> = broken.iter().map(Breach::to_string).collect();
        for submitted in &self.submitted {
            let key = &submitted.request.key;
            let gateway = &self.gateways[submitted.gateway];
            let answers = submitted.request.seen.len();
            if answers > 1 {
                found.push(format!("{key}: {answers} final answers"));
            }
            if answers == 0 && gateway.epoch == submitted.epoch {
                found.push(format!("{key}: no final answer"));
            }
            let latest = (submitted.at + DEADLINE).max(submitted.frozen_until);
            if submitted.answered_at.is_some_and(|at| at > latest + Duration::from_millis(1)) {
                found.push(format!("{key}: answered late, at {:?}", submitted.answered_at));
            }
        }
        for (i, node) in self.gateways.iter().enumerate() {
            if !node.core.demand().is_empty() {
                found.push(format!("gateway {i}: demand of no request"));
            }
            if node.core.in_flight() > 0 {
                found.push(format!("gateway {i}: {} still in flight", node.core.in_flight()));
            }
        }
        found
    }
}

fn freeze<C>(node: &mut Node<C>, until: Timestamp) {
    node.frozen_until = node.frozen_until.max(until);
}

fn serving(index: usize, leaving: bool) -> agent::Event {
    agent::Event::Configure { concurrency: 2, leaving, is_engine: index >= FIRST_ENGINE }
}

fn agent_of(endpoint: &Endpoint) -> usize {
    (endpoint.agent.port() - FIRST_PORT) as usize
}
