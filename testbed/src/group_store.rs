//! The publisher's store of a modelled group of gateways, and the calls that they make to it.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use stackmast::config::Selector;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::Event;
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{
    CallerLimits, Deployment, Endpoint, EngineSpec, Organisation, Pool, Work,
};
use stackmast::direct::published::position::Position;
use stackmast::direct::store_reading::{StorePart, StoreUse};

/// Number of endpoints; constant, since the model compares numbers of gateways.
const ENDPOINTS: u64 = 60;
/// Number of organisations.
const ORGANISATIONS: u64 = 100;
/// Interval at which a gateway that follows its peers checks whether it is to read the store.
const PARKED_POLL: Duration = Duration::from_millis(50);
/// Pause after a rejected call.
const BACKOFF: Duration = Duration::from_secs(1);

/// Part of the store that is followed with calls of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The configuration.
    Configuration,
    /// The entries of endpoints.
    Endpoints,
}

impl Subject {
    const fn part(self) -> StorePart {
        match self {
            Self::Configuration => StorePart::Operator,
            Self::Endpoints => StorePart::Endpoints,
        }
    }
}

/// The next call of a follower.
pub enum Call {
    /// The call was made and ends at the latest after this time.
    Made {
        /// Number of the call.
        number: u64,
        /// Time until the store responds.
        ends_after: Duration,
    },
    /// No call is due now.
    NotDue {
        /// When to check again.
        again_after: Duration,
    },
}

/// Response of the store.
pub struct Answer {
    /// Events for the core.
    pub events: Vec<Event>,
    /// Pause until the next call.
    pub pause: Duration,
}

/// State of a follower of one subject.
#[derive(Debug, Clone, Default)]
struct Follower {
    life: u64,
    /// Revision from which it continues; `None` before the first read.
    since: Option<u64>,
    call: u64,
    is_watching: bool,
    is_quiet: bool,
    /// Whether the last call failed.
    has_failed: bool,
}

/// The store and its followers.
pub struct Store {
    revision: u64,
    version: u64,
    configuration: Revised,
    endpoints: Vec<Revised>,
    followers: [Vec<Follower>; 2],
    rejected: Vec<bool>,
    next_call: u64,
}

fn deployment(version: u64) -> Deployment {
    let organisations = (0..ORGANISATIONS).map(|number| Organisation {
        name: format!("organisation-{number}").into(),
        keys: vec![format!("key-of-organisation-{number}").into()],
        priority: None,
        allowed_regions: Vec::new(),
    });
    let pool = Pool {
        name: "engine".into(),
        endpoints: Selector::parse("service=engine").unwrap_or_default(),
        max_connections: 100,
        cold: None,
        work: Work::Engine(EngineSpec { slots: 8, memory_tokens: 100_000 }),
        health_path: None,
    };
    Deployment {
        version,
        routes: Vec::new(),
        pools: vec![pool],
        organisations: organisations.collect(),
        limits: CallerLimits::default(),
    }
}

fn endpoint(number: u64, revision: u64) -> Revised {
    let endpoint = Endpoint {
        id: format!("engine-{number}").into(),
        incarnation: 0,
        address: ([10, 2, 0, 1], 9_000 + number as u16).into(),
        data_centre: format!("hall-{}", number % 6).into(),
        labels: [("service".to_owned(), "engine".to_owned())].into_iter().collect(),
        slots: 8 + (revision % 2) as u32,
        leaving: false,
        cold_for: Duration::ZERO,
    };
    let document = Document::Endpoint(Arc::new(endpoint));
    Revised { position: Position::new(0, revision), created_revision: 0, document }
}

impl Store {
    /// Time from a call, or from the change that a watch waits for, to the response.
    pub const ANSWER_TIME: Duration = Duration::from_millis(4);

    /// Creates a store with a configuration and entries, before any call.
    pub fn new(gateways: usize) -> Self {
        let revision = ENDPOINTS + 1;
        let document = Document::Deployment(Arc::new(deployment(1)));
        Self {
            revision,
            version: 1,
            configuration: Revised {
                position: Position::new(0, revision),
                created_revision: 0,
                document,
            },
            endpoints: (0..ENDPOINTS).map(|number| endpoint(number, number + 1)).collect(),
            followers: [vec![Follower::default(); gateways], vec![Follower::default(); gateways]],
            rejected: vec![false; gateways],
            next_call: 0,
        }
    }

    /// Replaces the configuration by a new version; returns it.
    pub fn change_configuration(&mut self) -> u64 {
        self.revision += 1;
        self.version += 1;
        let document = Document::Deployment(Arc::new(deployment(self.version)));
        let position = Position::new(0, self.revision);
        self.configuration = Revised { position, created_revision: 0, document };
        self.version
    }

