//! Simulates a fleet of any size in virtual time with evacuation orders and endpoint restarts,
//! under steady load. It checks the load of cold endpoints, and from when on an evacuated data
//! centre gets no requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use stackmast::direct::answers::CallFailure;
use stackmast::direct::core::Setup;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::evacuations::EvacuationChange;
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{ColdStart, Deployment, Endpoint, Name, Repeat};

use super::gateway::{good, incoming, setup};
use super::timeline::{Gateway, Timeline, peer_events};
use super::{deployment, endpoint, ms, position, route};

/// Requests per second that a cold endpoint handles.
pub const COLD_RATE: f64 = 10.0;
/// A cold endpoint fails when it receives more requests than this within one second.
pub const MAX_PER_SECOND: usize = 20;
/// Time from when an order is written until it is in force.
pub const IN_FORCE: Duration = Duration::from_secs(5);
/// Time until a gateway that was cut off or started is in touch with the others again.
const IN_TOUCH: Duration = Duration::from_secs(4);
const COLD: Duration = Duration::from_secs(3);
const ENDPOINTS: u16 = 8;
const DATA_CENTRES: u16 = 4;
/// Requests per second, over all gateways.
const PRESSURE: f64 = 300.0;
const END: Duration = Duration::from_secs(14);

enum SimEvent {
    Event(usize, u64, Box<Event>),
    Wake(usize, u64),
    Arrival,
    Order(Name, bool),
    /// Endpoints go down, all at once.
    Down(Vec<u16>),
    /// Endpoints are up again, cold, in a new incarnation.
    Up(Vec<u16>),
    Kill(usize),
    Start(usize),
    Cut(usize, bool),
    Away(usize, bool),
}

/// Results of a schedule.
#[derive(Debug, Default, Clone, Copy)]
pub struct Stats {
    pub calls: usize,
    pub cold_calls: usize,
    pub refused: usize,
    pub max_per_second: usize,
    pub late_calls: usize,
}

/// Gateways and endpoints of one schedule.
pub struct Fleet {
    time: Timeline<SimEvent>,
    gateways: Vec<Gateway>,
    endpoints: BTreeMap<Name, Arc<Endpoint>>,
    down: BTreeSet<Name>,
    /// When each endpoint is warm again.
    cold_until: HashMap<Name, Duration>,
    cold_calls: HashMap<Name, Vec<Duration>>,
    revision: u64,
    entered: BTreeMap<Name, Revised>,
    orders: BTreeMap<Name, Order>,
    callers: u64,
    loss: f64,
    slowest_news: Duration,
    pub stats: Stats,
}

/// The revision of an order, and since when it is in force.
type Order = (u64, Option<Duration>);

fn cold_deployment() -> Deployment {
    let mut deployment = deployment(1, vec![route("r", Repeat::Idempotent, &[])]);
    for pool in deployment.pools.iter_mut().filter(|p| &*p.name == "engine") {
        pool.cold = Some(ColdStart { per_second: COLD_RATE, duration: COLD });
        pool.max_connections = 10_000;
    }
    deployment
}

fn engine(number: u16) -> Endpoint {
    let data_centre = format!("hall-{}", number % DATA_CENTRES).into();
    Endpoint { data_centre, slots: 64, incarnation: 1, ..(*endpoint("engine", number)).clone() }
}

impl Fleet {
    pub fn new(seed: u64, gateways: usize) -> Self {
        let mut time = Timeline::new(seed);
        let loss = time.rng.random_range(0.0..0.2);
        let slowest_news = ms(time.rng.random_range(20..1_000));
        let mut fleet = Self {
            time,
            gateways: Vec::new(),
            endpoints: BTreeMap::new(),
            down: BTreeSet::new(),
            cold_until: HashMap::new(),
            cold_calls: HashMap::new(),
            revision: 10,
            entered: BTreeMap::new(),
            orders: BTreeMap::new(),
            callers: 0,
            loss,
            slowest_news,
            stats: Stats::default(),
        };
        for number in 0..ENDPOINTS {
            fleet.enter(Arc::new(engine(number)));
        }
        for number in 0..gateways {
            fleet.gateways.push(Gateway::new(IN_TOUCH));
            fleet.start(number);
        }
        fleet.plan();
        fleet
    }

