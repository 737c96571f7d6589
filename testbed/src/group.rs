//! A group of gateway cores in virtual time: no sockets, no clock, one seed.
//!
//! The cores are the real ones. The network between them, their hosts and the publisher's store are
//! modelled: a message takes a delay that depends on the distance, an event takes processor time
//! that depends on the host, and a call to the store takes a fixed time. The model counts messages,
//! bytes and calls, and records when each gateway learns of a change or of a failure.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stackmast::actor::Core;
use stackmast::direct::core::{GatewayCore, Setup};
use stackmast::direct::event::{Action, Event};
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::repeats::RepeatBudget;
use stackmast::direct::store_reading::StoreUse;
use stackmast::message::Timestamp;

pub use crate::group_counts::{Counts, Traffic};
use crate::group_network::REFUSED_AFTER;
use crate::group_store::{Call, Store, Subject};

/// First port of the gateways' addresses.
const FIRST_PORT: u16 = 2_000;
/// Number of seeds that each gateway knows.
const SEEDS: usize = 3;
/// Processor time of an event on a whole core.
const EVENT_COST: Duration = Duration::from_micros(30);
/// Processor time shares of the hosts, in thousandths of a core.
const CAPACITIES: [u32; 5] = [90, 190, 250, 400, 500];
/// Latest time at which a process starts.
const START_WITHIN: Duration = Duration::from_millis(300);

