//! Simulates a fleet of any size in virtual time with a store that is repeatedly restored from
//! older copies, while gateways fail. Each gateway's view of versions, endpoints and orders is
//! checked against what was written.

mod checks;
mod plan;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use stackmast::direct::core::Setup;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::evacuations::EvacuationChange;
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Name, Repeat};
use stackmast::direct::published::position::Position;

use super::gateway::setup;
use super::timeline::{Gateway, Timeline, peer_events};
use super::{deployment, endpoint, ms, route};

/// Time until a gateway that was cut off, refused by the store or started is in touch again, and
/// until all gateways are after the store has returned.
const IN_TOUCH: Duration = Duration::from_secs(4);
/// A live endpoint writes its entry again within this time after the store has returned.
const HEARTBEAT_MS: u64 = 1_200;
/// Time after which an entry that is not renewed expires.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
/// A watch without events ends after this time.
const WATCH_MS: u64 = 2_000;
const CHECK_EVERY: Duration = Duration::from_millis(100);
const COPY_EVERY: Duration = Duration::from_millis(100);
const ENDPOINTS: u16 = 8;
const DATA_CENTRES: u16 = 3;
const END: Duration = Duration::from_secs(24);

enum SimEvent {
    Event(usize, u64, Box<Event>),
    Wake(usize, u64),
    /// A gateway reads the complete store.
    Read(usize, u64),
    Copy,
    Check,
    /// The store becomes unavailable; `Return` restores it from a copy of the given age.
    Away,
    Return(Duration),
    /// The operator's intended state is written where the store differs from it.
    WriteVersion,
    WriteOrders,
    /// An endpoint writes its state, or its entry expires.
    WriteEntry(u16),
    Configure,
    Order(u16, bool),
    Leave(u16),
    End(u16),
    Begin(u16),
    Kill(usize),
    Start(usize),
    Cut(usize, bool),
    TurnAway(usize, bool),
}

/// Contents of the store.
#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    version: (u64, u64),
    /// Entries: revision, revision of creation, and endpoint.
    entries: BTreeMap<Name, (u64, u64, Arc<Endpoint>)>,
    orders: BTreeMap<Name, u64>,
}

/// State of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Lives,
    Leaves,
    Ended,
}

struct Truth {
    state: State,
    since: Duration,
    /// When the store first accepted the write.
    taken: Option<Duration>,
    incarnation: u64,
}

/// Results of a schedule.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    pub returns: usize,
    pub checks: usize,
    pub breaches: Vec<String>,
}

/// Gateways, endpoints and the store of one schedule.
pub struct Fleet {
    time: Timeline<SimEvent>,
    gateways: Vec<Gateway>,
    /// The position up to which each gateway follows the store.
    follows: Vec<Position>,
    /// The position up to which each gateway received every write; `None` if it missed one since
    /// its last read.
    unbroken_to: Vec<Option<Position>>,
    next_delivery: Vec<Duration>,
    versions: Vec<u64>,
    era: u64,
    store: Contents,
    copies: Vec<(Duration, Contents)>,
    is_away: bool,
    returned: Duration,
    endpoints: Vec<Truth>,
    /// Since when a gateway has not used an endpoint that is up.
    unused_since: BTreeMap<(usize, u16), Duration>,
    version: (u64, Duration),
    orders: BTreeMap<u16, (bool, Duration)>,
    loss: f64,
    pub seen: Seen,
}

fn data_centre(number: u16) -> Name {
    format!("hall-{}", number % DATA_CENTRES).into()
}

fn name(number: u16) -> Name {
    format!("engine-{number}").into()
}