    /// Plans requests from two seconds on, and then orders, restarts and failures.
    fn plan(&mut self) {
        let mut at = 2.0;
        while at < END.as_secs_f64() {
            self.time.at(Duration::from_secs_f64(at), SimEvent::Arrival);
            at += self.time.rng.random_range(0.0..2.0) / PRESSURE;
        }
        for _ in 0..self.time.rng.random_range(0..3) {
            let data_centre: Name = format!("hall-{}", self.time.rng.random_range(0..4)).into();
            let at = self.time.time_in(500, 6_000);
            let back = at + self.time.time_in(500, 9_000);
            self.time.at(at, SimEvent::Order(data_centre.clone(), true));
            self.time.at(back, SimEvent::Order(data_centre, false));
        }
        for _ in 0..self.time.rng.random_range(1..3) {
            let first = self.time.rng.random_range(0..ENDPOINTS);
            let count = self.time.rng.random_range(1..=ENDPOINTS);
            let numbers: Vec<u16> = (0..count).map(|n| (first + n) % ENDPOINTS).collect();
            let at = self.time.time_in(2_500, 8_000);
            let back = at + self.time.time_in(1_000, 3_000);
            self.time.at(at, SimEvent::Down(numbers.clone()));
            self.time.at(back, SimEvent::Up(numbers));
        }
        for _ in 0..self.time.rng.random_range(0..5) {
            let gateway = self.time.rng.random_range(0..self.gateways.len());
            let at = self.time.time_in(1_000, 9_000);
            let back = at + self.time.time_in(100, 4_000);
            match self.time.rng.random_range(0..3) {
                0 => {
                    self.time.at(at, SimEvent::Kill(gateway));
                    self.time.at(back, SimEvent::Start(gateway));
                }
                1 => {
                    self.time.at(at, SimEvent::Cut(gateway, true));
                    self.time.at(back, SimEvent::Cut(gateway, false));
                }
                _ => {
                    self.time.at(at, SimEvent::Away(gateway, true));
                    self.time.at(back + ms(4_000), SimEvent::Away(gateway, false));
                }
            }
        }
        if self.time.rng.random_bool(0.2) {
            let at = self.time.time_in(3_000, 8_000);
            for gateway in 0..self.gateways.len() {
                self.time.at(at, SimEvent::Kill(gateway));
                let back = at + self.time.time_in(200, 500);
                self.time.at(back, SimEvent::Start(gateway));
            }
        }
    }

    pub fn run(&mut self) {
        while let Some(sim_event) = self.time.step(END) {
            self.apply(sim_event);
        }
        for calls in self.cold_calls.values() {
            for (i, start) in calls.iter().enumerate() {
                let within = calls[i..].iter().take_while(|at| **at < *start + ms(1_000)).count();
                self.stats.max_per_second = self.stats.max_per_second.max(within);
            }
        }
    }

