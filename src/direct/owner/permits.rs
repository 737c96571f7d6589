//! Permits for endpoints that announced a rate limit: each call and each request to free results
//! needs one.
//!
//! An owner asks for a permit when pieces wait that the endpoint could run. Jobs whose pieces can't
//! have a turn in time are cancelled.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::Action;
use crate::direct::limits::known::KnownLimits;
use crate::direct::limits::permits::{NeededPermit, Purpose};
use crate::direct::limits::retry_times::RetryTimes;
use crate::direct::owner::jobs::Piece;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{Job, JobId, JobReason};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// Priority of calls, the highest: the priorities of the jobs were taken into account at admission.
const CALL_PRIORITY: u8 = 0;
/// Priority of requests to free results, the lowest: results that are not freed expire.
const FREE_PRIORITY: u8 = u8::MAX;
/// Results are freed with at most one in this many turns of an endpoint: freeing those of each call
/// separately would take half of the turns.
const TURNS_PER_FREE: f64 = 10.0;
/// Time for which an owner waits for a turn before it checks again what is waiting.
const TURN_WAIT: Duration = Duration::from_secs(1);
/// A permit that expires within this time is not used: the call must be sent while its permit is
/// valid.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);
/// Share of the time to a job's deadline that may pass until the last of its pieces has a turn.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Permits that an owner has asked for, holds or was refused.
#[derive(Debug, Default)]
pub(super) struct Permits {
    /// Pending requests for permits, by endpoint and purpose.
    pending: Vec<(Name, Purpose)>,
    /// Permits held for calls, and when they expire.
    granted: HashMap<Name, Timestamp>,
    /// Time when a permit to free results was last asked for, by endpoint.
    last_free: HashMap<Name, Timestamp>,
    turns: RetryTimes,
}

impl Permits {
    fn is_pending(&self, endpoint: &Name, purpose: Purpose) -> bool {
        self.pending.iter().any(|(id, asked)| id == endpoint && *asked == purpose)
    }

    /// Forgets endpoints that are no longer listed.
    pub(super) fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.granted.retain(|id, _| listed(id));
        self.last_free.retain(|id, _| listed(id));
        self.turns.retain(listed);
    }

    /// Removes a pending request; returns whether there was one.
    fn remove_pending(&mut self, endpoint: &Name, purpose: Purpose) -> bool {
        let before = self.pending.len();
        self.pending.retain(|(id, asked)| id != endpoint || *asked != purpose);
        self.pending.len() < before
    }
}

impl Scheduler {
    /// Replaces the rate limits announced by endpoints, and cancels jobs that can't have a turn in
    /// time.
    pub(super) fn set_limits(&mut self, limits: &Arc<KnownLimits>, table: &Table, now: Timestamp) {
        self.limits = limits.clone();
        for (id, _) in limits.incarnations() {
            self.producers.mark_changed(id);
        }
        let pools: Vec<Name> =
            table.deployment.pools.iter().map(|pool| pool.name.clone()).collect();
        for pool in pools {
            self.cancel_beyond_turns(&pool, table, now);
        }
    }

    /// Whether the rate limit of an endpoint, if it has one, allows a call.
    pub(super) fn is_permitted(&self, endpoint: &Endpoint, now: Timestamp) -> bool {
        let granted = self.permits.granted.get(&endpoint.id);
        self.limits.rate(endpoint, now).is_none()
            || granted.is_some_and(|u| now + EXPIRY_MARGIN < *u)
    }

    /// Takes the permit for a call that is being sent.
    pub(super) fn take_permit(&mut self, endpoint: &Endpoint) -> Option<Timestamp> {
        self.permits.granted.remove(&endpoint.id)
    }

    /// Asks for permits for rate-limited endpoints that could run waiting pieces.
    pub(super) fn ask_permits(&mut self, table: &Table, now: Timestamp) {
        if self.limits.is_empty() {
            return;
        }
        let limits = self.limits.clone();
        for (id, incarnation) in limits.incarnations() {
            let endpoint = table.endpoint(id).filter(|e| e.incarnation == incarnation);
            let Some(endpoint) = endpoint.filter(|e| self.needs_permit(e, table, now)) else {
                continue;
            };
            self.ask_permit(endpoint.clone(), Purpose::Pieces, CALL_PRIORITY);
        }
    }

    /// Whether a permit is needed for an endpoint that could run waiting pieces.
    fn needs_permit(&self, endpoint: &Arc<Endpoint>, table: &Table, now: Timestamp) -> bool {
        let id = &endpoint.id;
        let has_work = |pool: &Name| {
            let is_free = table.batch_spec(pool).is_some_and(|s| self.state_of(id, s, now).is_free);
            is_free && self.ledger.get(pool).is_some_and(|pool| !pool.queue.is_empty())
        };
        self.limits.rate(endpoint, now).is_some()
            && !endpoint.leaving
            && !self.is_permitted(endpoint, now)
            && !self.permits.is_pending(id, Purpose::Pieces)
            && self.permits.turns.earliest(endpoint, CALL_PRIORITY, now).is_none()
            && self.backoffs.paused_until(endpoint, now).is_none()
            && self.calls_endpoint(endpoint, table)
            && table.batch_pools_of(id).any(has_work)
    }

    fn ask_permit(&mut self, endpoint: Arc<Endpoint>, purpose: Purpose, priority: u8) {
        self.permits.pending.push((endpoint.id.clone(), purpose));
        self.out.push(Action::RequestPermit(NeededPermit {
            endpoint,
            purpose,
            priority,
            wait: TURN_WAIT,
        }));
    }

