//! Tracks unanswered calls until it is known whether their endpoint crashed.
//!
//! A failed connection proves nothing: connections are reset, and responses are aborted by
//! endpoints that keep running. So the endpoint is probed: a closed port proves that its process
//! has ended. If a probe is inconclusive, since the endpoint has restarted by then or does not
//! respond at all, the list of endpoints may provide the proof: an entry that is removed within the
//! next seconds, or that shows another incarnation.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::direct::poison::suspects::Account;
use crate::direct::poison::{Run, Unanswered};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// How long to wait for proof. The entry of a crashed endpoint is removed within three of its
/// heartbeats, 3.6 s, and peers report the crash at most 2 s later.
const WAITS_FOR_PROOF: Duration = Duration::from_secs(6);
/// How long a call that this gateway cancelled still counts as running at its endpoint. The
/// endpoint drops it when it notices that the connection closed, and a poison request that has
/// started crashes its endpoint within a few hundred milliseconds.
const GIVEN_UP_COUNTS: Duration = Duration::from_secs(1);
/// Maximum number of runs that are remembered for one endpoint; bounds memory. An endpoint runs 32
/// to 64 at once, from all gateways together.
const MOST_RUNS: usize = 128;
/// Maximum number of endpoints with unanswered calls; bounds memory.
const MOST_ENDPOINTS: usize = 1_024;

/// Whether an endpoint is being probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    No,
    Out,
    /// Another call failed since the probe was sent, so its result may be outdated.
    OutAndAgain,
}

/// How the list entry of an endpoint compares with the incarnation that was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listed {
    /// Listed, same incarnation.
    Same,
    /// Leaving, or removed without a sign of a crash: its calls may be aborted as planned.
    Leaving,
    /// Listed with another incarnation.
    AnotherLife,
}

fn listed(endpoint: &Endpoint, table: &Table) -> Listed {
    match table.endpoint(&endpoint.id) {
        Some(now) if now.incarnation != endpoint.incarnation => Listed::AnotherLife,
        Some(now) if !now.leaving => Listed::Same,
        _ => Listed::Leaving,
    }
}

/// Endpoint that crashed, with what this gateway had running there.
#[derive(Debug)]
pub struct Crashed {
    /// The endpoint, in the incarnation that crashed.
    pub endpoint: Arc<Endpoint>,
    /// What was running there.
    pub runs: Vec<Run>,
    /// What proved the crash: `port closed`, `another life`, `entry gone`, or `told` (by a
    /// gateway).
    pub proof: &'static str,
}

/// What to do about an unanswered call.
#[derive(Debug)]
pub enum Verdict {
    /// The endpoint crashed.
    Crashed(Crashed),
    /// Probe the endpoint.
    Probe(Arc<Endpoint>),
    /// Nothing: proof is awaited, or there is nothing to prove.
    Wait,
}

#[derive(Debug)]
struct Calls {
    endpoint: Arc<Endpoint>,
    /// What was running there, each with the time until which it counts.
    runs: Vec<(Run, Timestamp)>,
    probe: Probe,
    /// What proved the crash, once it is known; calls reported later then count at once.
    proof: Option<&'static str>,
    until: Timestamp,
}

/// Unanswered calls of one gateway, by the incarnation that was called.
#[derive(Debug, Default)]
pub struct Broken {
    calls: BTreeMap<(Name, u64), Calls>,
}

