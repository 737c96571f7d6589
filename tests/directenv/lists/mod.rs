//! A model of the endpoint list in virtual time: a store with pages and watches, gateways that read
//! it and gateways that follow their peers. The gateways are real cores.
//!
//! Pages, changes, restarts of gateways, cuts, outages, lost messages and lost answers come in a
//! random order from one seed.

mod checks;
mod plan;
mod reader;
mod store;

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use stackmast::direct::core::Setup;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::position::Position;

use super::deployment;
use super::gateway::setup;
use super::timeline::{Gateway, Timeline, peer_events};
use reader::Reader;
use store::Store;

/// Number of endpoints that may be listed.
const KEYS: u16 = 14;
/// Time after the last trouble by which all gateways have the same list.
const SETTLED_AFTER: Duration = Duration::from_secs(12);
/// Interval of the checks of all gateways.
const CHECK_EVERY: Duration = Duration::from_millis(200);
const MAX_BREACHES: usize = 4;

enum SimEvent {
    /// A message arrives at the process that a gateway has by then.
    Message(usize, Box<Event>),
    Wake(usize, u64),
    /// The store answers a call of a gateway's reader.
    Answer(usize, u64),
    Check,
    /// Several entries are written within some milliseconds.
    WriteSome(usize),
    Write(u16),
    /// The store loses its history.
    Compact,
    /// The store is restored from a copy without the last writes.
    Restore(u64),
    Down(bool),
    Kill(usize),
    Start(usize),
    Cut(usize, bool),
    TurnAway(usize, bool),
    /// The last trouble is over.
    Calm,
}

/// Gateways and the store of one schedule.
pub struct Fleet {
    time: Timeline<SimEvent>,
    gateways: Vec<Gateway>,
    data_centres: usize,
    readers: Vec<Reader>,
    /// The position that each gateway announced last.
    announced: Vec<Position>,
    store: Store,
    is_down: bool,
    end: Duration,
    /// Longest time of a page of the store, in milliseconds.
    page_ms: u64,
    /// Share of messages between gateways that are lost.
    message_loss: f64,
    /// Share of calls to the store that fail.
    call_loss: f64,
    pub checks: usize,
    pub breaches: Vec<String>,
}

impl Fleet {
    pub fn new(seed: u64, gateways: usize, end: Duration) -> Self {
        let mut time = Timeline::new(seed);
        let page_ms = [3, 10, 60][time.rng.random_range(0..3)];
        let message_loss = time.rng.random_range(0.0..0.2);
        let call_loss = [0.0, 0.0, 0.01][time.rng.random_range(0..3)];
        let data_centres = time.rng.random_range(1..4);
        let mut fleet = Self {
            time,
            gateways: (0..gateways).map(|_| Gateway::new(Duration::ZERO)).collect(),
            data_centres,
            readers: (0..gateways).map(|_| Reader::default()).collect(),
            announced: vec![Position::default(); gateways],
            store: Store::new(KEYS - 2),
            is_down: false,
            end,
            page_ms,
            message_loss,
            call_loss,
            checks: 0,
            breaches: Vec::new(),
        };
        (0..gateways).for_each(|gateway| fleet.start(gateway));
        fleet.plan();
        fleet
    }

    pub fn run(&mut self) {
        let end = self.end + SETTLED_AFTER;
        while let Some(sim_event) = self.time.step(end) {
            self.apply(sim_event);
        }
        self.check_agreement();
    }

