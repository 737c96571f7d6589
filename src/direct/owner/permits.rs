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
use crate::direct::limits::permits::{Purpose, Wanted};
use crate::direct::limits::turns::Turns;
use crate::direct::owner::jobs::Piece;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{Job, JobId, JobReason};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// Priority of calls, the highest: the priorities of the jobs were taken into account at admission.
const CALLS: u8 = 0;
/// Priority of requests to free results, the lowest: results that are not freed expire.
const FREED: u8 = u8::MAX;
/// Results are freed with at most one in this many turns of an endpoint: freeing those of each call
/// separately would take half of the turns.
const FREED_ONE_IN: f64 = 10.0;
/// Time for which an owner waits for a turn before it checks again what is waiting.
const WAIT: Duration = Duration::from_secs(1);
/// A permit that expires within this time is not used: the call must be sent while its permit is
/// valid.
const MARGIN: Duration = Duration::from_millis(100);
/// Share of the time to a job's deadline that may pass until the last of its pieces has a turn.
const TIME_TO_WAIT: f64 = 0.5;

/// Permits that an owner has asked for, holds or was refused.
#[derive(Debug, Default)]
pub(super) struct Permits {
    /// Pending requests for permits, by endpoint and purpose.
    asked: Vec<(Name, Purpose)>,
    /// Permits held for calls, and when they expire.
    given: HashMap<Name, Timestamp>,
    /// Time when a permit to free results was last asked for, by endpoint.
    freed: HashMap<Name, Timestamp>,
    turns: Turns,
}

impl Permits {
    fn is_asked(&self, endpoint: &Name, purpose: Purpose) -> bool {
        self.asked.iter().any(|(id, asked)| id == endpoint && *asked == purpose)
    }

    /// Forgets endpoints that are no longer listed.
    pub(super) fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.given.retain(|id, _| listed(id));
        self.freed.retain(|id, _| listed(id));
        self.turns.retain(listed);
    }

    fn decided(&mut self, endpoint: &Name, purpose: Purpose) -> bool {
        let before = self.asked.len();
        self.asked.retain(|(id, asked)| id != endpoint || *asked != purpose);
        self.asked.len() < before
    }
}

impl Scheduler {
    /// Replaces the rate limits announced by endpoints, and cancels jobs that can't have a turn in
    /// time.
    pub(super) fn set_limits(&mut self, limits: &Arc<KnownLimits>, table: &Table, now: Timestamp) {
        self.limits = limits.clone();
        for (id, _) in limits.lives() {
            self.makers.look_at(id);
        }
        let pools: Vec<Name> =
            table.deployment.pools.iter().map(|pool| pool.name.clone()).collect();
        for pool in pools {
            self.give_up_beyond_turns(&pool, table, now);
        }
    }

    /// Whether the rate limit of an endpoint, if it has one, allows a call.
    pub(super) fn is_permitted(&self, endpoint: &Endpoint, now: Timestamp) -> bool {
        let given = self.permits.given.get(&endpoint.id);
        self.limits.rate(endpoint, now).is_none() || given.is_some_and(|u| now + MARGIN < *u)
    }

    /// Takes the permit for a call that is being sent.
    pub(super) fn take_permit(&mut self, endpoint: &Endpoint) -> Option<Timestamp> {
        self.permits.given.remove(&endpoint.id)
    }

    /// Asks for permits for rate-limited endpoints that could run waiting pieces.
    pub(super) fn ask_permits(&mut self, table: &Table, now: Timestamp) {
        if self.limits.is_empty() {
            return;
        }
        let limits = self.limits.clone();
        for (id, incarnation) in limits.lives() {
            let endpoint = table.endpoint(id).filter(|e| e.incarnation == incarnation);
            let Some(endpoint) = endpoint.filter(|e| self.wants_permit(e, table, now)) else {
                continue;
            };
            self.want(endpoint.clone(), Purpose::Pieces, CALLS);
        }
    }

    fn wants_permit(&self, endpoint: &Arc<Endpoint>, table: &Table, now: Timestamp) -> bool {
        let id = &endpoint.id;
        let has_work = |pool: &Name| {
            let is_free = table.batch(pool).is_some_and(|s| self.standing(id, s, now).is_free);
            is_free && self.ledger.get(pool).is_some_and(|pool| !pool.queue.is_empty())
        };
        self.limits.rate(endpoint, now).is_some()
            && !endpoint.leaving
            && !self.is_permitted(endpoint, now)
            && !self.permits.is_asked(id, Purpose::Pieces)
            && self.permits.turns.turn(endpoint, CALLS, now).is_none()
            && self.backoffs.until(endpoint, now).is_none()
            && self.calls_endpoint(endpoint, table)
            && table.batch_pools_of(id).any(has_work)
    }