impl Fleet {
    pub fn new(seed: u64, gateways: usize) -> Self {
        let mut time = Timeline::new(seed);
        let loss = time.rng.random_range(0.0..0.2);
        let since = Duration::ZERO;
        let lives = |_| Truth { state: State::Lives, since, taken: None, incarnation: 1 };
        let mut fleet = Self {
            time,
            gateways: Vec::new(),
            follows: vec![Position::default(); gateways],
            unbroken_to: vec![None; gateways],
            next_delivery: vec![Duration::ZERO; gateways],
            versions: vec![0; gateways],
            era: 1,
            store: Contents::default(),
            copies: Vec::new(),
            is_away: false,
            returned: Duration::ZERO,
            endpoints: (0..ENDPOINTS).map(lives).collect(),
            unused_since: BTreeMap::new(),
            version: (0, Duration::ZERO),
            orders: BTreeMap::new(),
            loss,
            seen: Seen::default(),
        };
        fleet.configure();
        (0..ENDPOINTS).for_each(|number| fleet.write_entry(number));
        for number in 0..gateways {
            fleet.gateways.push(Gateway::new(IN_TOUCH));
            fleet.start(number);
        }
        fleet.plan();
        fleet
    }

    pub fn run(&mut self) {
        while let Some(sim_event) = self.time.step(END) {
            self.apply(sim_event);
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
            SimEvent::Read(gateway, incarnation)
                if self.gateways[gateway].incarnation == incarnation =>
            {
                self.read(gateway);
            }
            SimEvent::Event(..) | SimEvent::Wake(..) | SimEvent::Read(..) => {}
            SimEvent::Copy => self.copies.push((self.time.now, self.store.clone())),
            SimEvent::Check => self.check(),
            SimEvent::Away => self.is_away = true,
            SimEvent::Return(age) => self.come_back(age),
            SimEvent::WriteVersion => self.write_version(),
            SimEvent::WriteOrders => self.write_orders(),
            SimEvent::WriteEntry(number) => self.write_entry(number),
            SimEvent::Configure => self.configure(),
            SimEvent::Order(number, stands) => {
                self.orders.insert(number, (stands, self.time.now));
                self.write_orders();
            }
            SimEvent::Leave(number) => self.becomes(number, State::Leaves),
            SimEvent::End(number) => {
                let was_leaving = self.endpoints[usize::from(number)].state == State::Leaves;
                self.becomes(number, State::Ended);
                let lapses = if was_leaving { ms(0) } else { ENTRY_LIFETIME };
                self.time.at(self.time.now + lapses, SimEvent::WriteEntry(number));
            }
            SimEvent::Begin(number) => {
                self.endpoints[usize::from(number)].incarnation += 1;
                self.becomes(number, State::Lives);
            }
            SimEvent::Kill(gateway) => self.gateways[gateway].kill(),
            SimEvent::Start(gateway) => self.start(gateway),
            SimEvent::Cut(gateway, is_cut) => {
                self.gateways[gateway].is_cut = is_cut;
                self.out_of_touch(gateway, is_cut);
            }
            SimEvent::TurnAway(gateway, is_away) => {
                self.gateways[gateway].is_away = is_away;
                self.out_of_touch(gateway, is_away);
            }
        }
    }

    fn out_of_touch(&mut self, gateway: usize, begins: bool) {
        let until = if begins { Duration::MAX } else { self.time.now + IN_TOUCH };
        self.gateways[gateway].in_touch_from = until;
        if !begins {
            self.reads_soon(gateway, 300);
        }
    }

    fn becomes(&mut self, number: u16, state: State) {
        let truth = &mut self.endpoints[usize::from(number)];
        if state == State::Leaves && truth.state == State::Ended {
            return;
        }
        (truth.state, truth.since, truth.taken) = (state, self.time.now, None);
        if state != State::Ended {
            self.write_entry(number);
        }
    }

    fn configure(&mut self) {
        self.version = (self.version.0 + 3, self.time.now);
        self.write_version();
    }

    fn write_version(&mut self) {
        if self.is_away || self.store.version.1 == self.version.0 {
            return;
        }
        self.store.revision += 1;
        self.store.version = (self.store.revision, self.version.0);
        self.version.1 = self.time.now;
        let documents = vec![self.configuration()];
        self.publish_to_followers(&|extent| Event::Published {
            documents: documents.clone(),
            extent,
        });
    }

