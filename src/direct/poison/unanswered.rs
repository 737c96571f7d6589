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

use crate::direct::poison::suspects::SuspectUpdate;
use crate::direct::poison::{Run, Unanswered};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// How long to wait for proof. The entry of a crashed endpoint is removed within three of its
/// heartbeats, 3.6 s, and peers report the crash at most 2 s later.
const PROOF_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a call that this gateway cancelled still counts as running at its endpoint. The
/// endpoint drops it when it notices that the connection closed, and a poison request that has
/// started crashes its endpoint within a few hundred milliseconds.
const CANCELLED_VALIDITY: Duration = Duration::from_secs(1);
/// Maximum number of runs that are remembered for one endpoint; bounds memory. An endpoint runs 32
/// to 64 at once, from all gateways together.
const MAX_RUNS: usize = 128;
/// Maximum number of endpoints with unanswered calls; bounds memory.
const MAX_ENDPOINTS: usize = 1_024;

/// Whether an endpoint is being probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    Idle,
    Sent,
    /// Another call failed since the probe was sent, so its result may be outdated.
    SentAndOutdated,
}

/// How the list entry of an endpoint compares with the incarnation that was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListEntry {
    /// Listed, same incarnation.
    Same,
    /// Leaving, or removed without a sign of a crash: its calls may be aborted as planned.
    Leaving,
    /// Listed with another incarnation.
    AnotherIncarnation,
}

fn list_entry(endpoint: &Endpoint, table: &Table) -> ListEntry {
    match table.endpoint(&endpoint.id) {
        Some(now) if now.incarnation != endpoint.incarnation => ListEntry::AnotherIncarnation,
        Some(now) if !now.leaving => ListEntry::Same,
        _ => ListEntry::Leaving,
    }
}

/// Endpoint that crashed, with what this gateway had running there.
#[derive(Debug)]
pub struct CrashedEndpoint {
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
    Crashed(CrashedEndpoint),
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
pub struct UnansweredCalls {
    calls: BTreeMap<(Name, u64), Calls>,
}

impl UnansweredCalls {
    /// Records that a call was not answered while `runs` were running at the endpoint.
    pub fn record(
        &mut self,
        endpoint: &Arc<Endpoint>,
        runs: &[Run],
        how: Unanswered,
        table: &Table,
        now: Timestamp,
    ) -> Verdict {
        let key = (endpoint.id.clone(), endpoint.incarnation);
        let entry = list_entry(endpoint, table);
        let is_known = self.calls.contains_key(&key);
        if !is_known && (entry == ListEntry::Leaving || self.calls.len() >= MAX_ENDPOINTS) {
            return Verdict::Wait;
        }
        let calls = self.calls.entry(key).or_insert_with(|| Calls {
            endpoint: endpoint.clone(),
            runs: Vec::new(),
            probe: Probe::Idle,
            proof: None,
            until: now,
        });
        calls.until = calls.until.max(now + PROOF_TIMEOUT);
        if entry == ListEntry::AnotherIncarnation {
            calls.proof.get_or_insert("another life");
        }
        if let Some(proof) = calls.proof {
            let (endpoint, runs) = (endpoint.clone(), runs.to_vec());
            return Verdict::Crashed(CrashedEndpoint { endpoint, runs, proof });
        }
        let valid_for = if how == Unanswered::GivenUp { CANCELLED_VALIDITY } else { PROOF_TIMEOUT };
        calls.runs.retain(|(_, until)| now < *until);
        let free = MAX_RUNS.saturating_sub(calls.runs.len());
        calls.runs.extend(runs.iter().take(free).map(|run| (*run, now + valid_for)));
        match (how, calls.probe) {
            (Unanswered::Broken, Probe::Idle) => {
                calls.probe = Probe::Sent;
                Verdict::Probe(endpoint.clone())
            }
            (Unanswered::Broken, _) => {
                calls.probe = Probe::SentAndOutdated;
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
        if calls.probe == Probe::SentAndOutdated {
            calls.probe = Probe::Sent;
            return Verdict::Probe(calls.endpoint.clone());
        }
        calls.probe = Probe::Idle;
        Verdict::Wait
    }

    /// Applies crashes reported by other gateways; returns those of endpoints with unanswered calls
    /// from here.
    pub fn crashes_reported(
        &mut self,
        received: &[SuspectUpdate],
        now: Timestamp,
    ) -> Vec<CrashedEndpoint> {
        if self.calls.is_empty() {
            return Vec::new();
        }
        let crashes = received.iter().flat_map(|update| &update.suspect.crashes);
        let incarnations = crashes.map(|crash| (crash.endpoint.clone(), crash.incarnation));
        incarnations.filter_map(|incarnation| self.prove(&incarnation, "told", now)).collect()
    }

    fn prove(
        &mut self,
        key: &(Name, u64),
        proof: &'static str,
        now: Timestamp,
    ) -> Option<CrashedEndpoint> {
        let calls = self.calls.get_mut(key)?;
        calls.proof.get_or_insert(proof);
        let runs = std::mem::take(&mut calls.runs).into_iter();
        let runs: Vec<Run> = runs.filter(|(_, until)| now < *until).map(|(run, _)| run).collect();
        let endpoint = calls.endpoint.clone();
        (!runs.is_empty()).then_some(CrashedEndpoint { endpoint, runs, proof })
    }

    /// Checks endpoints whose entries changed; returns those that have crashed.
    pub fn entries_changed(
        &mut self,
        ids: &[Name],
        table: &Table,
        is_gone: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Vec<CrashedEndpoint> {
        if self.calls.is_empty() {
            return Vec::new();
        }
        let ids: HashSet<&Name> = ids.iter().collect();
        let changed = self.calls.iter().filter(|((id, _), _)| ids.contains(id));
        let changed = changed.map(|(key, calls)| (key.clone(), calls.endpoint.clone()));
        let changed: Vec<_> = changed.collect();
        let mut crashed = Vec::new();
        for (key, endpoint) in changed {
            let proof = match list_entry(&endpoint, table) {
                _ if is_gone(&endpoint.id) => "entry gone",
                ListEntry::AnotherIncarnation => "another life",
                ListEntry::Same => continue,
                ListEntry::Leaving => {
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
    pub fn expire(&mut self, now: Timestamp) {
        self.calls.retain(|_, calls| now < calls.until);
    }
}
