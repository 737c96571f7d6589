//! Endpoints of the fleet: the work they receive, their crashes, and the events at the gateways.

use std::collections::BTreeSet;
use std::sync::Arc;

use stackmast::direct::answers::{BatchOutcome, CallFailure, PieceOutcome};
use stackmast::direct::event::{CallParams, Event, PieceParams};
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::model::{Endpoint, Name};

use super::super::position;
use super::{Content, Fleet, Gateway, Running, SimEvent, Work};
use crate::directenv::gateway::good;

impl Fleet {
    pub(super) fn call(&mut self, gateway: usize, caller: u64, attempt: u64, params: &CallParams) {
        let contents = BTreeSet::from([self.callers[&caller].content]);
        let poison = contents.iter().find(|content| content.crashes_engines()).copied();
        let work = Work::Request { caller, attempt };
        self.reach(gateway, &params.endpoint, work, contents, poison);
    }

    pub(super) fn batch(
        &mut self,
        gateway: usize,
        call: u64,
        endpoint: &Endpoint,
        pieces: &[PieceParams],
    ) {
        let contents = pieces.iter().map(|piece| {
            let caller: u64 = piece.request.parse().expect("a caller");
            self.callers[&caller].content
        });
        let contents: BTreeSet<Content> = contents.collect();
        let poison = contents.iter().find(|c| matches!(c, Content::StagePoison(_))).copied();
        self.stats.shared_calls += usize::from(poison.is_some() && contents.len() > 1);
        let work = Work::Batch { call, pieces: pieces.len() };
        self.reach(gateway, endpoint, work, contents, poison);
    }

    pub(super) fn reach(
        &mut self,
        gateway: usize,
        to: &Endpoint,
        work: Work,
        contents: BTreeSet<Content>,
        poison: Option<Content>,
    ) {
        let Gateway { incarnation, in_touch_from, .. } = self.gateways[gateway];
        let arrives = self.time.now + self.time.time_in(1, 4);
        let running = Running { gateway, incarnation, work, contents };
        if let Some(content) = poison.filter(|_| in_touch_from <= self.time.now) {
            self.reached.entry(content).or_default().push(self.time.now);
        }
        let begin = SimEvent::Begin(to.id.clone(), to.incarnation, running, poison);
        self.time.at(arrives, begin);
    }

    pub(super) fn begin(
        &mut self,
        id: &Name,
        incarnation: u64,
        running: Running,
        poison: Option<Content>,
    ) {
        let is_there = self.endpoints.get(id).is_some_and(|e| e.incarnation == incarnation);
        if self.down.contains(id) || !is_there {
            return self.answer(&running, Some(CallFailure::NotSent));
        }
        self.time.next += 1;
        let number = self.time.next;
        self.running.entry(id.clone()).or_default().insert(number, running);
        if poison.is_some() {
            let at = self.time.now + self.time.time_in(10, 200);
            self.time.at(at, SimEvent::Crash(vec![id.clone()], poison, incarnation));
        } else {
            let at = self.time.now + self.time.time_in(50, 700);
            self.time.at(at, SimEvent::Finish(id.clone(), incarnation, number));
        }
    }

    pub(super) fn finish(&mut self, id: &Name, incarnation: u64, number: u64) {
        if self.endpoints.get(id).is_none_or(|e| e.incarnation != incarnation) {
            return;
        }
        if let Some(running) = self.running.get_mut(id).and_then(|r| r.remove(&number)) {
            self.answer(&running, None);
        }
    }

    /// Reports to a gateway that its call ended, with success or a failure.
    pub(super) fn answer(&mut self, running: &Running, failure: Option<CallFailure>) {
        let event = match (&running.work, failure) {
            (Work::Request { caller, attempt }, Some(failure)) => {
                Event::CallFailed { caller: *caller, attempt: *attempt, failure }
            }
            (Work::Request { caller, attempt }, None) => {
                let (caller, attempt) = (*caller, *attempt);
                Event::Answered { caller, attempt, proof: good(), is_open: false }
            }
            (Work::Batch { call, .. }, Some(failure)) => {
                Event::BatchEnded { call: *call, outcome: BatchOutcome::Failed(failure) }
            }
            (Work::Batch { call, pieces }, None) => {
                let made = |n| PieceOutcome::Made(format!("{call}-{n}").as_str().into());
                let outcome = BatchOutcome::Pieces((0..*pieces).map(made).collect());
                Event::BatchEnded { call: *call, outcome }
            }
        };
        let at = self.time.now + self.time.time_in(1, 5);
        self.time.at(at, SimEvent::Event(running.gateway, running.incarnation, Box::new(event)));
    }

    pub(super) fn crash(&mut self, id: &Name, content: Option<Content>, incarnation: u64) {
        let is_there = self.endpoints.get(id).is_some_and(|e| e.incarnation == incarnation);
        if !is_there || !self.down.insert(id.clone()) {
            return;
        }
        match content {
            Some(content) => self.crashes.entry(content).or_default().push(self.time.now),
            None => self.stats.other_crashes += 1,
        }
        let ended = self.running.remove(id).unwrap_or_default();
        let contents: BTreeSet<Content> =
            ended.values().flat_map(|running| &running.contents).copied().collect();
        for content in contents {
            *self.crashed_under.entry(content).or_default() += 1;
        }
        for running in ended.into_values() {
            self.answer(&running, Some(CallFailure::Broken));
        }
        let lapses = self.time.now + self.time.time_in(1_200, 3_600);
        self.time.at(lapses, SimEvent::Lapse(id.clone(), incarnation));
        let back = self.time.now + self.time.time_in(1_000, 5_000);
        self.time.at(back, SimEvent::Back(id.clone()));
    }

    pub(super) fn lapse(&mut self, id: &Name, incarnation: u64) {
        if self.endpoints.get(id).is_none_or(|e| e.incarnation != incarnation) {
            return;
        }
        self.revision += 1;
        let (revision, document) = (self.revision, Document::Removed(id.clone()));
        let gone = Revised { position: position(revision), created_revision: 0, document };
        self.entered.insert(id.clone(), gone);
        self.spread();
    }

    /// Starts an endpoint again under its id, in a new incarnation.
    pub(super) fn back(&mut self, id: &Name) {
        self.down.remove(id);
        let before = self.endpoints[id].clone();
        let incarnation = self.time.now.as_millis() as u64;
        self.enter(Arc::new(Endpoint { incarnation, ..(*before).clone() }));
        self.spread();
    }

    /// Breaks all calls of a gateway, while the endpoints stay up.
    pub(super) fn reset(&mut self, gateway: usize) {
        let mut broken = Vec::new();
        for running in self.running.values_mut() {
            let own = running.iter().filter(|(_, r)| r.gateway == gateway);
            let own: Vec<u64> = own.map(|(number, _)| *number).collect();
            broken.extend(own.iter().filter_map(|number| running.remove(number)));
        }
        for running in broken {
            self.answer(&running, Some(CallFailure::Broken));
        }
    }
}