    /// Changes one entry.
    pub fn change_endpoint(&mut self) {
        self.revision += 1;
        let number = self.revision % ENDPOINTS;
        self.endpoints[number as usize] = endpoint(number, self.revision);
    }

    /// Rejects the calls of a gateway, or serves them again.
    pub fn set_rejected(&mut self, gateway: usize, is_rejected: bool) {
        self.rejected[gateway] = is_rejected;
    }

    /// Watches of a subject that wait for a change.
    pub fn waiting(&self, subject: Subject) -> Vec<(usize, u64)> {
        let followers = self.followers[subject as usize].iter().enumerate();
        followers.filter(|(_, f)| f.is_watching).map(|(host, f)| (host, f.call)).collect()
    }

    /// Makes the next call of a gateway in its current life.
    pub fn next_call(
        &mut self,
        gateway: usize,
        life: u64,
        subject: Subject,
        core: &GatewayCore,
        rng: &mut impl Rng,
    ) -> Call {
        let latest = self.latest(subject);
        let follower = &mut self.followers[subject as usize][gateway];
        if follower.life != life {
            *follower = Follower { life, ..Follower::default() };
        }
        self.next_call += 1;
        follower.call = self.next_call;
        let number = follower.call;
        if core.store_use() == StoreUse::Follow {
            follower.since = None;
            follower.has_failed = false;
            return Call::NotDue { again_after: PARKED_POLL };
        }
        let Some(since) = follower.since else {
            return Call::Made { number, ends_after: Self::ANSWER_TIME };
        };
        follower.is_watching = true;
        let share = if follower.is_quiet { 1.0 } else { rng.random_range(0.0..1.0) };
        let wait =
            if latest > since { Duration::ZERO } else { core.watch_timeout().mul_f64(share) };
        Call::Made { number, ends_after: wait + Self::ANSWER_TIME }
    }

    /// Returns the response to a call; `None` if the call has ended before.
    pub fn answer(
        &mut self,
        gateway: usize,
        subject: Subject,
        call: u64,
        core: &GatewayCore,
        rng: &mut impl Rng,
    ) -> Option<Answer> {
        let latest = self.latest(subject);
        let is_rejected = self.rejected[gateway];
        let follower = &mut self.followers[subject as usize][gateway];
        if follower.call != call {
            return None;
        }
        follower.call = 0;
        follower.is_watching = false;
        if is_rejected {
            follower.since = None;
            let is_first = !std::mem::replace(&mut follower.has_failed, true);
            let events = is_first.then_some(Event::PublisherStatus { answers: false });
            return Some(Answer { events: events.into_iter().collect(), pause: BACKOFF });
        }
        let since = follower.since.replace(self.revision);
        follower.is_quiet = since.is_some_and(|since| latest <= since);
        let is_quiet = follower.is_quiet;
        let documents = self.documents(subject, since);
        let position = Position::new(0, self.revision);
        let extent = match (subject, since) {
            (Subject::Configuration, _) => Extent::Partial,
            (Subject::Endpoints, None) => Extent::Complete { at: position },
            (Subject::Endpoints, Some(since)) => {
                Extent::Changes { since: Position::new(0, since), up_to: position }
            }
        };
        let has_recovered =
            std::mem::replace(&mut self.followers[subject as usize][gateway].has_failed, false);
        let recovered = has_recovered.then_some(Event::PublisherStatus { answers: true });
        let mut events: Vec<Event> = recovered.into_iter().collect();
        if !documents.is_empty() || extent != Extent::Partial {
            events.push(Event::Published { documents, extent });
        }
        events.push(Event::StoreChecked { part: subject.part() });
        let pauses = subject == Subject::Endpoints && since.is_some() && !is_quiet;
        let pause =
            if pauses { rng.random_range(core.watch_delay_range()) } else { Duration::ZERO };
        Some(Answer { events, pause })
    }

    fn latest(&self, subject: Subject) -> u64 {
        match subject {
            Subject::Configuration => self.configuration.position.revision,
            Subject::Endpoints => {
                self.endpoints.iter().map(|e| e.position.revision).max().unwrap_or_default()
            }
        }
    }

    fn documents(&self, subject: Subject, since: Option<u64>) -> Vec<Revised> {
        let all = match subject {
            Subject::Configuration => std::slice::from_ref(&self.configuration),
            Subject::Endpoints => &self.endpoints,
        };
        let since = since.unwrap_or_default();
        all.iter().filter(|document| document.position.revision > since).cloned().collect()
    }
}