impl Broken {
    /// Records that a call was not answered while `runs` were running at the endpoint.
    pub fn unanswered(
        &mut self,
        endpoint: &Arc<Endpoint>,
        runs: &[Run],
        how: Unanswered,
        table: &Table,
        now: Timestamp,
    ) -> Verdict {
        let key = (endpoint.id.clone(), endpoint.incarnation);
        let standing = listed(endpoint, table);
        let is_known = self.calls.contains_key(&key);
        if !is_known && (standing == Listed::Leaving || self.calls.len() >= MOST_ENDPOINTS) {
            return Verdict::Wait;
        }
        let calls = self.calls.entry(key).or_insert_with(|| Calls {
            endpoint: endpoint.clone(),
            runs: Vec::new(),
            probe: Probe::No,
            proof: None,
            until: now,
        });
        calls.until = calls.until.max(now + WAITS_FOR_PROOF);
        if standing == Listed::AnotherLife {
            calls.proof.get_or_insert("another life");
        }
        if let Some(proof) = calls.proof {
            let (endpoint, runs) = (endpoint.clone(), runs.to_vec());
            return Verdict::Crashed(Crashed { endpoint, runs, proof });
        }
        let counts_for = if how == Unanswered::GivenUp { GIVEN_UP_COUNTS } else { WAITS_FOR_PROOF };
        calls.runs.retain(|(_, until)| now < *until);
        let room = MOST_RUNS.saturating_sub(calls.runs.len());
        calls.runs.extend(runs.iter().take(room).map(|run| (*run, now + counts_for)));
        match (how, calls.probe) {
            (Unanswered::Broken, Probe::No) => {
                calls.probe = Probe::Out;
                Verdict::Probe(endpoint.clone())
            }
            (Unanswered::Broken, _) => {
                calls.probe = Probe::OutAndAgain;
                Verdict::Wait
            }
            (Unanswered::Silent | Unanswered::GivenUp, _) => Verdict::Wait,
        }
    }

    /// Handles the result of a probe. An open port shows that the endpoint was up at that time; it
    /// may have crashed since.
    pub fn probed(
        &mut self,
        endpoint: &Name,
        incarnation: u64,
        is_closed: bool,
        now: Timestamp,
    ) -> Verdict {
        let key = (endpoint.clone(), incarnation);
        if is_closed {
            return self.prove(&key, "port closed", now).map_or(Verdict::Wait, Verdict::Crashed);
        }
        let Some(calls) = self.calls.get_mut(&key) else {
            return Verdict::Wait;
        };
        if calls.probe == Probe::OutAndAgain {
            calls.probe = Probe::Out;
            return Verdict::Probe(calls.endpoint.clone());
        }
        calls.probe = Probe::No;
        Verdict::Wait
    }

    /// Applies crashes reported by other gateways; returns those of endpoints with unanswered calls
    /// from here.
    pub fn told(&mut self, accounts: &[Account], now: Timestamp) -> Vec<Crashed> {
        if self.calls.is_empty() {
            return Vec::new();
        }
        let crashes = accounts.iter().flat_map(|account| &account.crashes);
        let lives = crashes.map(|crash| (crash.endpoint.clone(), crash.incarnation));
        lives.filter_map(|life| self.prove(&life, "told", now)).collect()
    }

    fn prove(&mut self, key: &(Name, u64), proof: &'static str, now: Timestamp) -> Option<Crashed> {
        let calls = self.calls.get_mut(key)?;
        calls.proof.get_or_insert(proof);
        let runs = std::mem::take(&mut calls.runs).into_iter();
        let runs: Vec<Run> = runs.filter(|(_, until)| now < *until).map(|(run, _)| run).collect();
        let endpoint = calls.endpoint.clone();
        (!runs.is_empty()).then_some(Crashed { endpoint, runs, proof })
    }

    /// Checks endpoints whose entries changed; returns those that have crashed.
    pub fn changed(
        &mut self,
        ids: &[Name],
        table: &Table,
        is_gone: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Vec<Crashed> {
        if self.calls.is_empty() {
            return Vec::new();
        }
        let ids: HashSet<&Name> = ids.iter().collect();
        let changed = self.calls.iter().filter(|((id, _), _)| ids.contains(id));
        let changed = changed.map(|(key, calls)| (key.clone(), calls.endpoint.clone()));
        let changed: Vec<_> = changed.collect();
        let mut crashed = Vec::new();
        for (key, endpoint) in changed {
            let proof = match listed(&endpoint, table) {
                _ if is_gone(&endpoint.id) => "entry gone",
                Listed::AnotherLife => "another life",
                Listed::Same => continue,
                Listed::Leaving => {
                    // An endpoint that announces its departure has not crashed.
                    self.calls.remove(&key);
                    continue;
                }
            };
            crashed.extend(self.prove(&key, proof, now));
        }
        crashed
    }

    /// Removes calls for which no proof was found in time.
    pub fn forget(&mut self, now: Timestamp) {
        self.calls.retain(|_, calls| now < calls.until);
    }
}