    fn apply(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Event(gateway, incarnation, event)
                if self.gateways[gateway].incarnation == incarnation =>
            {
                self.handle(gateway, *event);
            }
            SimEvent::Wake(gateway, incarnation)
                if self.gateways[gateway].incarnation == incarnation =>
            {
                self.gateways[gateway].wake = None;
                self.handle(gateway, Event::Tick);
            }
            SimEvent::Event(..) | SimEvent::Wake(..) => {}
            SimEvent::Arrival => self.arrive(),
            SimEvent::Order(data_centre, stands) => self.order(data_centre, stands),
            SimEvent::Down(numbers) => {
                for number in numbers {
                    let id: Name = format!("engine-{number}").into();
                    self.down.insert(id.clone());
                    self.revision += 1;
                    let revision = self.revision;
                    let gone = Revised {
                        position: position(revision),
                        created_revision: 0,
                        document: Document::Removed(id.clone()),
                    };
                    self.entered.insert(id, gone);
                    self.spread();
                }
            }
            SimEvent::Up(numbers) => {
                for number in numbers {
                    self.up(number);
                }
            }
            SimEvent::Kill(gateway) => {
                self.gateways[gateway].kill();
            }
            SimEvent::Start(gateway) => self.start(gateway),
            SimEvent::Cut(gateway, is_cut) => {
                self.gateways[gateway].is_cut = is_cut;
                self.gateways[gateway].in_touch_from =
                    if is_cut { Duration::MAX } else { self.time.now + IN_TOUCH };
                self.publish_whole(gateway);
            }
            SimEvent::Away(gateway, is_away) => {
                self.gateways[gateway].is_away = is_away;
                self.publish_whole(gateway);
            }
        }
    }

    fn up(&mut self, number: u16) {
        let before = engine(number);
        if !self.down.remove(&before.id) {
            return;
        }
        self.cold_until.insert(before.id.clone(), self.time.now + COLD);
        let incarnation = self.time.now.as_millis() as u64;
        let endpoint = Arc::new(Endpoint { incarnation, cold_for: COLD, ..before });
        self.enter(endpoint);
        self.spread();
    }

    fn enter(&mut self, endpoint: Arc<Endpoint>) {
        self.revision += 1;
        let (revision, document) = (self.revision, Document::Endpoint(endpoint.clone()));
        self.entered.insert(
            endpoint.id.clone(),
            Revised { position: position(revision), created_revision: 0, document },
        );
        self.endpoints.insert(endpoint.id.clone(), endpoint);
    }

    fn order(&mut self, data_centre: Name, in_force: bool) {
        self.revision += 1;
        let revision = self.revision;
        let since = in_force.then_some(self.time.now);
        self.orders.insert(data_centre.clone(), (revision, since));
        let change = EvacuationChange { data_centre, position: position(revision), in_force };
        for gateway in 0..self.gateways.len() {
            let event = Event::Evacuations { changes: vec![change.clone()], snapshot_at: None };
            self.publish(gateway, event);
        }
    }

    /// Publishes the list to all gateways after an entry changed.
    fn spread(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.publish(gateway, self.list());
        }
    }

    /// The event by which the complete list arrives.
    fn list(&self) -> Event {
        let is_entry = |r: &&Revised| matches!(r.document, Document::Endpoint(_));
        let documents = self.entered.values().filter(is_entry).cloned().collect();
        Event::Published { documents, extent: Extent::Complete { at: position(self.revision) } }
    }

    /// The store publishes to a gateway that it can reach, after a delay.
    fn publish(&mut self, gateway: usize, event: Event) {
        let Gateway { is_cut, is_away, incarnation, .. } = self.gateways[gateway];
        let after = Duration::from_micros(
            self.time.rng.random_range(4_000..self.slowest_news.as_micros() as u64),
        );
        if !is_cut && !is_away {
            let event = SimEvent::Event(gateway, incarnation, Box::new(event));
            self.time.at(self.time.now + after, event);
        }
    }

    fn publish_whole(&mut self, gateway: usize) {
        let stand = self.orders.iter().filter(|(_, order)| order.1.is_some());
        let change = |(data_centre, order): (&Name, &Order)| EvacuationChange {
            data_centre: data_centre.clone(),
            position: position(order.0),
            in_force: true,
        };
        let changes = stand.map(change).collect();
        let snapshot_at = Some(position(self.revision));
        self.publish(gateway, Event::Evacuations { changes, snapshot_at });
        let configured = Document::Deployment(Arc::new(cold_deployment()));
        let documents =
            vec![Revised { position: position(1), created_revision: 0, document: configured }];
        self.publish(gateway, Event::Published { documents, extent: Extent::Partial });
        self.publish(gateway, self.list());
    }

    fn start(&mut self, number: usize) {
        if self.gateways[number].core.is_some() {
            return;
        }
        let data_centre = format!("hall-{}", number as u16 % DATA_CENTRES).into();
        let seed = self.time.rng.random();
        let gateway = &mut self.gateways[number];
        gateway.in_touch_from = self.time.now + IN_TOUCH;
        gateway.start(number, Setup { data_centre, seed, ..setup() });
        self.publish_whole(number);
        self.handle(number, Event::Tick);
    }

    fn arrive(&mut self) {
        let gateway = self.time.rng.random_range(0..self.gateways.len());
        self.callers += 1;
        let caller = self.callers;
        let mut incoming = incoming("r", Vec::new());
        incoming.id = format!("request-{caller}").into();
        self.handle(gateway, Event::Submit { caller, incoming });
    }

    fn handle(&mut self, number: usize, event: Event) {
        let now = self.time.now;
        let gateway = &mut self.gateways[number];
        let (actions, wake) = gateway.handle(event, now);
        if let Some(at) = wake {
            let incarnation = gateway.incarnation;
            self.time.at(at, SimEvent::Wake(number, incarnation));
        }
        for action in actions {
            self.act(number, action);
        }
    }

    fn act(&mut self, number: usize, action: Action) {
        match action {
            Action::Send { .. } | Action::Broadcast { .. } => {
                for (to, event) in peer_events(number, action) {
                    self.send(number, to, event);
                }
            }
            Action::Call { caller, attempt, params } => {
                self.call(number, caller, attempt, &params.endpoint);
            }
            Action::Refuse { .. } => self.stats.refused += 1,
            _ => {}
        }
    }

    /// Sends a message between gateways, delayed; some messages are lost.
    fn send(&mut self, from: usize, to: u16, event: Event) {
        let to = usize::from(to) - 1;
        if to >= self.gateways.len() || self.time.rng.random_bool(self.loss) {
            return;
        }
        if !self.gateways[from].is_cut && !self.gateways[to].is_cut {
            let after = self.time.time_in(1, 60);
            let event = SimEvent::Event(to, self.gateways[to].incarnation, Box::new(event));
            self.time.at(self.time.now + after, event);
        }
    }

    fn call(&mut self, number: usize, caller: u64, attempt: u64, endpoint: &Endpoint) {
        let incarnation = self.gateways[number].incarnation;
        let arrives = self.time.now + self.time.time_in(1, 4);
        let answer = if self.down.contains(&endpoint.id) {
            Event::CallFailed { caller, attempt, failure: CallFailure::NotSent }
        } else {
            self.arrived(number, endpoint, arrives);
            Event::Answered { caller, attempt, proof: good(), is_open: false }
        };
        let after = self.time.time_in(10, 120);
        self.time.at(arrives + after, SimEvent::Event(number, incarnation, Box::new(answer)));
    }

    /// Records that a request reaches an endpoint.
    fn arrived(&mut self, number: usize, endpoint: &Endpoint, at: Duration) {
        self.stats.calls += 1;
        if self.cold_until.get(&endpoint.id).is_some_and(|until| at < *until) {
            self.stats.cold_calls += 1;
            self.cold_calls.entry(endpoint.id.clone()).or_default().push(at);
        }
        let since = self.orders.get(&endpoint.data_centre).and_then(|order| order.1);
        let is_late = since.is_some_and(|since| at > since + IN_FORCE);
        self.stats.late_calls += usize::from(is_late && self.can_hear(number));
    }

    /// Whether a gateway is in touch with the store, or with a peer that is. In schedule 2262 the
    /// store refuses a single gateway from before an order until after its end, so that the gateway
    /// can't receive the order.
    fn can_hear(&self, number: usize) -> bool {
        let is_in_touch = |g: &Gateway| g.core.is_some() && g.in_touch_from <= self.time.now;
        let tells = |g: &Gateway| is_in_touch(g) && !g.is_away;
        is_in_touch(&self.gateways[number]) && self.gateways.iter().any(tells)
    }
}