    fn apply(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Message(gateway, event) => self.handle(gateway, *event),
            SimEvent::Wake(gateway, incarnation)
                if self.gateways[gateway].incarnation == incarnation =>
            {
                self.gateways[gateway].wake = None;
                self.handle(gateway, Event::Tick);
            }
            SimEvent::Wake(..) => {}
            SimEvent::Answer(gateway, call) => self.answer(gateway, call),
            SimEvent::Check => (0..self.gateways.len()).for_each(|g| self.check_holds(g)),
            SimEvent::WriteSome(count) => {
                for _ in 0..count {
                    let key = self.time.rng.random_range(0..KEYS);
                    let at = self.time.now + self.time.time_in(0, 40);
                    self.time.at(at, SimEvent::Write(key));
                }
            }
            SimEvent::Write(key) => self.write(key),
            SimEvent::Compact => self.store.compacted_to = self.store.at.revision,
            SimEvent::Restore(lost_writes) => self.store.restore(lost_writes),
            SimEvent::Down(is_down) => self.is_down = is_down,
            SimEvent::Kill(gateway) => self.gateways[gateway].kill(),
            SimEvent::Start(gateway) => self.start(gateway),
            SimEvent::Cut(gateway, is_cut) => self.gateways[gateway].is_cut = is_cut,
            SimEvent::TurnAway(gateway, is_away) => self.gateways[gateway].is_away = is_away,
            SimEvent::Calm => {
                (self.is_down, self.call_loss) = (false, 0.0);
                for gateway in 0..self.gateways.len() {
                    (self.gateways[gateway].is_cut, self.gateways[gateway].is_away) =
                        (false, false);
                    self.start(gateway);
                }
            }
        }
    }

    /// Writes an entry: it is removed, created, or changes whether its endpoint leaves.
    fn write(&mut self, key: u16) {
        if self.is_down {
            return;
        }
        match self.time.rng.random_range(0..4) {
            0 => self.store.remove(key),
            choice => self.store.put(key, choice == 1),
        }
    }

    fn start(&mut self, number: usize) {
        if self.gateways[number].core.is_some() {
            return;
        }
        let seed = self.time.rng.random();
        let data_centre = format!("hall-{}", number % self.data_centres).into();
        self.gateways[number].start(number, Setup { seed, data_centre, ..setup() });
        self.announced[number] = Position::default();
        let document = Document::Deployment(Arc::new(deployment(1, Vec::new())));
        let position = Position::new(self.store.at.era, 0);
        let documents = vec![Revised { position, created_revision: 0, document }];
        self.handle(number, Event::Published { documents, extent: Extent::Partial });
        self.start_reader(number);
    }

    /// Handles an event, and checks the gateway whenever it announces another position.
    fn handle(&mut self, number: usize, event: Event) {
        let mut announces = None;
        for action in self.handle_quietly(number, event) {
            if let Action::SetStoreEra(era) = action {
                self.reread_for_era(number, era);
            }
            if let Action::Send { message, .. } | Action::Broadcast { message, .. } = &action {
                announces = checks::announced(message).or(announces);
            }
            let is_pull = matches!(&action, Action::Send { message: PeerMessage::Pull { .. }, .. });
            if is_pull && self.time.now > self.end + SETTLED_AFTER / 2 {
                self.breach(number, "pulls entries although nothing changes");
            }
            for (to, event) in peer_events(number, action) {
                self.send(number, to, event);
            }
        }
        if let Some(position) = announces.filter(|at| *at != self.announced[number]) {
            self.announced[number] = position;
            self.check_holds(number);
        }
    }

    fn handle_quietly(&mut self, number: usize, event: Event) -> Vec<Action> {
        let (actions, wake) = self.gateways[number].handle(event, self.time.now);
        if let Some(at) = wake {
            let incarnation = self.gateways[number].incarnation;
            self.time.at(at, SimEvent::Wake(number, incarnation));
        }
        actions
    }

    /// Sends a message between gateways, delayed; some messages are lost.
    fn send(&mut self, from: usize, to: u16, event: Event) {
        let to = usize::from(to) - 1;
        if to >= self.gateways.len() || self.time.rng.random_bool(self.message_loss) {
            return;
        }
        if !self.gateways[from].is_cut && !self.gateways[to].is_cut {
            let at = self.time.now + self.time.time_in(1, 60);
            self.time.at(at, SimEvent::Message(to, Box::new(event)));
        }
    }
}
