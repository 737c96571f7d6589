//! Order of requests by urgency.

use std::fmt;

use serde::{Serialize, Serializer};

/// Urgency of a request; the lowest value is the most urgent.
///
/// The priority of the request, which is that of its organisation if it has one, takes precedence.
/// Among requests of equal priority the priority of the route decides: organisations that are
/// equals don't make all their routes equally urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Urgency {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Priority of its route; 0 is the most urgent.
    pub route: u8,
}

/// Number of levels by which engines tell urgencies apart.
const ENGINE_LEVELS: u8 = 10;
/// Number of these levels for each priority: routes of a lower priority share the last of them.
const LEVELS_PER_PRIORITY: u8 = 3;

impl Urgency {
    /// The level at an engine, 0 for the most urgent. A more urgent request never has a higher
    /// level than a less urgent one.
    pub fn engine_level(self) -> u8 {
        let route = self.route.min(LEVELS_PER_PRIORITY - 1);
        let level = self.priority.saturating_mul(LEVELS_PER_PRIORITY).saturating_add(route);
        level.min(ENGINE_LEVELS - 1)
    }
}

/// Written as `1.0`: the priority of the request, then that of its route.
impl fmt::Display for Urgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.priority, self.route)
    }
}

impl Serialize for Urgency {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
