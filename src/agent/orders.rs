//! Load orders to an engine: each agent derives the orders of its endpoint from the configuration.
//!
//! No process sends orders on behalf of another, so none of them needs to be agreed on. Each order
//! carries a fencing token (configuration version, then incarnation), with which an engine that
//! checks it refuses older orders.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::endpoint::{EndpointClient, OrderOutcome};
use crate::audit::{Audit, Change};
use crate::config::{Config, Endpoint, EndpointKind};
use crate::config_store::{ConfigStore, Installed};
use crate::message::Incarnation;

/// Initial delay before a failed order is retried; it doubles with each further retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay before a failed order is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// A load order with its fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Version of the configuration; an engine refuses a lower version than it has accepted.
    pub version: u64,
    /// Incarnation of the agent.
    pub incarnation: String,
    /// Items to load, such as `model@version` or `model+adapter`.
    pub load: Vec<String>,
}

/// Items that an endpoint is to have loaded; `None` if no placement selects it.
pub fn desired_load(config: &Config, endpoint: &Endpoint) -> Option<Vec<String>> {
    if endpoint.kind != EndpointKind::Engine {
        return None;
    }
    let placements = config.placements.iter().filter(|p| p.endpoints.matches(&endpoint.labels));
    let load: Vec<_> = placements
        .flat_map(|p| {
            let model = format!("{}@{}", p.model, p.model_version);
            let adapters = p.adapters.iter().map(|a| format!("{}+{a}", p.model));
            [model].into_iter().chain(adapters)
        })
        .collect();
    (!load.is_empty()).then_some(load)
}

/// Delay after which an endpoint loads, so that the fleet as a whole stays within the weight
/// store's rate. All agents compute the same order of endpoints, without coordination.
pub fn load_delay(config: &Config, endpoint: &Endpoint) -> Duration {
    let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), config.version);
    let own = rank(&endpoint.name);
    let engines = config.endpoints.iter().filter(|e| desired_load(config, e).is_some());
    let before = engines.filter(|e| rank(&e.name) < own).count();
    Duration::from_secs_f64(before as f64 / config.policy.loads_per_second)
}

/// Sends the load orders of one endpoint.
pub struct Orders {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Client of the endpoint.
    pub client: EndpointClient,
    /// Store of the configuration in force.
    pub store: Arc<ConfigStore>,
    /// Audit trail of changes.
    pub audit: Audit,
}

impl Orders {
    /// Sends an order whenever a new configuration changes the items to load.
    pub async fn run(self) {
        let mut configs = self.store.subscribe();
        let mut loaded: Option<Vec<String>> = None;
        loop {
            configs.borrow_and_update();
            if let Some((installed, load)) = self.current_load()
                && loaded.as_ref() != Some(&load)
            {
                tokio::select! {
                    done = self.load(&installed, load.clone()) => {
                        loaded = done.then_some(load);
                    }
                    // A newer configuration replaces an order that was not yet sent.
                    changed = configs.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        continue;
                    }
                }
            }
            if configs.changed().await.is_err() {
                return;
            }
        }
    }

    fn current_load(&self) -> Option<(Arc<Installed>, Vec<String>)> {
        let installed = self.store.installed()?;
        let load = desired_load(&installed.config, self.endpoint(&installed)?)?;
        Some((installed, load))
    }

    fn endpoint<'a>(&self, installed: &'a Installed) -> Option<&'a Endpoint> {
        let mut endpoints = installed.config.endpoints.iter();
        endpoints.find(|e| e.name == self.endpoint).map(|e| &**e)
    }

    /// Sends an order after the endpoint's delay and retries until the engine accepts or refuses
    /// it; returns whether it was accepted.
    async fn load(&self, installed: &Installed, load: Vec<String>) -> bool {
        let Some(endpoint) = self.endpoint(installed) else {
            return false;
        };
        tokio::time::sleep(load_delay(&installed.config, endpoint)).await;
        let version = installed.config.version;
        let order = Order { version, incarnation: self.incarnation.to_string(), load };
        let mut wait = INITIAL_RETRY_DELAY;
        loop {
            // If this process was suspended, the order may be out of date.
            if self.store.version() > version {
                return false;
            }
            match self.client.order(&order).await {
                OrderOutcome::Accepted => {
                    self.record_order(&order, true);
                    return true;
                }
                OrderOutcome::Refused => {
                    self.record_order(&order, false);
                    return false;
                }
                OrderOutcome::Failed => tokio::time::sleep(wait).await,
            }
            wait = (wait * 2).min(MAX_RETRY_DELAY);
        }
    }

    fn record_order(&self, order: &Order, accepted: bool) {
        let endpoint = self.endpoint.clone();
        let order = format!("version {}: load {}", order.version, order.load.join(", "));
        self.audit.record(Change::OrderGiven { endpoint, order, accepted });
    }
}
