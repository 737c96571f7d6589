//! Stages of requests: submission to their owner, progress, and failover to the next owner.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::event::{Action, Refused};
use crate::direct::log_events::LogEvent;
use crate::direct::peers::members::Members;
use crate::direct::peers::message::{Job, JobId, JobReason, JobStage, PeerMessage, StoredResult};
use crate::direct::published::model::Name;
use crate::direct::published::table::Table;
use crate::direct::requests::choice::Unplaced;
use crate::direct::requests::durations::Span;
use crate::direct::requests::request::{Phase, Request};
use crate::direct::requests::{RETRY_SOON, Requests, Timer};
use crate::message::Timestamp;

/// Time after which an owner that has not decided on stages is skipped.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// Lateness of a timer from which on the process is assumed to have been suspended, so that answers
/// may still wait to be read.
const MAX_TIMER_LATENESS: Duration = Duration::from_millis(40);
/// Maximum number of owners that are asked.
pub(super) const MAX_OWNERS: usize = 3;

/// Why an owner refused or cancelled a job.
#[derive(Debug, Clone, Copy)]
pub struct CancelledJob {
    /// Reason for the refusal or cancellation.
    pub reason: JobReason,
    /// Whether no part of the job was started.
    pub not_started: bool,
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
}

impl Requests {
    /// Submits the stages of a request to the owner of a cell near its probable endpoint.
    pub(super) fn submit_stages(
        &mut self,
        caller: u64,
        members: &Members,
        table: &Table,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        // Results are sent to where the request will probably run. A request without a suitable
        // endpoint is refused before its stages run.
        let place = match self.choose(request, table, now) {
            Ok(choice) => choice.endpoint.data_centre.clone(),
            // The endpoint becomes available before the shortest possible run of the stages ends.
            Err(Unplaced::AllPaused { min_wait } | Unplaced::AllLimited { min_wait })
                if min_wait < min_stages_time(request, table) =>
            {
                self.data_centre.clone()
            }
            Err(unplaced) => return self.refuse_unplaced(caller, unplaced, now),
        };
        self.owners.update(members, table);
        let cell = self.cell_for(caller, &place, table);
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let owner = self.owners.owner_of(&cell, &request.skipped_owners);
        let tried = request.skipped_owners.len();
        let Some(owner) = owner.filter(|_| tried < MAX_OWNERS) else {
            let (reason, retry_after) = match self.stopping {
                Some(_) => (Refused::Draining, self.retry_elsewhere_after()),
                None => (Refused::NoEndpoint, RETRY_SOON),
            };
            return self.refuse(caller, reason, retry_after, now);
        };
        let resubmitted = request.may_have_started();
        request.phase = Phase::Stages {
            owner: owner.address,
            incarnation: owner.incarnation,
            submitted: now,
            accepted: false,
        };
        request.holds_results = true;
        request.owner = Some(owner.address);
        let job = build_job(request, resubmitted, place, now);
        self.by_job.insert(request.job, caller);
        let timer = Timer::OwnerDecision(tried as u32);
        self.timers.insert((now + OWNER_TIMEOUT, caller, timer));
        self.out.push(Action::Log(LogEvent::StagesSubmitted {
            request: request.incoming.id.clone(),
            owner: owner.address,
            cell,
            resubmitted,
        }));
        let message = PeerMessage::Submit(Box::new(job));
        self.out.push(Action::Send { to: owner.address, message });
    }

    /// Messages to or from this owner may be lost: submits the jobs that it has again, and it
    /// answers with their state.
    pub fn resubmit_jobs(&mut self, owner: SocketAddr) {
        self.pending_resubmissions.extend(self.callers_where(|r| r.is_with_owner(owner)));
    }

    /// Submits a job again to the owner that has it.
    pub(super) fn resubmit(&mut self, caller: u64, now: Timestamp) {
        let data_centre = self.data_centre.clone();
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let Phase::Stages { owner, .. } = request.phase else {
            return;
        };
        let job = build_job(request, true, data_centre, now);
        let message = PeerMessage::Submit(Box::new(job));
        self.out.push(Action::Send { to: owner, message });
    }

    /// The request of a job, if this owner is its current one.
    pub(super) fn job(&mut self, job: JobId, from: SocketAddr) -> Option<(u64, &mut Request)> {
        let caller = *self.by_job.get(&job)?;
        let request = self.requests.get_mut(&caller)?;
        let is_owner = matches!(request.phase, Phase::Stages { owner, .. } if owner == from);
        is_owner.then_some((caller, request))
    }

    /// An owner has started a job.
    pub fn job_accepted(&mut self, job: JobId, from: SocketAddr) {
        if let Some((_, request)) = self.job(job, from) {
            if let Phase::Stages { accepted, .. } = &mut request.phase {
                *accepted = true;
            }
        } else {
            self.out.push(Action::Send { to: from, message: PeerMessage::Release(job) });
        }
    }

    /// A stage of a job is done.
    pub fn stage_done(
        &mut self,
        job: JobId,
        from: SocketAddr,
        stage: usize,
        results: Vec<StoredResult>,
    ) {
        if let Some((_, request)) = self.job(job, from)
            && let Some(slot) = request.results.get_mut(stage)
        {
            *slot = results;
        }
    }

