//! Simulates several gateways in virtual time and checks every guarantee at every step.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::statements::Statements;
use super::stops::Stops;
use super::{address, ms, route};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stackmast::actor::Core;
use stackmast::direct::core::{GatewayCore, Setup};
use stackmast::direct::event::{Action, Event, IncomingRequest};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::poison::fingerprint::Fingerprint;
use stackmast::direct::published::model::{Repeat, Route};
use stackmast::direct::repeats::RepeatBudget;
use stackmast::direct::requests::deferred::SETTLING;

pub const GATEWAYS: u16 = 3;
const CALLERS: u64 = 24;
/// Time within which callers arrive and faults occur.
pub const BUSY: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(20);

/// Something that happens at a time.
pub enum SimEvent {
    Event(usize, u64, Box<Event>),
    Arrival(usize, u64),
    Kill(usize),
    Restart(usize),
    Drain(usize),
    /// SIGTERM; the process ends some time after it.
    Stop(usize),
    CheckStop(usize, u64),
    Cut(usize, bool),
    Publish,
    /// The publisher becomes unavailable for this gateway.
    PublisherUnavailable(usize),
    /// The publisher is available again, and most entries have expired.
    ExpireEntries,
    Wake(usize, u64),
}

/// One request as its caller sees it.
pub struct Caller {
    pub gateway: usize,
    pub incarnation: u64,
    pub route: usize,
    pub id: String,
    pub disconnected: bool,
    pub answers: usize,
    pub refused_not_run: bool,
    pub arrived: Duration,
    pub deadline: Duration,
}