    /// Handles a permit that is valid until `until`.
    pub(super) fn permit_granted(
        &mut self,
        endpoint: &Arc<Endpoint>,
        purpose: Purpose,
        until: Timestamp,
        table: &Table,
    ) {
        if !self.permits.remove_pending(&endpoint.id, purpose) {
            return;
        }
        if purpose == Purpose::Free {
            let freed = self.to_free.remove(&endpoint.id);
            let permit = Some(until);
            let free =
                freed.map(|(endpoint, handles)| Action::FreeResults { endpoint, handles, permit });
            return self.out.extend(free);
        }
        self.permits.granted.insert(endpoint.id.clone(), until);
        self.producers.mark_changed(&endpoint.id);
        self.dirty.extend(table.batch_pools_of(&endpoint.id).cloned());
    }

    /// Handles the refusal of a permit; the next turn for `priority` is at `turn`.
    pub(super) fn permit_refused(
        &mut self,
        endpoint: &Endpoint,
        purpose: Purpose,
        priority: u8,
        turn: Timestamp,
    ) {
        if self.permits.remove_pending(&endpoint.id, purpose) {
            self.permits.turns.record(endpoint, priority, turn);
        }
    }

    /// Asks for permits to free results at rate-limited endpoints.
    pub(super) fn free_with_permits(&mut self, now: Timestamp) {
        if self.limits.is_empty() {
            return;
        }
        let limited = self.to_free.values().map(|(endpoint, _)| endpoint);
        let limited = limited.filter(|endpoint| self.may_free_results(endpoint, now));
        let limited: Vec<_> = limited.cloned().collect();
        for endpoint in limited {
            self.permits.last_free.insert(endpoint.id.clone(), now);
            self.ask_permit(endpoint, Purpose::Free, FREE_PRIORITY);
        }
    }

    /// Whether it is time to ask for a permit to free results at an endpoint.
    fn may_free_results(&self, endpoint: &Endpoint, now: Timestamp) -> bool {
        let Some(rate) = self.limits.rate(endpoint, now) else {
            return false;
        };
        let interval = Duration::try_from_secs_f64(TURNS_PER_FREE / rate.as_per_second());
        let interval = interval.unwrap_or(Duration::MAX);
        let last = self.permits.last_free.get(&endpoint.id);
        last.is_none_or(|last| now >= last.saturating_add(interval))
            && !self.permits.is_pending(&endpoint.id, Purpose::Free)
            && self.permits.turns.earliest(endpoint, FREE_PRIORITY, now).is_none()
    }

    /// Time until the last of `more` pieces of a pool has a turn, if all its endpoints have rate
    /// limits; `None` if one has none.
    fn wait_for_turns(
        &self,
        pool: &Name,
        more: usize,
        table: &Table,
        now: Timestamp,
    ) -> Option<Duration> {
        let spec = table.batch_spec(pool)?;
        let members = table.pool_endpoints(pool).iter().filter(|e| !e.leaving);
        let own = members.filter(|e| self.calls_endpoint(e, table));
        let rates: Option<Vec<f64>> =
            own.map(|e| Some(self.limits.rate(e, now)?.as_per_second())).collect();
        let calls_per_second: f64 = rates.filter(|rates| !rates.is_empty())?.iter().sum();
        let calls = (more as f64 / spec.pieces as f64).ceil();
        Some(Duration::try_from_secs_f64(calls / calls_per_second).unwrap_or(Duration::MAX))
    }

    /// Time by which a job's pieces would have their turns too late, behind those that wait
    /// already; `None` if they are in time.
    pub(super) fn excess_turn_wait(
        &self,
        job: &Job,
        table: &Table,
        now: Timestamp,
    ) -> Option<Duration> {
        if self.limits.is_empty() {
            return None;
        }
        let wait_limit = job.to_deadline.mul_f64(MAX_WAIT_SHARE);
        let waits = job.stages.iter().filter(|s| s.pieces > s.done.len()).filter_map(|stage| {
            let before = self.ledger.get(&stage.pool).map_or(0, |pool| pool.queue.pieces());
            self.wait_for_turns(&stage.pool, before + stage.pieces, table, now)
        });
        waits.max().filter(|wait| *wait > wait_limit).map(|wait| wait.saturating_sub(wait_limit))
    }

    /// Cancels the jobs whose pieces wait for a pool and can't have a turn before their deadlines;
    /// turns are assigned in the order of deadlines.
    fn cancel_beyond_turns(&mut self, pool: &Name, table: &Table, now: Timestamp) {
        if self.wait_for_turns(pool, 1, table, now).is_none() {
            return;
        }
        let mut waiting: Vec<(Timestamp, JobId, usize)> = self
            .jobs
            .iter()
            .map(|(id, run)| {
                let stages = run.job.stages.iter().zip(&run.stages);
                let stages = stages.filter(|(spec, _)| spec.pool == *pool);
                let pieces = stages.flat_map(|(_, stage)| &stage.pieces);
                let waits = |p: &&Piece| matches!(p, Piece::Waiting { .. });
                (run.deadline, *id, pieces.filter(waits).count())
            })
            .filter(|(_, _, pieces)| *pieces > 0)
            .collect();
        waiting.sort_unstable();
        let mut before = 0;
        for (deadline, id, pieces) in waiting {
            let wait = self.wait_for_turns(pool, before + pieces, table, now);
            match wait.filter(|wait| now.saturating_add(*wait) > deadline) {
                None => before += pieces,
                Some(wait) => {
                    self.release(id, table);
                    self.send_given_up(id, JobReason::NoEndpoint, false, wait);
                }
            }
        }
    }
}
