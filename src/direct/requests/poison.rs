//! Refusal of requests that crash the endpoints which run them, in every phase.

use std::sync::Arc;

use crate::direct::event::{Action, Refused};
use crate::direct::log_events::{LogEvent, PoisonEvent};
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::poison::suspects::{Quarantined, RETENTION, Suspects};
use crate::direct::poison::{Run, RunReport, SURVIVAL_TIME, SubjectKind, Unanswered};
use crate::direct::published::model::Name;
use crate::direct::requests::failure::STATUS_DEADLINE_PASSED;
use crate::direct::requests::request::{Attempt, Phase, Request};
use crate::direct::requests::{Requests, Timer};
use crate::message::Timestamp;

/// Why a request is poison.
#[derive(Debug, Clone)]
pub(super) struct FoundPoison {
    /// The quarantined fingerprint.
    fingerprint: Fingerprint,
    /// Id of the part of the prompt that it identifies; `None` for the content or a stage.
    prompt_part: Option<String>,
}

impl Requests {
    /// Sets the fingerprints of requests under which endpoints crashed.
    pub fn set_suspects(&mut self, suspects: Arc<Suspects>) {
        self.suspects = suspects;
    }

    /// What is quarantined of a request, its stages or the shared parts of its prompt, if anything.
    pub(super) fn find_poison(&self, request: &Request) -> Option<FoundPoison> {
        if !self.suspects.has_poison() {
            return None;
        }
        let content = self.suspects.poison_in(request.fingerprint, request.route.stages.len());
        if let Some(fingerprint) = content {
            return Some(FoundPoison { fingerprint, prompt_part: None });
        }
        let part = |id| (id, Fingerprint::of_prompt_part(id));
        let mut parts = request.shared_prompt_parts().map(part);
        let (id, fingerprint) = parts.find(|(_, part)| self.suspects.is_poison(*part))?;
        Some(FoundPoison { fingerprint, prompt_part: Some(id.to_owned()) })
    }

    /// Reports that a request is refused as poison, to the core and to operators.
    fn report_poison(&mut self, request: Name, found: FoundPoison) {
        let FoundPoison { fingerprint, prompt_part } = found;
        self.out.push(Action::PoisonReport(RunReport::Refused(fingerprint)));
        self.out.push(Action::Log(LogEvent::Poison(PoisonEvent::PoisonFound {
            request,
            fingerprint: fingerprint.to_string(),
            prompt_part,
        })));
    }

    /// Refuses a new request as poison. Its caller should retry when the quarantine expires; an
    /// earlier retry would be refused again.
    pub(super) fn refuse_poison_on_arrival(
        &mut self,
        caller: u64,
        request: &Request,
        found: FoundPoison,
    ) {
        self.report_poison(request.incoming.id.clone(), found);
        self.refuse_new(caller, &request.incoming.id, Refused::Poison, RETENTION);
    }

    /// Refuses a request if it is quarantined by now; returns whether it is.
    pub(super) fn refuse_if_poison(&mut self, caller: u64, now: Timestamp) -> bool {
        let Some(request) = self.requests.get(&caller) else {
            return false;
        };
        let Some(found) = self.find_poison(request) else {
            return false;
        };
        self.report_poison(request.incoming.id.clone(), found);
        self.refuse(caller, Refused::Poison, RETENTION, now);
        true
    }

    /// Fingerprints were quarantined. Refuses matching requests that wait for their stages or an
    /// answer. Closing the connection also removes calls that the endpoint has queued but not
    /// started.
    pub fn quarantined(&mut self, quarantined: &[Quarantined], now: Timestamp) {
        if quarantined.is_empty() {
            return;
        }
        for caller in self.callers_where(|r| r.phase != Phase::Streaming) {
            self.refuse_if_poison(caller, now);
        }
    }

    /// The runs of a call that is about to be sent: of the content, and of each shared part of the
    /// prompt.
    pub(super) fn runs_of_next_call(&self, request: &Request) -> Vec<Run> {
        let run = |kind, fingerprint, depth| {
            let round = self.next_round(request, fingerprint);
            Run { kind, fingerprint, depth, round, alone: true }
        };
        let content = run(SubjectKind::Content, request.fingerprint, 0);
        let parts = request.shared_prompt_parts().map(Fingerprint::of_prompt_part);
        let parts = parts.zip(0..=u8::MAX);
        let parts = parts.map(|(part, depth)| run(SubjectKind::PromptPart, part, depth));
        [content].into_iter().chain(parts).collect()
    }

