//! Selection of the engine from which another one fetches the shared parts of a prompt.
//!
//! An engine lacks the whole shared prompt if it is not the first choice by hash of the last shared
//! part. At the first choice, a new part may follow one that many prompts begin with, and that this
//! engine has not read yet.
//!
//! Both run the same software version: the memory that one version writes does not fit another one.
//!
//! The source only saves time: an engine that can't reach it, or does not find the parts there,
//! reads them itself.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::Action;
use crate::direct::log_events::{LoadEvent, LogEvent};
use crate::direct::published::model::Endpoint;
use crate::direct::published::regions::region_of;
use crate::direct::published::software::version_of;
use crate::direct::published::table::Table;
use crate::direct::requests::Requests;
use crate::direct::requests::request::{PromptRead, Request};
use crate::message::Timestamp;
use crate::policy::place::hash_weight;

/// Minimum time to read the shared parts for which they are fetched: a fetch waits for others on
/// the link of its source, so callers would not save time on shorter parts.
const MIN_READ_TIME: Duration = Duration::from_millis(10);

/// An engine that has the shared parts of a prompt that another one lacks.
struct Source {
    endpoint: Arc<Endpoint>,
    tokens: u64,
}

impl Requests {
    /// Records that a prompt is sent to an engine. Returns what the engine does with it, and the
    /// engine from which it fetches the shared parts.
    pub(super) fn prepare_prompt(
        &mut self,
        caller: u64,
        endpoint: &Endpoint,
        table: &Table,
        now: Timestamp,
    ) -> (Option<PromptRead>, Option<SocketAddr>) {
        let Some(request) = self.requests.get(&caller) else {
            return (None, None);
        };
        let Some(part) = self.part_to_fetch(request, table).map(ToOwned::to_owned) else {
            return (None, None);
        };
        let (shared, own) = request.prompt_tokens();
        let lacks_part = self.lacks_part(request, &part, endpoint, table, now);
        let source = if lacks_part {
            self.source(request, &part, endpoint, table, now)
        } else {
            self.last_source(request, &part, endpoint, table, now)
        };
        let tokens = if lacks_part { shared + own } else { own };
        if let Some(source) = &source {
            self.out.push(Action::Log(LogEvent::Load(LoadEvent::PromptFetch {
                request: request.incoming.id.clone(),
                endpoint: endpoint.id.clone(),
                source: source.endpoint.id.clone(),
                tokens: source.tokens,
            })));
        }
        self.engines.loads.sent(endpoint, now);
        // Other requests are not to follow one that may crash its engine.
        if self.isolation_key(request).is_none() {
            let common = request.common_prompt_part().map(|(common, _)| common);
            for part in [Some(&*part), common].into_iter().flatten() {
                self.engines.parts.sent(part, endpoint, now);
            }
        }
        let prompt = PromptRead { tokens, fetches: source.is_some() };
        (Some(prompt), source.map(|source| source.endpoint.address))
    }

    /// Whether an engine probably lacks a shared part: this gateway did not send it there recently,
    /// and the engine is not the first choice by hash, or was empty a short time ago.
    fn lacks_part(
        &self,
        request: &Request,
        part: &str,
        endpoint: &Endpoint,
        table: &Table,
        now: Timestamp,
    ) -> bool {
        if self.engines.parts.last_sent(part, endpoint, now).is_some() {
            return false;
        }
        let own_weight = hash_weight(&endpoint.id, part);
        let precedes = |e: &&Arc<Endpoint>| {
            hash_weight(&e.id, part) > own_weight && self.is_usable(request, e, table, now)
        };
        self.engines.parts.was_emptied(&endpoint.id, now)
            || table.pool_endpoints(&request.pool).iter().any(|e| precedes(&e))
    }

    /// Whether an engine accepts the prompts that belong there by hash.
    fn is_usable(
        &self,
        request: &Request,
        endpoint: &Endpoint,
        table: &Table,
        now: Timestamp,
    ) -> bool {
        let cold_start = table.pool(&request.pool).and_then(|pool| pool.cold);
        !endpoint.leaving
            && request.may_run_at(endpoint)
            && !self.observations.is_avoided(endpoint, now)
            && !self.cold.is_cold(&endpoint.id, now)
            && self.unavailability_for_all(endpoint, cold_start, now).is_none()
    }

