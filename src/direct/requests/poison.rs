//! Requests that end the endpoints which run them: refused as soon as that is known, wherever they stand.

use std::sync::Arc;

use crate::direct::event::{Action, Refused};
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::poison::suspects::{Condemned, KEPT, Suspects};
use crate::direct::poison::{Report, Run};
use crate::direct::requests::Requests;
use crate::direct::requests::request::{Attempt, Phase, Request};
use crate::message::Timestamp;

impl Requests {
    /// What is known of contents under which endpoints ended.
    pub fn set_suspects(&mut self, suspects: Arc<Suspects>) {
        self.suspects = suspects;
    }

    /// What of a request is refused, itself or one of its stages.
    pub(super) fn poison_in(&self, request: &Request) -> Option<Fingerprint> {
        self.suspects.poison_in(request.fingerprint, request.route.stages.len())
    }

    /// Refuses a request that was not begun. It is told to come back when it is forgotten: no earlier time helps.
    pub(super) fn refuse_poison_at_door(
        &mut self,
        caller: u64,
        request: &Request,
        part: Fingerprint,
    ) {
        self.out.push(Action::Poison(Report::Refused(part)));
        self.refuse_with(caller, &request.incoming.id, Refused::Poison, KEPT);
    }

    /// Gives a request up that is known as poison by now; says whether it is.
    pub(super) fn is_refused_as_poison(&mut self, caller: u64, now: Timestamp) -> bool {
        let part = self.requests.get(&caller).and_then(|request| self.poison_in(request));
        let Some(part) = part else {
            return false;
        };
        self.out.push(Action::Poison(Report::Refused(part)));
        self.refuse(caller, Refused::Poison, KEPT, now);
        true
    }

    /// Contents are refused from now on. What waits for its stages or its answer is given up at once: a call that
    /// its endpoint has not begun leaves the queue there with its connection.
    pub fn condemned(&mut self, condemned: &[Condemned], now: Timestamp) {
        if condemned.is_empty() {
            return;
        }
        let waits = self.requests.iter().filter(|(_, r)| r.phase != Phase::Streaming);
        let mut waits: Vec<u64> = waits.map(|(caller, _)| *caller).collect();
        waits.sort_unstable();
        for caller in waits {
            self.is_refused_as_poison(caller, now);
        }
    }

    /// A call is about to be sent: it is the next round of whatever endpoints ended under it before, also in
    /// this very request, where it may not be proved yet.
    pub(super) fn next_round(&self, request: &Request) -> u8 {
        let own = if request.may_have_run > 0 { request.round } else { 0 };
        self.suspects.rounds(request.fingerprint).max(own).saturating_add(1)
    }

    /// A call broke off, or fell silent.
    pub(super) fn report_broken(&mut self, caller: u64, attempt: &Attempt, by_connection: bool) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let run = Run { fingerprint: request.fingerprint, round: request.round };
        self.out.push(Action::Poison(Report::Broke {
            endpoint: attempt.endpoint.clone(),
            runs: vec![run],
            by_connection,
        }));
    }

    /// A request ran to its end.
    pub(super) fn report_survived(&mut self, caller: u64) {
        let fingerprint = self.requests.get(&caller).map(|request| request.fingerprint);
        if let Some(fingerprint) = fingerprint.filter(|f| self.suspects.knows(*f)) {
            self.out.push(Action::Poison(Report::Survived(fingerprint)));
        }
    }
}
