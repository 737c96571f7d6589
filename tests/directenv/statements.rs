//! Simulated endpoints that announce in status headers that they leave or pause, and checks that no
//! gateway violates a status that it has received.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stackmast::direct::event::{Action, Event};
use stackmast::direct::published::model::Endpoint;
use stackmast::direct::statement::{Backoff, CallKind, Statement};

use super::ms;
use super::world::{BUSY, SimEvent, World};

/// Separates the random numbers for statuses from those for everything else.
const SEED_MASK: u64 = 0x57a7;
/// Share of all answers that carry a status.
const STATUS_SHARE: f64 = 0.15;
/// Share of these statuses that announce the departure of the endpoint.
const LEAVING_SHARE: f64 = 0.1;

/// A gateway, its incarnation, and an endpoint.
type Recipient = (usize, u64, String);

/// Statuses that endpoints sent, and which incarnation of a gateway received them.
pub struct Statements {
    rng: StdRng,
    leaving: BTreeSet<Recipient>,
    paused: BTreeMap<Recipient, Duration>,
    /// Number of answers with a status.
    pub received: usize,
    /// Number of messages sent to endpoints from which the gateway had received a status.
    pub checked: usize,
}

impl World {
    /// Creates a world whose endpoints send status headers.
    pub fn with_statements(seed: u64) -> Self {
        let mut world = Self::new(seed);
        world.statements = Some(Statements {
            rng: StdRng::seed_from_u64(seed ^ SEED_MASK),
            leaving: BTreeSet::new(),
            paused: BTreeMap::new(),
            received: 0,
            checked: 0,
        });
        world
    }

    /// Adds a status to some of the answers that are read at `at`.
    pub fn answers(&mut self, number: usize, endpoint: &Endpoint, asked: CallKind, at: Duration) {
        let Some(statements) = self.statements.as_mut().filter(|_| at < BUSY) else {
            return;
        };
        if !statements.rng.random_bool(STATUS_SHARE) {
            return;
        }
        // One endpoint of each pool never leaves.
        let leaving = statements.rng.random_bool(LEAVING_SHARE) && endpoint.id.ends_with("-1");
        let time = ms(statements.rng.random_range(1..2_500));
        let backoff = (!leaving).then_some(Backoff::For(time));
        let statement = Statement { leaving, backoff, cold: None, limit: None };
        let endpoint = Arc::new(endpoint.clone());
        let event = Event::EndpointStatus { endpoint, asked, statement, sent: at, at };
        let incarnation = self.incarnations[number];
        self.at(at, SimEvent::Event(number, incarnation, Box::new(event)));
    }

    /// Records a status that a gateway is about to receive.
    pub fn record_status(&mut self, number: usize, event: &Event) {
        let incarnation = self.incarnations[number];
        let (Some(statements), Event::EndpointStatus { endpoint, statement, at, .. }) =
            (&mut self.statements, event)
        else {
            return;
        };
        statements.received += 1;
        let recipient = (number, incarnation, endpoint.id.to_string());
        if let Some(Backoff::For(time)) = statement.backoff {
            let until = statements.paused.entry(recipient.clone()).or_default();
            *until = (*until).max(*at + time);
        }
        if statement.leaving {
            statements.leaving.insert(recipient);
        }
    }

    /// Checks that a gateway sends nothing that the endpoint's last status excludes.
    pub fn check_statements(&mut self, number: usize, action: &Action) {
        let (now, incarnation) = (self.now, self.incarnations[number]);
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
        let recipient = (number, incarnation, endpoint.id.to_string());
        if let Some(until) = statements.paused.get(&recipient) {
            statements.checked += 1;
            assert!(now >= *until, "{endpoint:?} is paused until {until:?}, it is {now:?}");
        }
        let leaves = statements.leaving.contains(&recipient);
        assert!(!is_work || !leaves, "{endpoint:?} leaves, and gets {action:?}");
    }
}