    /// The engine from which the shared parts are fetched: the one that this gateway last sent them
    /// to, or else the first or second choice by hash. It is in the region of the engine that
    /// fetches them.
    fn source(
        &self,
        request: &Request,
        part: &str,
        receiver: &Endpoint,
        table: &Table,
        now: Timestamp,
    ) -> Option<Source> {
        let (tokens, _) = request.prompt_tokens();
        if !self.is_worth_fetching(request, tokens) {
            return None;
        }
        let mut candidates = self.source_candidates(request, receiver, table, now);
        candidates.sort_by_cached_key(|e| Reverse(hash_weight(&e.id, part)));
        let by_hash = || {
            let mut preferred = candidates.iter().take(2);
            preferred.find(|e| {
                version_of(e) == version_of(receiver) && !self.engines.parts.was_emptied(&e.id, now)
            })
        };
        let last_holder = self.last_holder(&candidates, part, receiver, now);
        let endpoint = Arc::clone(last_holder.or_else(by_hash)?);
        Some(Source { endpoint, tokens })
    }

    /// The engine from which the first choice by hash of `part` fetches that part or those before
    /// it, if this gateway sent neither there recently: the one that it last sent them to.
    fn last_source(
        &self,
        request: &Request,
        part: &str,
        receiver: &Endpoint,
        table: &Table,
        now: Timestamp,
    ) -> Option<Source> {
        let (shared, _) = request.prompt_tokens();
        let common = request.common_prompt_part();
        let parts = [Some((part, shared)), common].into_iter().flatten();
        let has = |part: &str| self.engines.parts.last_sent(part, receiver, now).is_some();
        if parts.clone().any(|(part, _)| has(part)) {
            return None;
        }
        let candidates = self.source_candidates(request, receiver, table, now);
        let mut worth_fetching =
            parts.filter(|(_, tokens)| self.is_worth_fetching(request, *tokens));
        worth_fetching.find_map(|(part, tokens)| {
            let endpoint = Arc::clone(self.last_holder(&candidates, part, receiver, now)?);
            Some(Source { endpoint, tokens })
        })
    }

    /// Whether callers would wait longer for these tokens to be read than to be fetched.
    fn is_worth_fetching(&self, request: &Request, tokens: u64) -> bool {
        self.engines.read_times.time_for(&request.pool, tokens) >= MIN_READ_TIME
    }

    /// The engines that can be the source of another one: usable and in its region.
    fn source_candidates<'a>(
        &self,
        request: &Request,
        receiver: &Endpoint,
        table: &'a Table,
        now: Timestamp,
    ) -> Vec<&'a Arc<Endpoint>> {
        let is_candidate = |e: &&Arc<Endpoint>| {
            e.id != receiver.id
                && region_of(e) == region_of(receiver)
                && self.is_usable(request, e, table, now)
        };
        table.pool_endpoints(&request.pool).iter().filter(is_candidate).collect()
    }

    /// The engine to which this gateway last sent a part, of those with the receiver's version.
    fn last_holder<'a, 'b>(
        &self,
        candidates: &'a [&'b Arc<Endpoint>],
        part: &str,
        receiver: &Endpoint,
        now: Timestamp,
    ) -> Option<&'a &'b Arc<Endpoint>> {
        let sent = |e: &Endpoint| self.engines.parts.last_sent(part, e, now);
        let compatible = candidates.iter().filter(|e| version_of(e) == version_of(receiver));
        compatible.filter(|e| sent(e).is_some()).max_by_key(|e| sent(e))
    }

    /// The engine of a call has read the prompt: its first event arrived.
    pub(super) fn prompt_read(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let Some(attempt) = request.attempt.as_mut() else {
            return;
        };
        let (pool, ordered_at) = (request.pool.clone(), attempt.ordered_at);
        let Some(prompt) = attempt.prompt.take() else {
            return;
        };
        if prompt.fetches {
            crate::metrics::prompt_fetched("started");
        } else if let Some(took) = self.elapsed_since(ordered_at, now) {
            self.engines.read_times.record(&pool, prompt.tokens, took);
        }
    }
}