    /// All stages of a job are done.
    pub fn stages_ready(&mut self, job: JobId, from: SocketAddr, table: &Table, now: Timestamp) {
        let Some((caller, request)) = self.job(job, from) else {
            return;
        };
        if !request.has_all_results() {
            // A message was lost; the next owner continues with the results received so far.
            self.out.push(Action::Send { to: from, message: PeerMessage::Release(job) });
            return self.skip_owner(caller, from);
        }
        request.phase = Phase::Running;
        let (route, arrived) = (request.route.name.clone(), request.arrived);
        if let Some(took) = self.elapsed_since(arrived, now) {
            self.durations.record(&route, Span::Stages, 1, took);
        }
        self.dispatch(caller, table, now);
    }

    /// An owner refused or cancelled a job.
    pub fn job_cancelled(
        &mut self,
        job: JobId,
        from: SocketAddr,
        cancelled: CancelledJob,
        table: &Table,
        now: Timestamp,
    ) {
        let CancelledJob { reason, not_started, retry_after } = cancelled;
        let Some((caller, request)) = self.job(job, from) else {
            return;
        };
        let id = request.incoming.id.clone();
        if not_started && request.results.iter().all(Vec::is_empty) {
            request.holds_results = false;
        }
        self.out.push(Action::Log(LogEvent::StagesGivenUp {
            request: id,
            reason: format!("{reason:?}"),
        }));
        if not_started && self.try_another_cell(caller, reason, retry_after, table, now) {
            return self.pending_submissions.push(caller);
        }
        match reason {
            JobReason::NotOwner => self.skip_owner(caller, from),
            JobReason::NoEndpoint => self.refuse(caller, Refused::NoEndpoint, retry_after, now),
            JobReason::DeadlinePassed => self.refuse(caller, Refused::TimedOut, RETRY_SOON, now),
            _ if self.refuse_if_poison(caller, now) => {}
            _ => {
                self.retry_jitter.owner_refused(caller, reason);
                self.refuse(caller, Refused::Overloaded, retry_after, now);
            }
        }
    }

    /// Has the stages submitted to the next owner.
    pub(super) fn skip_owner(&mut self, caller: u64, owner: SocketAddr) {
        if let Some(request) = self.requests.get_mut(&caller) {
            request.skipped_owners.push(owner);
            self.pending_submissions.push(caller);
        }
    }

    /// An owner failed: its jobs are submitted to other owners.
    pub fn owner_removed(&mut self, address: SocketAddr, incarnation: u64) {
        self.peer_lags.remove(&address);
        let with_owner = self.callers_where(|r| {
            let owner_incarnation = match r.phase {
                Phase::Stages { incarnation, .. } => Some(incarnation),
                _ => None,
            };
            r.is_with_owner(address) && owner_incarnation == Some(incarnation)
        });
        for caller in with_owner {
            self.skip_owner(caller, address);
        }
    }

    /// The owner's decision was due at `at`.
    pub(super) fn owner_timed_out(
        &mut self,
        caller: u64,
        asked: u32,
        at: Timestamp,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let Phase::Stages { owner, submitted, accepted: false, .. } = request.phase else {
            return;
        };
        if request.skipped_owners.len() as u32 != asked {
            return;
        }
        let until = submitted + OWNER_TIMEOUT + self.owner_timeout_extension(owner, now);
        if now < until {
            // The owner is overloaded, not failed; another owner would run the same stages again.
            self.timers.insert((until, caller, Timer::OwnerDecision(asked)));
            return;
        }
        if now > at + MAX_TIMER_LATENESS {
            let timer = Timer::OwnerDecision(asked);
            self.timers.insert((now + OWNER_TIMEOUT, caller, timer));
            return;
        }
        let message = PeerMessage::Release(request.job);
        self.out.push(Action::Send { to: owner, message });
        self.skip_owner(caller, owner);
    }
}

/// Minimum duration of a request's stages: the calls on the longest path of the stage graph.
fn min_stages_time(request: &Request, table: &Table) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(request.route.stages.len());
    for (stage, spec) in request.route.stages.iter().enumerate() {
        let begins = spec.after.iter().filter_map(|&after| ends.get(after)).max().copied();
        let has_pieces = request.incoming.pieces.get(stage).is_some_and(|&pieces| pieces > 0);
        let call = table
            .batch_spec(&spec.pool)
            .filter(|_| has_pieces)
            .map_or(Duration::ZERO, |b| b.call_overhead);
        ends.push(begins.unwrap_or_default() + call);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// The job for the stages of a request, with the results that are already there.
fn build_job(request: &Request, resubmitted: bool, data_centre: Name, now: Timestamp) -> Job {
    let specs = request.route.stages.iter().enumerate();
    let stages = specs.map(|(i, spec)| JobStage {
        pool: spec.pool.clone(),
        after: spec.after.clone(),
        result_bytes: spec.result_bytes,
        pieces: request.incoming.pieces.get(i).copied().unwrap_or_default(),
        done: request.results[i].clone(),
    });
    let objective = request.arrived + request.route.objective;
    Job {
        id: request.job,
        request: request.incoming.id.clone(),
        cell: request.cells.last().cloned().unwrap_or_else(|| "".into()),
        route: request.route.name.clone(),
        stages: stages.collect(),
        key: request.incoming.piece_key.clone(),
        to_objective: objective.saturating_sub(now),
        to_deadline: request.deadline.saturating_sub(now),
        after_stages: request.expected_start(),
        priority: request.priority,
        data_centre,
        allowed_regions: request.allowed_regions.clone(),
        resubmitted,
        fingerprint: request.fingerprint,
        organisation: request.organisation.clone(),
    }
}