    /// The crash round of a run that is about to be sent: one more than the number of rounds in
    /// which endpoints crashed so far. Includes crashes under this request that may not be confirmed
    /// yet.
    fn next_round(&self, request: &Request, fingerprint: Fingerprint) -> u8 {
        let previous = if request.uncertain_attempts > 0 { &request.runs[..] } else { &[] };
        let own = previous.iter().find(|run| run.fingerprint == fingerprint);
        let own = own.map_or(0, |run| run.round);
        self.suspects.rounds(fingerprint).max(own).saturating_add(1)
    }

    /// Placement key of a request under which an endpoint may have crashed; isolates it from other
    /// requests. Without it all requests of the crashed endpoint, including the poison request,
    /// would move to the same next endpoint, since they share prompt prefixes and the same view of
    /// the load. In 200 random schedules 52 innocent requests of some 235,000 were refused without
    /// this, and 4 with it.
    pub(super) fn isolation_key(&self, request: &Request) -> Option<String> {
        let is_isolated =
            request.uncertain_attempts > 0 || self.suspects.is_suspect(request.fingerprint);
        is_isolated.then(|| request.fingerprint.to_string())
    }

    /// A call ended without a response. The parts of its prompt are not the cause if the endpoint
    /// had been writing for long enough.
    pub(super) fn report_unanswered(
        &mut self,
        caller: u64,
        attempt: &Attempt,
        how: Unanswered,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let has_survived = attempt.has_survived(now);
        let may_be_cause = |run: &&Run| run.kind == SubjectKind::Content || !has_survived;
        self.out.push(Action::PoisonReport(RunReport::Unanswered {
            endpoint: attempt.endpoint.clone(),
            runs: request.runs.iter().filter(may_be_cause).copied().collect(),
            how,
        }));
    }

    /// Cancels the open call, if there is one.
    pub(super) fn cancel_attempt(&mut self, caller: u64, now: Timestamp) {
        if let Some(attempt) = self.close_attempt(caller) {
            self.out.push(Action::CancelAttempt { caller, attempt: attempt.number });
            // A crash may have ended an answer whose end was not confirmed yet.
            let is_ended = attempt.unconfirmed_end.is_some();
            let how = if is_ended { Unanswered::Broken } else { Unanswered::GivenUp };
            self.report_unanswered(caller, &attempt, how, now);
        }
    }

    /// A request was answered by the call `attempt`. Only a success shows that the endpoint wrote an
    /// answer on the prompt.
    pub(super) fn report_answered(&mut self, caller: u64, attempt: &Attempt, status: u16) {
        if status == STATUS_DEADLINE_PASSED {
            return;
        }
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        self.out.push(Action::PoisonReport(RunReport::Succeeded(request.fingerprint)));
        if (200..300).contains(&status) {
            self.report_survival(caller, attempt.began_at.unwrap_or(attempt.ordered_at));
        }
    }

    /// An endpoint began to write an answer. If a part of the prompt is suspect, the endpoint's
    /// survival is checked later.
    pub(super) fn writing_began(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let Some(attempt) = request.attempt.as_mut().filter(|a| a.began_at.is_none()) else {
            return;
        };
        attempt.began_at = Some(now);
        let number = attempt.number;
        if self.has_suspect_part(caller) {
            self.timers.insert((now + SURVIVAL_TIME, caller, Timer::Survival(number)));
        }
    }

    /// The endpoint of an attempt has not crashed for long enough after it began to write.
    pub(super) fn survived(&mut self, caller: u64, attempt: u64) {
        let open = self.requests.get(&caller).and_then(|request| request.attempt.as_ref());
        let is_writing = |a: &&Attempt| a.number == attempt && a.unconfirmed_end.is_none();
        if let Some(began_at) = open.filter(is_writing).and_then(|a| a.began_at) {
            self.report_survival(caller, began_at);
        }
    }

    fn report_survival(&mut self, caller: u64, began_at: Timestamp) {
        if self.has_suspect_part(caller)
            && let Some(request) = self.requests.get(&caller)
        {
            let parts = request.shared_prompt_parts().map(Fingerprint::of_prompt_part).collect();
            self.out.push(Action::PoisonReport(RunReport::Survived { parts, began_at }));
        }
    }

    fn has_suspect_part(&self, caller: u64) -> bool {
        let is_suspect = |id| self.suspects.is_suspect(Fingerprint::of_prompt_part(id));
        !self.suspects.is_empty()
            && self.requests.get(&caller).is_some_and(|r| r.shared_prompt_parts().any(is_suspect))
    }
}
