//! Stand-in for the platform: a read-only configuration and a list of hosts.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use stackmast::config::Config;
use stackmast::config::parts::{MANIFEST_KEY, MAX_PART_LEN, PART_PREFIX, PartsError, split};
use stackmast::platform::{Host, HostList};

use crate::serve::{Answer, Call, Handler, json, unframed, whole};

/// Response behaviour of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// Responds without delay.
    #[default]
    Up,
    /// Responds with errors.
    Down,
    /// Responds after this delay.
    Slow(Duration),
    /// Responds to paths that contain this text without a length or chunks, and closes the
    /// connection after half of the value, like a process that crashes there.
    CutUnframed(&'static str),
    /// Responds with the configuration before the last publication.
    Stale,
}

#[derive(Debug, Default)]
struct State {
    values: HashMap<String, Bytes>,
    stale: HashMap<String, Bytes>,
    hosts: HostList,
    mode: Mode,
}

/// A stand-in for the platform.
#[derive(Debug, Default)]
pub struct Platform {
    state: Mutex<State>,
    calls: AtomicU64,
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a configuration.
    pub fn publish(&self, config: &Config) -> Result<(), PartsError> {
        let bundle = split(config)?;
        let manifest = serde_json::to_vec(&bundle.manifest).unwrap_or_default();
        let mut state = self.state();
        state.stale = state.values.clone();
        for (digest, part) in bundle.parts {
            assert!(
                part.len() <= MAX_PART_LEN,
                "part exceeds the maximum value size of the platform"
            );
            state.values.insert(format!("{PART_PREFIX}{digest}"), part);
        }
        state.values.insert(MANIFEST_KEY.to_owned(), Bytes::from(manifest));
        Ok(())
    }

    /// Replaces the list of hosts.
    pub fn list_hosts(&self, hosts: Vec<Host>) {
        let mut state = self.state();
        let revision = state.hosts.revision + 1;
        state.hosts = HostList { revision, hosts };
    }

    /// Sets the response behaviour.
    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

impl Handler for Platform {
    async fn handle(&self, call: Call) -> Answer {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mode = self.state().mode;
        match mode {
            Mode::Down => return whole(StatusCode::SERVICE_UNAVAILABLE, ""),
            Mode::Slow(time) => tokio::time::sleep(time).await,
            Mode::Up | Mode::CutUnframed(_) | Mode::Stale => {}
        }
        let state = self.state();
        let path = call.uri().path();
        if path == "/v1/hosts" {
            return json(&state.hosts);
        }
        let values = if mode == Mode::Stale { &state.stale } else { &state.values };
        let value = path.strip_prefix("/v1/values/").and_then(|key| values.get(key));
        match (value, mode) {
            (Some(value), Mode::CutUnframed(text)) if path.contains(text) => {
                unframed(value.slice(..value.len() / 2))
            }
            (Some(value), _) => whole(StatusCode::OK, value.clone()),
            (None, _) => whole(StatusCode::NOT_FOUND, ""),
        }
    }
}