    fn write_orders(&mut self) {
        if self.is_away {
            return;
        }
        for (number, (in_force, _)) in self.orders.clone() {
            let data_centre = data_centre(number);
            if self.store.orders.contains_key(&data_centre) == in_force {
                continue;
            }
            self.store.revision += 1;
            let revision = self.store.revision;
            if in_force {
                self.store.orders.insert(data_centre.clone(), revision);
            } else {
                self.store.orders.remove(&data_centre);
            }
            let position = Position::new(self.era, revision);
            let changes = vec![EvacuationChange { data_centre, position, in_force }];
            self.publish_to_followers(&|_| Event::Evacuations {
                changes: changes.clone(),
                snapshot_at: None,
            });
        }
    }

    fn write_entry(&mut self, number: u16) {
        if self.is_away {
            return;
        }
        let truth = &mut self.endpoints[usize::from(number)];
        truth.taken.get_or_insert(self.time.now);
        let Truth { state, incarnation, .. } = *truth;
        let leaving = state == State::Leaves;
        let before = (*endpoint("engine", number)).clone();
        let data_centre = data_centre(number);
        let entry = Arc::new(Endpoint { incarnation, leaving, data_centre, ..before });
        let known = self.store.entries.get(&entry.id).cloned();
        let is_as_written = known.as_ref().is_some_and(|(_, _, written)| *written == entry);
        let (id, is_gone) = (entry.id.clone(), state == State::Ended);
        if is_gone && known.is_none() || !is_gone && is_as_written {
            return;
        }
        self.store.revision += 1;
        let revision = self.store.revision;
        let position = Position::new(self.era, revision);
        let created_revision = known.map_or(revision, |(_, created_revision, _)| created_revision);
        let revised = if is_gone {
            self.store.entries.remove(&id);
            Revised { position, created_revision: 0, document: Document::Removed(id) }
        } else {
            self.store.entries.insert(id, (revision, created_revision, entry.clone()));
            Revised { position, created_revision, document: Document::Endpoint(entry) }
        };
        let documents = vec![revised];
        self.publish_to_followers(&|extent| Event::Published {
            documents: documents.clone(),
            extent,
        });
    }

    fn configuration(&self) -> Revised {
        let (revision, version) = self.store.version;
        let deployment = deployment(version, vec![route("r", Repeat::Idempotent, &[])]);
        let document = Document::Deployment(Arc::new(deployment));
        Revised { position: Position::new(self.era, revision), created_revision: 1, document }
    }

    fn come_back(&mut self, age: Duration) {
        let from = self.time.now.saturating_sub(age);
        let copy = self.copies.iter().rev().find(|(at, _)| *at <= from);
        let Some((_, copy)) = copy.cloned() else {
            return;
        };
        self.store = copy;
        self.copies.clear();
        self.era += 1;
        self.is_away = false;
        self.returned = self.time.now;
        self.seen.returns += 1;
        for number in 0..ENDPOINTS {
            let Truth { state, .. } = self.endpoints[usize::from(number)];
            let within = if state == State::Ended {
                ENTRY_LIFETIME.as_millis() as u64
            } else {
                HEARTBEAT_MS
            };
            let at = self.time.now + self.time.time_in(0, within);
            self.time.at(at, SimEvent::WriteEntry(number));
        }
        for sim_event in [SimEvent::WriteVersion, SimEvent::WriteOrders] {
            let at = self.time.now + self.time.time_in(0, 1_500);
            self.time.at(at, sim_event);
        }
        for gateway in 0..self.gateways.len() {
            self.reads_soon(gateway, WATCH_MS);
        }
    }

    fn reads_soon(&mut self, gateway: usize, within_ms: u64) {
        let at = self.time.now + self.time.time_in(3, within_ms);
        self.time.at(at, SimEvent::Read(gateway, self.gateways[gateway].incarnation));
    }

    fn is_served(&self, gateway: usize) -> bool {
        let Gateway { is_cut, is_away, ref core, .. } = self.gateways[gateway];
        !self.is_away && !is_cut && !is_away && core.is_some()
    }