/// Gateways, callers and endpoints in virtual time.
pub struct World {
    pub rng: StdRng,
    pub now: Duration,
    pub queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub sim_events: HashMap<u64, SimEvent>,
    pub next: u64,
    pub gateways: Vec<Option<GatewayCore>>,
    pub incarnations: Vec<u64>,
    pub cut: HashSet<usize>,
    /// The next planned wakeup of each gateway, and the gateway's incarnation.
    pub wakes: HashMap<usize, (Duration, u64)>,
    /// When the last message between two gateways arrives; a connection keeps the order of its
    /// messages.
    pub last_message: HashMap<(usize, usize), Duration>,
    pub routes: Vec<Route>,
    pub revision: u64,
    pub version: u64,
    pub versions_seen: Vec<u64>,
    pub leaving: BTreeSet<String>,
    /// The revision from which entries that were written again are listed.
    pub listed_at: u64,
    pub callers: BTreeMap<u64, Caller>,
    /// Number of runs by request id.
    pub runs: HashMap<String, usize>,
    /// Request, stage and piece for which each result was produced.
    pub results: HashMap<String, (String, usize, usize)>,
    /// Results that were produced and not freed.
    pub kept: HashMap<String, Duration>,
    pub fault_rate: f64,
    /// Longest duration of the streams of each route.
    pub lengths: Vec<Duration>,
    /// Timeout of a request.
    pub timeout: Duration,
    pub end: Duration,
    pub stops: Stops,
    /// Status headers that endpoints send; `None` if they send none.
    pub statements: Option<Statements>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self::empty(seed);
        world.open();
        world.plan();
        world
    }

    /// Creates a world without gateways and events.
    pub(super) fn empty(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let graph: &[(&str, &[usize], u64)] =
            &[("first", &[], 10), ("second", &[0], 10), ("third", &[1], 10), ("first", &[], 50)];
        let mut staged = route("staged", Repeat::AtMostOnce, graph);
        staged.streams = true;
        let mut again = route("again", Repeat::AtMostOnce, &[]);
        (again.streams, again.resumable) = (true, true);
        let routes = vec![
            route("once", Repeat::AtMostOnce, &[]),
            route("twice", Repeat::Idempotent, &[]),
            staged,
            again,
        ];
        let fault_rate = rng.random_range(0.0..0.25);
        let lengths = vec![ms(60); routes.len()];
        Self {
            rng,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            sim_events: HashMap::new(),
            next: 0,
            gateways: Vec::new(),
            incarnations: Vec::new(),
            cut: HashSet::new(),
            wakes: HashMap::new(),
            last_message: HashMap::new(),
            routes,
            revision: 10,
            version: 1,
            versions_seen: vec![0; usize::from(GATEWAYS)],
            leaving: BTreeSet::new(),
            listed_at: 10,
            callers: BTreeMap::new(),
            runs: HashMap::new(),
            results: HashMap::new(),
            kept: HashMap::new(),
            fault_rate,
            lengths,
            timeout: Duration::from_secs(5),
            end: END,
            stops: Stops::default(),
            statements: None,
        }
    }

    /// Starts the gateways.
    pub(super) fn open(&mut self) {
        for _ in 0..GATEWAYS {
            self.gateways.push(None);
            self.incarnations.push(0);
        }
        for number in 0..usize::from(GATEWAYS) {
            self.start(number);
        }
    }

    fn plan(&mut self) {
        for number in 0..CALLERS {
            let at = self.time_in(ms(300), BUSY);
            let gateway = self.rng.random_range(0..usize::from(GATEWAYS));
            self.at(at, SimEvent::Arrival(gateway, number + 1));
        }
        self.plan_faults();
    }

    pub(super) fn plan_faults(&mut self) {
        for _ in 0..self.rng.random_range(0..4) {
            let gateway = self.rng.random_range(0..usize::from(GATEWAYS));
            let at = self.time_in(ms(300), BUSY);
            let back = at + self.time_in(ms(50), ms(1_500));
            let (bad, good) = match self.rng.random_range(0..3) {
                0 => (SimEvent::Kill(gateway), SimEvent::Restart(gateway)),
                1 => (SimEvent::Cut(gateway, true), SimEvent::Cut(gateway, false)),
                _ => (SimEvent::Drain(gateway), SimEvent::Kill(gateway)),
            };
            let restarts = matches!(good, SimEvent::Kill(_));
            self.at(at, bad);
            self.at(back + if restarts { ms(4_000) } else { ms(0) }, good);
            if restarts {
                self.at(back + ms(4_200), SimEvent::Restart(gateway));
            }
        }
        for _ in 0..self.rng.random_range(0..4) {
            let at = self.time_in(ms(300), BUSY);
            self.at(at, SimEvent::Publish);
        }
        if self.chance(0.3) {
            let at = self.time_in(ms(300), ms(1_500));
            for number in 0..usize::from(GATEWAYS) {
                self.at(at, SimEvent::PublisherUnavailable(number));
            }
            let back = at + self.time_in(ms(1_500), ms(3_000));
            self.at(back, SimEvent::ExpireEntries);
            let listed = back + self.time_in(ms(100), ms(2_500));
            self.at(listed, SimEvent::Publish);
        }
    }

    pub fn time_in(&mut self, from: Duration, to: Duration) -> Duration {
        Duration::from_micros(self.rng.random_range(from.as_micros() as u64..to.as_micros() as u64))
    }

    pub fn at(&mut self, at: Duration, sim_event: SimEvent) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.sim_events.insert(self.next, sim_event);
    }

    pub fn chance(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    pub fn has_fault(&mut self) -> bool {
        self.now < BUSY && self.chance(self.fault_rate)
    }

    fn start(&mut self, number: usize) {
        if self.gateways[number].is_some() {
            return;
        }
        self.incarnations[number] += 1;
        let seeds = (0..GATEWAYS).map(|n| address(n + 1)).collect();
        self.gateways[number] = Some(GatewayCore::new(Setup {
            witness_port: None,
            address: address(number as u16 + 1),
            incarnation: self.incarnations[number],
            capacity: 1_000,
            data_centre: format!("hall-{}", number % 2).into(),
            region: "east".into(),
            is_first_start: false,
            seeds,
            repeats: RepeatBudget { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) },
            grace: Duration::from_secs(8),
            settling: SETTLING,
            seed: self.rng.random(),
        }));
        self.versions_seen[number] = 0;
        // Some gateways start while the publisher is unavailable and must learn from their peers.
        if self.incarnations[number] == 1 || self.chance(0.7) {
            self.publish_to(number);
        }
        self.handle(number, Event::Tick);
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = self.now.max(at);
            let sim_event = self.sim_events.remove(&id).expect("what was planned");
            self.apply(sim_event);
        }
        self.check_end();
    }

    fn apply(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Event(number, incarnation, event)
                if self.incarnations[number] == incarnation =>
            {
                self.handle(number, *event);
            }
            SimEvent::Wake(number, incarnation) if self.incarnations[number] == incarnation => {
                self.handle(number, Event::Tick);
            }
            SimEvent::Event(..) | SimEvent::Wake(..) => {}
            SimEvent::Arrival(number, caller) => self.arrive(number, caller),
            SimEvent::Kill(number) => self.kill(number),
            SimEvent::Restart(number) => self.start(number),
            SimEvent::Drain(number) => {
                let at = self.now;
                self.handle(number, Event::Drain { at });
            }
            SimEvent::Stop(number) => self.stop(number),
            SimEvent::CheckStop(number, incarnation) => self.check_stop(number, incarnation),
            SimEvent::Cut(number, true) => {
                self.cut.insert(number);
            }
            SimEvent::Cut(number, false) => {
                self.cut.remove(&number);
            }
            SimEvent::Publish => self.publish(),
            SimEvent::PublisherUnavailable(number) => {
                self.handle(number, Event::PublisherStatus { answers: false })
            }
            SimEvent::ExpireEntries => self.expire_entries(),
        }
    }

    pub(super) fn kill(&mut self, number: usize) {
        if self.gateways[number].take().is_none() {
            return;
        }
        let incarnation = self.incarnations[number];
        for caller in self.callers.values_mut().filter(|c| c.gateway == number) {
            caller.disconnected |= caller.incarnation == incarnation;
        }
        let lost = address(number as u16 + 1);
        for other in (0..usize::from(GATEWAYS)).filter(|o| *o != number) {
            let event = Event::PeerInboundFailed { address: lost, incarnation };
            let delay = self.time_in(ms(1), ms(5));
            self.at(
                self.now + delay,
                SimEvent::Event(other, self.incarnations[other], Box::new(event)),
            );
        }
    }

    fn arrive(&mut self, number: usize, caller: u64) {
        if self.gateways[number].is_none() {
            return;
        }
        let route = self.rng.random_range(0..self.routes.len());
        let spec = &self.routes[route];
        let id = format!("request-{caller}");
        let pieces = spec.stages.iter().map(|_| self.rng.random_range(1..4)).collect();
        let incoming = IncomingRequest {
            id: id.as_str().into(),
            timeout: Some(self.timeout),
            generation: spec.streams.then(|| super::fakes::generation(caller)),
            content: Fingerprint::of_content("POST", &id, b""),
            ..super::gateway::incoming(&spec.name, pieces)
        };
        self.callers.insert(
            caller,
            Caller {
                gateway: number,
                incarnation: self.incarnations[number],
                route,
                id,
                disconnected: false,
                answers: 0,
                refused_not_run: false,
                arrived: self.now,
                deadline: self.now + self.timeout,
            },
        );
        self.handle(number, Event::Submit { caller, incoming });
        if self.fault_rate > 0.0 && self.chance(0.1) {
            let at = self.now + self.time_in(ms(10), ms(900));
            let event = Event::CallerDisconnected { caller };
            self.callers.get_mut(&caller).expect("the caller").disconnected = true;
            self.at(at, SimEvent::Event(number, self.incarnations[number], Box::new(event)));
        }
    }

    pub(super) fn handle(&mut self, number: usize, event: Event) {
        let now = self.now;
        if self.gateways[number].is_some() {
            self.record_status(number, &event);
        }
        let Some(core) = self.gateways[number].as_mut() else {
            return;
        };
        let actions = core.handle(event, now);
        let version = core.table().deployment.version;
        let wake = core.next_wakeup().map_or(now + ms(1_000), |at| at.max(now + ms(1)));
        assert!(version >= self.versions_seen[number], "the configuration version decreased");
        self.versions_seen[number] = version;
        let incarnation = self.incarnations[number];
        let planned = self.wakes.get(&number).filter(|(at, l)| *at > now && *l == incarnation);
        if planned.is_none_or(|(at, _)| wake < *at) {
            self.wakes.insert(number, (wake, incarnation));
            self.at(wake, SimEvent::Wake(number, incarnation));
        }
        for action in actions {
            self.act(number, action);
        }
    }

    fn act(&mut self, number: usize, action: Action) {
        self.check_statements(number, &action);
        match action {
            Action::Call { caller, attempt, params } => self.call(number, caller, attempt, &params),
            Action::CallBatch { call, endpoint, pieces, .. } => {
                self.batch(number, call, &endpoint, &pieces);
            }
            Action::FreeResults { handles, .. } => {
                for handle in handles {
                    self.kept.remove(&*handle);
                }
            }
            Action::RequestReport(endpoint) => self.report(number, &endpoint),
            Action::Send { to, message } => self.send(number, to, message),
            Action::Broadcast { to, message } => {
                to.into_iter().for_each(|to| self.send(number, to, message.clone()));
            }
            Action::Deliver { caller, .. } => {
                let is_stream = self.routes[self.callers[&caller].route].streams;
                if !is_stream {
                    self.answer(caller, "answered");
                }
            }
            Action::EndStream { caller } => self.answer(caller, "streamed"),
            Action::AbortStream { caller } if !self.callers[&caller].disconnected => {
                self.answer(caller, "broken off");
            }
            Action::Refuse { caller, refusal } => {
                self.answer(caller, "refused");
                let seen = self.callers.get_mut(&caller).expect("a caller");
                seen.refused_not_run = refusal.not_run;
                let ran = self.runs.get(&seen.id).copied().unwrap_or(0);
                assert!(!refusal.not_run || ran == 0, "{}: \"not run\" after a run", seen.id);
            }
            _ => {}
        }
    }

    fn answer(&mut self, caller: u64, how: &str) {
        let seen = self.callers.get_mut(&caller).expect("a caller");
        seen.answers += 1;
        assert_eq!(seen.answers, 1, "{}: a second final answer ({how})", seen.id);
        let late = self.now.saturating_sub(seen.deadline);
        assert!(late < ms(50), "{}: {how} {late:?} after its deadline", seen.id);
        self.answered_in_stop(caller, how);
    }

    fn send(&mut self, number: usize, to: SocketAddr, message: PeerMessage) {
        let other = usize::from(to.port() - 1);
        let is_cut = self.cut.contains(&number) || self.cut.contains(&other);
        if self.gateways[other].is_none() {
            let event = Event::PeerUnreachable { address: to };
            return self.at(
                self.now + ms(1),
                SimEvent::Event(number, self.incarnations[number], Box::new(event)),
            );
        }
        if is_cut || self.has_fault() && self.chance(0.1) {
            return;
        }
        let event = Event::PeerMessage { from: address(number as u16 + 1), message };
        let delay = self.time_in(ms(1), ms(4));
        let before = self.last_message.get(&(number, other)).copied().unwrap_or_default();
        let at = (self.now + delay).max(before);
        self.last_message.insert((number, other), at);
        self.at(at, SimEvent::Event(other, self.incarnations[other], Box::new(event)));
    }

    fn check_end(&self) {
        for caller in self.callers.values().filter(|c| !c.disconnected) {
            assert_eq!(caller.answers, 1, "{}: no final answer", caller.id);
        }
        for core in self.gateways.iter().flatten() {
            assert_eq!(core.in_flight(), 0, "requests are still in flight");
        }
        let killed = self.incarnations.iter().any(|l| *l > 1);
        if !killed && self.fault_rate < 0.001 {
            assert!(self.kept.is_empty(), "results that were not freed");
        }
    }
}