    fn want(&mut self, endpoint: Arc<Endpoint>, purpose: Purpose, priority: u8) {
        self.permits.asked.push((endpoint.id.clone(), purpose));
        self.out.push(Action::RequestPermit(Wanted { endpoint, purpose, priority, wait: WAIT }));
    }

    /// Handles a permit that is valid until `until`.
    pub(super) fn permit_given(
        &mut self,
        endpoint: &Arc<Endpoint>,
        purpose: Purpose,
        until: Timestamp,
        table: &Table,
    ) {
        if !self.permits.decided(&endpoint.id, purpose) {
            return;
        }
        if purpose == Purpose::Free {
            let freed = self.to_free.remove(&endpoint.id);
            let permit = Some(until);
            let free =
                freed.map(|(endpoint, handles)| Action::FreeResults { endpoint, handles, permit });
            return self.out.extend(free);
        }
        self.permits.given.insert(endpoint.id.clone(), until);
        self.makers.look_at(&endpoint.id);
        self.dirty.extend(table.batch_pools_of(&endpoint.id).cloned());
    }

    /// Handles the refusal of a permit; its turn would be at `turn`.
    pub(super) fn permit_refused(
        &mut self,
        endpoint: &Endpoint,
        purpose: Purpose,
        priority: u8,
        turn: Timestamp,
    ) {
        if self.permits.decided(&endpoint.id, purpose) {
            self.permits.turns.refused(endpoint, priority, turn);
        }
    }

    /// Asks for permits to free results at rate-limited endpoints.
    pub(super) fn free_with_permits(&mut self, now: Timestamp) {
        if self.limits.is_empty() {
            return;
        }
        let limited = self.to_free.values().map(|(endpoint, _)| endpoint);
        let limited = limited.filter(|endpoint| self.may_be_told_what_is_free(endpoint, now));
        let limited: Vec<_> = limited.cloned().collect();
        for endpoint in limited {
            self.permits.freed.insert(endpoint.id.clone(), now);
            self.want(endpoint, Purpose::Free, FREED);
        }
    }

    fn may_be_told_what_is_free(&self, endpoint: &Endpoint, now: Timestamp) -> bool {
        let Some(rate) = self.limits.rate(endpoint, now) else {
            return false;
        };
        let rest = Duration::try_from_secs_f64(FREED_ONE_IN / rate.as_per_second());
        let rest = rest.unwrap_or(Duration::MAX);
        let last = self.permits.freed.get(&endpoint.id);
        last.is_none_or(|last| now >= last.saturating_add(rest))
            && !self.permits.is_asked(&endpoint.id, Purpose::Free)
            && self.permits.turns.turn(endpoint, FREED, now).is_none()
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
        let spec = table.batch(pool)?;
        let members = table.members(pool).iter().filter(|e| !e.leaving);
        let own = members.filter(|e| self.calls_endpoint(e, table));
        let rates: Option<Vec<f64>> =
            own.map(|e| Some(self.limits.rate(e, now)?.as_per_second())).collect();
        let calls_per_second: f64 = rates.filter(|rates| !rates.is_empty())?.iter().sum();
        let calls = (more as f64 / spec.pieces as f64).ceil();
        Some(Duration::try_from_secs_f64(calls / calls_per_second).unwrap_or(Duration::MAX))
    }

    /// Time by which a job's pieces would have their turns too late, behind those that wait
    /// already; `None` if they are in time.
    pub(super) fn too_late_for_turns(
        &self,
        job: &Job,
        table: &Table,
        now: Timestamp,
    ) -> Option<Duration> {
        if self.limits.is_empty() {
            return None;
        }
        let patience = job.to_deadline.mul_f64(TIME_TO_WAIT);
        let waits = job.stages.iter().filter(|s| s.pieces > s.done.len()).filter_map(|stage| {
            let before = self.ledger.get(&stage.pool).map_or(0, |pool| pool.queue.pieces());
            self.wait_for_turns(&stage.pool, before + stage.pieces, table, now)
        });
        waits.max().filter(|wait| *wait > patience).map(|wait| wait.saturating_sub(patience))
    }

    /// Cancels the jobs whose pieces wait for a pool and can't have a turn before their deadlines;
    /// turns are assigned in the order of deadlines.
    fn give_up_beyond_turns(&mut self, pool: &Name, table: &Table, now: Timestamp) {
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
                    self.tell_given_up(id, JobReason::NoEndpoint, false, wait);
                }
            }
        }
    }
}
