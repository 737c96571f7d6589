//! Calls that were not answered, until it is known whether their endpoint crashed.
//!
//! A broken connection proves nothing: connections are reset, and answers break off at endpoints that live on. So
//! the endpoint is probed: a closed port proves that its process is gone. What a probe can't tell, since
//! the endpoint was back by then or answers nobody, the list of endpoints may: an entry that goes within the next
//! seconds, or tells of another life.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::direct::poison::suspects::Account;
use crate::direct::poison::{Run, Unanswered};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// An entry of an endpoint that crashed goes within three of its heartbeats, 3.6 s, and is heard of from peers at
/// the latest in 2 s more.
const WAITS_FOR_PROOF: Duration = Duration::from_secs(6);
/// What was given up here counts as having been there for so long: its endpoint drops it when it sees the
/// connection close, and one that has begun the poison crashes within a few hundred milliseconds.
const GIVEN_UP_COUNTS: Duration = Duration::from_secs(1);
/// Contents that are remembered of one endpoint's calls; bounds memory. An endpoint runs 32 to 64 at once, from all
/// gateways together.
const MOST_RUNS: usize = 128;
/// Endpoints that are waited for at most; bounds memory.
const MOST_ENDPOINTS: usize = 1_024;

/// Whether an endpoint is being probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    No,
    Out,
    /// Another call broke meanwhile: what the probe finds may be older.
    OutAndAgain,
}

/// What an endpoint's list entry says of a life that a call broke at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listed {
    /// It is there as it was.
    Same,
    /// It said that it leaves, or is gone without a sign of a crash: its calls may break off as planned.
    Leaving,
    /// Another life is there.
    AnotherLife,
}

fn listed(endpoint: &Endpoint, table: &Table) -> Listed {
    match table.endpoint(&endpoint.id) {
        Some(now) if now.incarnation != endpoint.incarnation => Listed::AnotherLife,
        Some(now) if !now.leaving => Listed::Same,
        _ => Listed::Leaving,
    }
}

/// An endpoint that crashed, with what ran there as far as this gateway knows.
#[derive(Debug)]
pub struct Crashed {
    /// The life that crashed.
    pub endpoint: Arc<Endpoint>,
    /// What ran there.
    pub runs: Vec<Run>,
    /// What proved it.
    pub proof: &'static str,
}

/// What follows from a call that was not answered.
#[derive(Debug)]
pub enum Verdict {
    /// Its endpoint crashed.
    Crashed(Crashed),
    /// Its endpoint is to be probed.
    Probe(Arc<Endpoint>),
    /// It is waited for proof, or there is nothing to prove.
    Wait,
}

#[derive(Debug)]
struct Calls {
    endpoint: Arc<Endpoint>,
    /// What ran there, and until when that counts.
    runs: Vec<(Run, Timestamp)>,
    probe: Probe,
    /// It is known that it crashed: calls that are heard of later count at once.
    proof: Option<&'static str>,
    until: Timestamp,
}

/// The unanswered calls of one gateway, by the lives of endpoints.
#[derive(Debug, Default)]
pub struct Broken {
    calls: BTreeMap<(Name, u64), Calls>,
}

impl Broken {
    /// A call was not answered while all this was at the endpoint.
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

    /// An endpoint was probed. One whose port is open lived on then; it may have crashed since.
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

    /// Other gateways tell under what endpoints crashed; names those of them at which calls were not answered here.
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

    /// Entries of endpoints changed: names those that crashed.
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
                    // Whoever says that it leaves lives.
                    self.calls.remove(&key);
                    continue;
                }
            };
            crashed.extend(self.prove(&key, proof, now));
        }
        crashed
    }

    /// Forgets calls that have waited for proof for long enough.
    pub fn forget(&mut self, now: Timestamp) {
        self.calls.retain(|_, calls| now < calls.until);
    }
}
