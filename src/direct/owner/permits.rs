//! Endpoints that named a limit: a call goes to one only with a permit, and so does what it need not keep any more.
//!
//! An owner asks when pieces wait that the endpoint could make. What waits and can't have its turn in time is given up.

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

/// Calls are as urgent as anything: who is behind them was decided when their jobs were begun.
const CALLS: u8 = 0;
/// Results that nobody needs run out by themselves: they are freed when nothing else wants its turn, ...
const FREED: u8 = u8::MAX;
/// ... and only with one turn in so many: each call's results freed by themselves would take half of the turns.
const FREED_ONE_IN: f64 = 10.0;
/// An owner waits for so long for its turn before it looks again at what waits.
const WAIT: Duration = Duration::from_secs(1);
/// A permit that is older is not used for a call: it must go out before the permit is void.
const MARGIN: Duration = Duration::from_millis(100);
/// Of the time that a job has, so much may go by until the last of its pieces has its turn.
const TIME_TO_WAIT: f64 = 0.5;

/// What an owner has asked for, has, and was refused.
#[derive(Debug, Default)]
pub(super) struct Permits {
    /// Endpoints for which one is asked for, by what.
    asked: Vec<(Name, Purpose)>,
    /// Permits for calls, and until when they hold.
    given: HashMap<Name, Timestamp>,
    /// When something was last freed.
    freed: HashMap<Name, Timestamp>,
    turns: Turns,
}

impl Permits {
    fn is_asked(&self, endpoint: &Name, purpose: Purpose) -> bool {
        self.asked.iter().any(|(id, asked)| id == endpoint && *asked == purpose)
    }

    /// Forgets endpoints that are not listed any more.
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
    /// What endpoints name.
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

    /// Whether a call may go to an endpoint, as far as its limit goes.
    pub(super) fn is_permitted(&self, endpoint: &Endpoint, now: Timestamp) -> bool {
        let given = self.permits.given.get(&endpoint.id);
        self.limits.rate(endpoint, now).is_none() || given.is_some_and(|u| now + MARGIN < *u)
    }

    /// The permit of a call that is sent.
    pub(super) fn take_permit(&mut self, endpoint: &Endpoint) -> Option<Timestamp> {
        self.permits.given.remove(&endpoint.id)
    }

    /// Asks for permits for the endpoints with limits that could make what waits.
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

    /// A permit was given that holds until a time.
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

    /// A permit was refused: it would be its turn at a time.
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

    /// Asks for permits to tell endpoints with limits what they need not keep.
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

    /// How long so many more pieces of a pool wait until the last of them has its turn, where all its endpoints have
    /// limits; `None` where one has none.
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

    /// How much too late a job's pieces would have their turn, behind what waits already.
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

    /// Gives up the jobs whose pieces wait for a pool and can't have their turn in time, those with the latest deadlines
    /// first.
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
