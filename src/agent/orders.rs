//! Orders to an engine: each agent derives its own endpoint's from the configuration.
//!
//! No process gives orders for another, so none has to agree with one. Each order carries a fence
//! (configuration version, then incarnation), by which an engine that checks refuses an older one.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::endpoint::{EndpointClient, OrderAnswer};
use crate::audit::{Audit, Change};
use crate::config::{Config, Endpoint, EndpointKind};
use crate::config_store::{ConfigStore, Installed};
use crate::message::Incarnation;

/// An order that can't be given is given again after this time; each further one after twice as long.
const RETRY_FIRST: Duration = Duration::from_millis(200);
/// The longest wait before an order is given again.
const RETRY_LONGEST: Duration = Duration::from_secs(10);

/// An order to load, with its fence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The configuration's version; an engine refuses one lower than it has taken.
    pub version: u64,
    /// The agent's incarnation.
    pub incarnation: String,
    /// What is to be loaded, such as `model@version` or `model+adapter`.
    pub load: Vec<String>,
}

/// What an endpoint is to have loaded; `None` where no placement is for it.
pub fn desired(config: &Config, endpoint: &Endpoint) -> Option<Vec<String>> {
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

/// When an endpoint loads, so that the fleet together stays within the weight store's rate: each agent
/// finds its place in the same line, which no two have to agree on.
pub fn turn(config: &Config, endpoint: &Endpoint) -> Duration {
    let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), config.version);
    let own = rank(&endpoint.name);
    let engines = config.endpoints.iter().filter(|e| desired(config, e).is_some());
    let before = engines.filter(|e| rank(&e.name) < own).count();
    Duration::from_secs_f64(before as f64 / config.policy.loads_per_second)
}

/// Gives the orders of one endpoint.
pub struct Orders {
    /// The endpoint's name.
    pub endpoint: String,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Where orders go.
    pub client: EndpointClient,
    /// The configuration.
    pub store: Arc<ConfigStore>,
    /// The trail of changes.
    pub audit: Audit,
}

impl Orders {
    /// Gives an order whenever the configuration changes what is to be loaded.
    pub async fn run(self) {
        let mut configs = self.store.subscribe();
        let mut loaded: Option<Vec<String>> = None;
        loop {
            configs.borrow_and_update();
            if let Some((installed, load)) = self.wanted()
                && loaded.as_ref() != Some(&load)
            {
                tokio::select! {
                    done = self.load(&installed, load.clone()) => {
                        loaded = done.then_some(load);
                    }
                    // A newer configuration takes the place of what was not yet ordered.
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

    fn wanted(&self) -> Option<(Arc<Installed>, Vec<String>)> {
        let installed = self.store.installed()?;
        let load = desired(&installed.config, self.endpoint(&installed)?)?;
        Some((installed, load))
    }

    fn endpoint<'a>(&self, installed: &'a Installed) -> Option<&'a Endpoint> {
        let mut endpoints = installed.config.endpoints.iter();
        endpoints.find(|e| e.name == self.endpoint).map(|e| &**e)
    }

    /// Gives an order in its turn, until the engine has taken or refused it; returns whether it took it.
    async fn load(&self, installed: &Installed, load: Vec<String>) -> bool {
        let Some(endpoint) = self.endpoint(installed) else {
            return false;
        };
        tokio::time::sleep(turn(&installed.config, endpoint)).await;
        let version = installed.config.version;
        let order = Order { version, incarnation: self.incarnation.to_string(), load };
        let mut wait = RETRY_FIRST;
        loop {
            // After a pause of this process, the order may be one of yesterday.
            if self.store.version() > version {
                return false;
            }
            match self.client.order(&order).await {
                OrderAnswer::Taken => {
                    self.note(&order, true);
                    return true;
                }
                OrderAnswer::Refused => {
                    self.note(&order, false);
                    return false;
                }
                OrderAnswer::Failed => tokio::time::sleep(wait).await,
            }
            wait = (wait * 2).min(RETRY_LONGEST);
        }
    }

    fn note(&self, order: &Order, accepted: bool) {
        let endpoint = self.endpoint.clone();
        let order = format!("version {}: load {}", order.version, order.load.join(", "));
        self.audit.record(Change::OrderGiven { endpoint, order, accepted });
    }
}