/// Shape of a group.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of data centres in each region.
    pub data_centres: usize,
    /// Longest stall of a host. Each host stalls for a random time about once in two seconds.
    pub longest_stall: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Shape {
    /// Six data centres in one region, hosts that don't stall.
    pub const fn new(gateways: usize, seed: u64) -> Self {
        Self { gateways, regions: 1, data_centres: 6, longest_stall: Duration::ZERO, seed }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Power {
    Running,
    /// The process has ended; its host refuses connections.
    Ended,
    /// The host does not respond.
    Silent,
}

pub(crate) struct Host {
    core: Option<GatewayCore>,
    pub(crate) power: Power,
    pub(crate) life: u64,
    capacity: u32,
    pub(crate) data_centre: usize,
    pub(crate) region: usize,
    busy_until: Timestamp,
    wakes_at: Option<Timestamp>,
    /// Version of the configuration in force, and since when.
    configured: Option<(u64, Timestamp)>,
    ready_at: Option<Timestamp>,
}

pub(crate) enum Step {
    Start,
    Event(Box<Event>),
    Wake,
    Stall,
    /// The next call of a follower of the store.
    Call(Subject),
    /// The end of a call.
    Answer(Subject, u64),
}

struct Scheduled {
    host: usize,
    life: u64,
    /// When the step was due; it may have waited for the processor since.
    due: Timestamp,
    step: Step,
}

/// A group of gateways and their store.
pub struct Group {
    pub(crate) now: Timestamp,
    pub(crate) hosts: Vec<Host>,
    order: BinaryHeap<Reverse<(Timestamp, u64)>>,
    steps: HashMap<u64, Scheduled>,
    next_step: u64,
    pub(crate) links: BTreeSet<(usize, usize)>,
    rng: StdRng,
    longest_stall: Duration,
    store: Store,
    pub(crate) counts: Counts,
    /// Index of the first host on the other side of a network partition.
    pub(crate) partition: Option<usize>,
    /// When each gateway last considered each other one down, by pair of indexes.
    down: BTreeMap<(usize, usize), Timestamp>,
}

impl Group {
    /// Creates a group whose processes start at time zero.
    pub fn new(shape: &Shape) -> Self {
        let mut rng = StdRng::seed_from_u64(shape.seed);
        let data_centres = shape.regions * shape.data_centres;
        let hosts = (0..shape.gateways).map(|index| Host {
            core: None,
            power: Power::Ended,
            life: 0,
            capacity: CAPACITIES[rng.random_range(0..CAPACITIES.len())],
            data_centre: index % data_centres,
            region: index % data_centres / shape.data_centres,
            busy_until: Timestamp::ZERO,
            wakes_at: None,
            configured: None,
            ready_at: None,
        });
        let hosts = hosts.collect();
        let mut group = Self {
            now: Timestamp::ZERO,
            hosts,
            order: BinaryHeap::new(),
            steps: HashMap::new(),
            next_step: 0,
            links: BTreeSet::new(),
            rng,
            longest_stall: shape.longest_stall,
            store: Store::new(shape.gateways),
            counts: Counts::default(),
            partition: None,
            down: BTreeMap::new(),
        };
        for host in 0..shape.gateways {
            group.start_within(host, START_WITHIN);
        }
        group
    }

    /// Starts the process of a host within a time.
    pub fn start_within(&mut self, host: usize, within: Duration) {
        let at = self.now + within.mul_f64(self.rng.random_range(0.0..1.0));
        self.hosts[host].life += 1;
        self.schedule(host, at, Step::Start);
    }

    /// Ends the process of a host; its connections are closed.
    pub fn kill(&mut self, host: usize) {
        self.stop(host, Power::Ended);
        let peers: Vec<(usize, usize)> =
            self.links.iter().copied().filter(|(from, to)| *from == host || *to == host).collect();
        for link in peers {
            self.links.remove(&link);
            self.report_failed_link(link, host, REFUSED_AFTER);
        }
    }

    /// Cuts a host off: nothing that is sent to it or by it arrives.
    pub fn cut(&mut self, host: usize) {
        self.hosts[host].power = Power::Silent;
        self.hosts[host].life += 1;
        self.hosts[host].core = None;
    }

    /// Publishes a new configuration; returns its version.
    pub fn publish_configuration(&mut self) -> u64 {
        let version = self.store.change_configuration();
        self.wake_watches(Subject::Configuration);
        version
    }

    /// Publishes the change of one endpoint's entry.
    pub fn publish_endpoint(&mut self) {
        self.store.change_endpoint();
        self.wake_watches(Subject::Endpoints);
    }

    /// Makes the store reject the calls of a host, or serve them again.
    pub fn set_rejected(&mut self, host: usize, is_rejected: bool) {
        self.store.set_rejected(host, is_rejected);
    }

    /// Counters since the last reset.
    pub const fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the counters and resets them.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Current virtual time.
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    /// The core of a host whose process runs.
    pub fn core(&self, host: usize) -> Option<&GatewayCore> {
        self.hosts[host].core.as_ref()
    }

    /// Hosts whose process runs.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.hosts.len()).filter(|host| self.hosts[*host].power == Power::Running)
    }

    /// Number of gateways that are ready.
    pub fn ready(&self) -> usize {
        self.hosts.iter().filter(|host| host.ready_at.is_some()).count()
    }

    /// When the last running gateway had a version of the configuration or a later one; `None` if
    /// one lacks it.
    pub fn configured_at(&self, version: u64) -> Option<Timestamp> {
        let at = |host: usize| {
            let configured = self.hosts[host].configured?;
            (configured.0 >= version).then_some(configured.1)
        };
        self.running().map(at).collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Number of pairs of running gateways of which one considers the other down.
    pub fn missed(&self) -> usize {
        let count = self.running().count();
        let up = |host| self.core(host).map_or(0, GatewayCore::members_up);
        self.running().map(|host| (count - 1).saturating_sub(up(host))).sum()
    }

    /// Indexes of the gateways that watch the store.
    pub fn readers(&self) -> Vec<usize> {
        let watches =
            |host: &usize| self.core(*host).is_some_and(|core| core.store_use() == StoreUse::Watch);
        self.running().filter(watches).collect()
    }

    /// When the last running gateway considered a host down; `None` if one does not.
    pub fn down_at(&self, host: usize) -> Option<Timestamp> {
        let at = |observer: usize| self.down.get(&(observer, host)).copied();
        self.running().map(at).collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Number of connections of a host, in both directions.
    pub fn connections(&self, host: usize) -> usize {
        self.links.iter().filter(|(from, to)| *from == host || *to == host).count()
    }

    /// Runs the model for a duration.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, number))) = self.order.peek().copied().filter(|r| r.0.0 <= end)
        {
            self.order.pop();
            self.now = at;
            if let Some(scheduled) = self.steps.remove(&number) {
                self.take_step(scheduled);
            }
        }
        self.now = end;
    }

    pub(crate) fn schedule(&mut self, host: usize, at: Timestamp, step: Step) {
        let life = self.hosts[host].life;
        self.push(at, Scheduled { host, life, due: at, step });
    }

    fn push(&mut self, at: Timestamp, scheduled: Scheduled) {
        self.next_step += 1;
        self.order.push(Reverse((at, self.next_step)));
        self.steps.insert(self.next_step, scheduled);
    }

    pub(crate) fn address(host: usize) -> SocketAddr {
        SocketAddr::from(([10, 1, 0, 1], FIRST_PORT + host as u16))
    }

    pub(crate) const fn host_of(address: SocketAddr) -> usize {
        (address.port() - FIRST_PORT) as usize
    }

    pub(crate) fn distance(&self, one: usize, other: usize) -> usize {
        let (one, other) = (&self.hosts[one], &self.hosts[other]);
        usize::from(one.data_centre != other.data_centre) + usize::from(one.region != other.region)
    }

    fn stop(&mut self, host: usize, power: Power) {
        let host = &mut self.hosts[host];
        host.power = power;
        host.life += 1;
        host.core = None;
        host.configured = None;
        host.ready_at = None;
    }

    fn take_step(&mut self, scheduled: Scheduled) {
        let Scheduled { host, life, due, step } = scheduled;
        if self.hosts[host].life != life {
            return;
        }
        let busy_until = self.hosts[host].busy_until;
        let needs_processor = matches!(step, Step::Event(_) | Step::Wake);
        if needs_processor && busy_until > self.now {
            self.push(busy_until, Scheduled { host, life, due, step });
            return;
        }
        match step {
            Step::Start => self.start(host),
            Step::Event(event) => self.handle(host, *event, due),
            Step::Wake if self.hosts[host].wakes_at == Some(due) => {
                self.handle(host, Event::Tick, due);
            }
            Step::Wake => {}
            Step::Stall => self.stall(host),
            Step::Call(subject) => self.call_store(host, subject),
            Step::Answer(subject, call) => self.end_call(host, subject, call),
        }
    }

    fn start(&mut self, host: usize) {
        let seeds = (0..SEEDS.min(self.hosts.len())).map(Self::address).collect();
        let life = self.hosts[host].life;
        let (data_centre, region) = (self.hosts[host].data_centre, self.hosts[host].region);
        let core = GatewayCore::new(Setup {
            witness_port: None,
            address: Self::address(host),
            incarnation: life,
            capacity: self.hosts[host].capacity,
            data_centre: format!("hall-{data_centre}").into(),
            region: format!("region-{region}").into(),
            is_first_start: life == 1,
            seeds,
            repeats: RepeatBudget { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) },
            grace: Duration::from_secs(8),
            settling: Duration::from_millis(150),
            seed: self.rng.random(),
        });
        let state = &mut self.hosts[host];
        state.core = Some(core);
        state.power = Power::Running;
        state.busy_until = self.now;
        self.down.retain(|(observer, _), _| *observer != host);
        self.schedule(host, self.now, Step::Event(Box::new(Event::Tick)));
        for subject in [Subject::Configuration, Subject::Endpoints] {
            self.schedule(host, self.now, Step::Call(subject));
        }
        if !self.longest_stall.is_zero() {
            self.schedule_stall(host);
        }
    }

    fn schedule_stall(&mut self, host: usize) {
        let at = self.now + Duration::from_secs(4).mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(host, at, Step::Stall);
    }

    fn stall(&mut self, host: usize) {
        let stall = self.longest_stall.mul_f64(self.rng.random_range(0.0..1.0));
        let busy_until = &mut self.hosts[host].busy_until;
        *busy_until = (*busy_until).max(self.now) + stall;
        self.schedule_stall(host);
    }

    fn handle(&mut self, host: usize, event: Event, due: Timestamp) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let Some(core) = &mut state.core else {
            return;
        };
        let cost = EVENT_COST.mul_f64(1_000.0 / f64::from(state.capacity));
        state.busy_until = now + cost;
        core.on_queue_delay(now.saturating_sub(due), now);
        let actions = core.handle(event, now);
        self.counts.events += 1;
        for action in actions {
            self.act(host, action);
        }
        let wakes_at = self.hosts[host].core.as_ref().and_then(Core::next_wakeup);
        let wakes_at = wakes_at.map(|at| at.max(now + Duration::from_micros(1)));
        if self.hosts[host].wakes_at != wakes_at {
            self.hosts[host].wakes_at = wakes_at;
            if let Some(at) = wakes_at {
                self.schedule(host, at, Step::Wake);
            }
        }
    }

    fn act(&mut self, host: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(host, &[to], message),
            Action::Broadcast { to, message } => self.send(host, &to, message),
            Action::Disconnect { from } => {
                self.links.remove(&(host, Self::host_of(from)));
            }
            Action::SetReady(true) => self.hosts[host].ready_at = Some(self.now),
            Action::SetReady(false) => self.hosts[host].ready_at = None,
            Action::Log(LogEvent::Configured { version, .. }) => {
                self.hosts[host].configured = Some((version, self.now));
            }
            Action::Log(LogEvent::Peer { address, alive, .. }) => {
                self.record_peer(host, Self::host_of(address), alive);
            }
            _ => {}
        }
    }

    fn record_peer(&mut self, observer: usize, peer: usize, is_up: bool) {
        if is_up {
            self.down.remove(&(observer, peer));
            return;
        }
        self.down.insert((observer, peer), self.now);
        if self.hosts[peer].power == Power::Running && self.partition.is_none() {
            self.counts.false_failures += 1;
        }
    }

    /// Makes the next call of a follower to the store.
    fn call_store(&mut self, host: usize, subject: Subject) {
        let Some(core) = &self.hosts[host].core else {
            return;
        };
        let call = self.store.next_call(host, self.hosts[host].life, subject, core, &mut self.rng);
        match call {
            Call::Made { number, ends_after } => {
                self.counts.calls += 1;
                self.schedule(host, self.now + ends_after, Step::Answer(subject, number));
            }
            Call::NotDue { again_after } => {
                self.schedule(host, self.now + again_after, Step::Call(subject));
            }
        }
    }

    fn end_call(&mut self, host: usize, subject: Subject, call: u64) {
        let Some(core) = &self.hosts[host].core else {
            return;
        };
        let Some(answer) = self.store.answer(host, subject, call, core, &mut self.rng) else {
            return;
        };
        for event in answer.events {
            self.schedule(host, self.now, Step::Event(Box::new(event)));
        }
        self.schedule(host, self.now + answer.pause, Step::Call(subject));
    }

    fn wake_watches(&mut self, subject: Subject) {
        for (host, call) in self.store.waiting(subject) {
            self.schedule(host, self.now + Store::ANSWER_TIME, Step::Answer(subject, call));
        }
    }
}