    /// Sends a write to all followers. Followers of an earlier era get it only once the store has
    /// passed their position, with an answer that names the new era.
    fn publish_to_followers(&mut self, event: &dyn Fn(Extent) -> Event) {
        let up_to = Position::new(self.era, self.store.revision);
        for gateway in 0..self.gateways.len() {
            if !self.is_served(gateway) {
                self.unbroken_to[gateway] = None;
                continue;
            }
            let follows = self.follows[gateway];
            if follows.era == self.era {
                let since = self.unbroken_to[gateway];
                let extent = since.map_or(Extent::Partial, |s| Extent::Changes { since: s, up_to });
                self.unbroken_to[gateway] = since.map(|_| up_to);
                self.deliver(gateway, event(extent));
            } else if self.store.revision > follows.revision {
                self.reads_soon(gateway, 30);
            }
        }
    }

    /// Delivers answers to a gateway in order, each some time after the one before.
    fn deliver(&mut self, gateway: usize, event: Event) {
        let at = self.time.now + self.time.time_in(2, 300);
        let at = at.max(self.next_delivery[gateway]);
        self.next_delivery[gateway] = at + ms(1);
        let incarnation = self.gateways[gateway].incarnation;
        self.time.at(at, SimEvent::Event(gateway, incarnation, Box::new(event)));
    }

    fn read(&mut self, gateway: usize) {
        if !self.is_served(gateway) {
            if self.gateways[gateway].core.is_some() {
                self.reads_soon(gateway, 500);
            }
            return;
        }
        let at = Position::new(self.era, self.store.revision);
        self.follows[gateway] = at;
        self.unbroken_to[gateway] = Some(at);
        self.deliver(gateway, Event::StoreEra { era: self.era });
        let change = |(name, revision): (&Name, &u64)| EvacuationChange {
            data_centre: name.clone(),
            position: Position::new(at.era, *revision),
            in_force: true,
        };
        let changes = self.store.orders.iter().map(change).collect();
        self.deliver(gateway, Event::Evacuations { changes, snapshot_at: Some(at) });
        let documents = vec![self.configuration()];
        self.deliver(gateway, Event::Published { documents, extent: Extent::Partial });
        let entry = |(revision, made, endpoint): &(u64, u64, Arc<Endpoint>)| Revised {
            position: Position::new(at.era, *revision),
            created_revision: *made,
            document: Document::Endpoint(endpoint.clone()),
        };
        let documents = self.store.entries.values().map(entry).collect();
        self.deliver(gateway, Event::Published { documents, extent: Extent::Complete { at } });
    }

    fn start(&mut self, number: usize) {
        if self.gateways[number].core.is_some() {
            return;
        }
        let seed = self.time.rng.random();
        let gateway = &mut self.gateways[number];
        gateway.in_touch_from = self.time.now + IN_TOUCH;
        gateway.start(number, Setup { seed, ..setup() });
        self.versions[number] = 0;
        self.follows[number] = Position::default();
        self.unbroken_to[number] = None;
        self.reads_soon(number, 20);
        self.handle(number, Event::Tick);
    }

    fn handle(&mut self, number: usize, event: Event) {
        let (actions, wake) = self.gateways[number].handle(event, self.time.now);
        if let Some(at) = wake {
            let incarnation = self.gateways[number].incarnation;
            self.time.at(at, SimEvent::Wake(number, incarnation));
        }
        for action in actions {
            match action {
                Action::SetStoreEra(era) if self.follows[number].era < era => {
                    self.reads_soon(number, 300);
                }
                Action::Send { .. } | Action::Broadcast { .. } => {
                    for (to, event) in peer_events(number, action) {
                        self.send(number, to, event);
                    }
                }
                _ => {}
            }
        }
        let Some(core) = self.gateways[number].core.as_ref() else {
            return;
        };
        let version = core.table().deployment.version;
        if version < self.versions[number] {
            self.breach(number, format!("went back from {} to {version}", self.versions[number]));
        }
        self.versions[number] = version;
    }

    /// Sends a message between gateways, delayed; some messages are lost.
    fn send(&mut self, from: usize, to: u16, event: Event) {
        let to = usize::from(to) - 1;
        if to >= self.gateways.len() || self.time.rng.random_bool(self.loss) {
            return;
        }
        if !self.gateways[from].is_cut && !self.gateways[to].is_cut {
            let at = self.time.now + self.time.time_in(1, 60);
            let incarnation = self.gateways[to].incarnation;
            self.time.at(at, SimEvent::Event(to, incarnation, Box::new(event)));
        }
    }
}
