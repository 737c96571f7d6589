//! Endpoints of the world that say of themselves in answers that they leave or want nothing for a while, and what no
//! gateway may do after it has heard that.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stackmast::direct::event::{Action, Event};
use stackmast::direct::published::model::Endpoint;
use stackmast::direct::statement::{Backoff, CallKind, Statement};

use super::ms;
use super::world::{BUSY, Happening, World};

/// Sets the chances of what is said apart from those of everything else.
const OWN_CHANCES: u64 = 0x57a7;
/// Of all answers so many say something.
const SAYS: f64 = 0.15;
/// Of these so many that their endpoint leaves.
const LEAVES: f64 = 0.1;

/// A life of a gateway, and an endpoint.
type Between = (usize, u64, String);

/// What endpoints said, and to which life of a gateway.
pub struct Statements {
    rng: StdRng,
    leaving: BTreeSet<Between>,
    paused: BTreeMap<Between, Duration>,
    /// Answers that said something.
    pub said: usize,
    /// Messages that went to endpoints of which something had been said.
    pub checked: usize,
}

impl World {
    /// A world whose endpoints say something of themselves.
    pub fn with_statements(seed: u64) -> Self {
        let mut world = Self::new(seed);
        world.statements = Some(Statements {
            rng: StdRng::seed_from_u64(seed ^ OWN_CHANCES),
            leaving: BTreeSet::new(),
            paused: BTreeMap::new(),
            said: 0,
            checked: 0,
        });
        world
    }

    /// An answer that is read at a time may say something of its endpoint.
    pub fn answers(&mut self, number: usize, endpoint: &Endpoint, asked: CallKind, at: Duration) {
        let Some(statements) = self.statements.as_mut().filter(|_| at < BUSY) else {
            return;
        };
        if !statements.rng.random_bool(SAYS) {
            return;
        }
        // One of each pool stays.
        let leaving = statements.rng.random_bool(LEAVES) && endpoint.id.ends_with("-1");
        let time = ms(statements.rng.random_range(1..2_500));
        let backoff = (!leaving).then_some(Backoff::For(time));
        let statement = Statement { leaving, backoff, cold: None, limit: None };
        let endpoint = Arc::new(endpoint.clone());
        let event = Event::EndpointStatus { endpoint, asked, statement, sent: at, at };
        let life = self.lives[number];
        self.at(at, Happening::Event(number, life, Box::new(event)));
    }

    /// A gateway is about to hear an endpoint.
    pub fn hears(&mut self, number: usize, event: &Event) {
        let life = self.lives[number];
        let (Some(statements), Event::EndpointStatus { endpoint, statement, at, .. }) =
            (&mut self.statements, event)
        else {
            return;
        };
        statements.said += 1;
        let between = (number, life, endpoint.id.to_string());
        if let Some(Backoff::For(time)) = statement.backoff {
            let until = statements.paused.entry(between.clone()).or_default();
            *until = (*until).max(*at + time);
        }
        if statement.leaving {
            statements.leaving.insert(between);
        }
    }

    /// A gateway sends something: not what an endpoint said that it does not want.
    pub fn check_statements(&mut self, number: usize, action: &Action) {
        let (now, life) = (self.now, self.lives[number]);
        let Some(statements) = &mut self.statements else {
            return;
        };
        let (endpoint, is_work) = match action {
            Action::Call { params, .. } => (&params.endpoint, true),
            Action::CallBatch { endpoint, .. } => (endpoint, true),
            Action::RequestReport(endpoint) => (endpoint, true),
            Action::FreeResults { endpoint, .. } | Action::Probe(endpoint) => (endpoint, false),
            _ => return,
        };
        let between = (number, life, endpoint.id.to_string());
        if let Some(until) = statements.paused.get(&between) {
            statements.checked += 1;
            assert!(now >= *until, "{endpoint:?} wants nothing until {until:?}, it is {now:?}");
        }
        let leaves = statements.leaving.contains(&between);
        assert!(!is_work || !leaves, "{endpoint:?} leaves, and gets {action:?}");
    }
}
