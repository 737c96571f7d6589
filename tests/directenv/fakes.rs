//! Simulated endpoints (engines, plain services and pool endpoints) that check every request they
//! receive.

use std::collections::{BTreeSet, HashSet};

use rand::RngExt;
use stackmast::direct::answers::{
    AnswerProof, BatchOutcome, BatchReport, CallFailure, PieceOutcome,
};
use stackmast::direct::event::{CallParams, Event, Generation, PieceParams};
use stackmast::direct::forwarded_stream::StreamEnd;
use stackmast::direct::published::model::{Endpoint, Repeat, Route};
use stackmast::direct::statement::CallKind;

use super::gateway::stream_ended;
use super::ms;
use super::world::{SimEvent, World};

impl World {
    /// An endpoint reports its load, unless it is silent; the report may be outdated when it
    /// arrives.
    pub fn report(&mut self, number: usize, endpoint: &Endpoint) {
        if self.has_fault() && self.chance(0.2) {
            return;
        }
        let free_bytes = self.rng.random_range(0..=1_000);
        let report = BatchReport { free_bytes, waiting: 0, incarnation: 0 };
        let requested_at = self.now;
        let event = Event::ReportReceived { endpoint: endpoint.id.clone(), report, requested_at };
        let at = self.now + self.time_in(ms(1), ms(8));
        self.answers(number, endpoint, CallKind::Report, at);
        self.at(at, SimEvent::Event(number, self.incarnations[number], Box::new(event)));
    }

    /// Calls an endpoint with a request: it may refuse, fail before or after the run, or answer.
    pub fn call(&mut self, number: usize, caller: u64, attempt: u64, params: &CallParams) {
        let incarnation = self.incarnations[number];
        let seen = &self.callers[&caller];
        let (id, route) = (seen.id.clone(), seen.route);
        assert!(!seen.refused_not_run, "{id}: called after it was refused as not run");
        let spec = self.routes[route].clone();
        self.check_inputs(&id, &spec, params);
        let failed = |failure| Event::CallFailed { caller, attempt, failure };
        let refused = |status, from_other_endpoint| {
            let proof = AnswerProof {
                status,
                not_run: true,
                from_other_endpoint,
                ..AnswerProof::default()
            };
            Event::Answered { caller, attempt, proof, is_open: false }
        };
        let good = AnswerProof {
            status: 200,
            signed: true,
            names_request: true,
            ..AnswerProof::default()
        };
        let fate = if self.has_fault() { self.rng.random_range(1..8) } else { 0 };
        let delay = self.time_in(ms(2), ms(40));
        let (runs, event) = match fate {
            1 => (false, failed(CallFailure::NotSent)),
            2 => (false, refused(503, false)),
            3 => (false, refused(421, true)),
            4 => (true, failed(CallFailure::Broken)),
            5 => (true, failed(CallFailure::Silent)),
            6 => {
                let proof = AnswerProof { signed: false, ..good };
                (true, Event::Answered { caller, attempt, proof, is_open: false })
            }
            _ => {
                let is_open = spec.streams;
                (true, Event::Answered { caller, attempt, proof: good, is_open })
            }
        };
        if runs {
            let runs = self.runs.entry(id.clone()).or_default();
            *runs += 1;
            let most = if spec.repeat == Repeat::Idempotent || spec.resumable {
                spec.max_attempts
            } else {
                1
            };
            assert!(*runs <= most as usize, "{id}: run {runs} times, {most} allowed");
        }
        if !params.inputs.is_empty() && fate != 1 {
            let sent = Event::CallSent { caller, attempt };
            self.at(self.now + ms(1), SimEvent::Event(number, incarnation, Box::new(sent)));
        }
        self.answers(number, &params.endpoint, CallKind::Request, self.now + delay);
        let is_stream = spec.streams && matches!(&event, Event::Answered { is_open: true, .. });
        self.at(self.now + delay, SimEvent::Event(number, incarnation, Box::new(event)));
        if is_stream {
            let first = self.now + delay + ms(1);
            self.at(
                first,
                SimEvent::Event(number, incarnation, Box::new(Event::FirstEvent { caller })),
            );
            let end = if fate == 0 { StreamEnd::Complete } else { StreamEnd::ReadFailed };
            let ended = stream_ended(caller, attempt, end, Some("3"));
            let length = self.stream_length(route);
            self.at(first + length, SimEvent::Event(number, incarnation, Box::new(ended)));
        }
    }

    /// Checks that a run gets every result of its last stages, each produced for this request, once
    /// and in order.
    fn check_inputs(&self, id: &str, spec: &Route, params: &CallParams) {
        let last: Vec<usize> = spec.last_stages().collect();
        let mut expected_stages = Vec::new();
        for handle in &params.inputs {
            let (request, stage, piece) = &self.results[&**handle];
            assert_eq!(request, id, "another request's result");
            assert!(last.contains(stage), "{id}: a result of a stage that is not the last");
            expected_stages.push((*stage, *piece));
        }
        let mut sorted = expected_stages.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(sorted, expected_stages, "{id}: each result once, in order");
        if !spec.stages.is_empty() {
            let stages: BTreeSet<usize> = sorted.iter().map(|s| s.0).collect();
            assert_eq!(stages.len(), last.len(), "{id}: every last stage");
        }
    }

    pub fn batch(&mut self, number: usize, call: u64, endpoint: &Endpoint, pieces: &[PieceParams]) {
        let fate = if self.has_fault() { self.rng.random_range(1..7) } else { 0 };
        let mut delay = self.time_in(ms(240), ms(300));
        let outcome = match fate {
            1 => BatchOutcome::Full,
            2 => BatchOutcome::OtherEndpoint,
            3 => BatchOutcome::Failed(CallFailure::Broken),
            4 => {
                delay = ms(4_000);
                BatchOutcome::Pieces(pieces.iter().map(|p| self.make(endpoint, p)).collect())
            }
            _ => BatchOutcome::Pieces(pieces.iter().map(|p| self.make(endpoint, p)).collect()),
        };
        if matches!(outcome, BatchOutcome::Full | BatchOutcome::OtherEndpoint) {
            delay = ms(2);
        }
        self.answers(number, endpoint, CallKind::Pieces, self.now + delay);
        let incarnation = self.incarnations[number];
        let event = Event::BatchEnded { call, outcome };
        self.at(self.now + delay, SimEvent::Event(number, incarnation, Box::new(event)));
    }

    /// Checks the inputs of a piece and produces its result, or reports why it can't.
    fn make(&mut self, endpoint: &Endpoint, params: &PieceParams) -> PieceOutcome {
        let caller =
            self.callers.values().find(|c| c.id == *params.request).expect("a client's request");
        let spec = &self.routes[caller.route].stages[params.stage];
        assert_eq!(params.key.is_some(), spec.after.is_empty());
        assert_eq!(params.inputs.is_empty(), spec.after.is_empty(), "{}: inputs", params.request);
        let mut seen = HashSet::new();
        for handle in &params.inputs {
            let made = &self.results[&**handle];
            assert_eq!(made.0, *params.request, "another request's result");
            assert!(spec.after.contains(&made.1), "a result of another stage");
            assert!(seen.insert((made.1, made.2)), "one input twice");
        }
        if params.inputs.iter().any(|h| !self.kept.contains_key(&**h)) {
            return PieceOutcome::InputGone;
        }
        if self.has_fault() {
            match self.rng.random_range(0..6) {
                0 => return PieceOutcome::NoRoom,
                1 => return PieceOutcome::Failed,
                2 => {
                    // A result that an endpoint has lost is lost for all endpoints.
                    for handle in &params.inputs {
                        self.kept.remove(&**handle);
                    }
                    return PieceOutcome::InputGone;
                }
                _ => {}
            }
        }
        self.next += 1;
        let handle = format!("{}/{}", endpoint.id, self.next);
        let made = (params.request.to_string(), params.stage, params.piece);
        self.results.insert(handle.clone(), made);
        self.kept.insert(handle.clone(), self.now);
        PieceOutcome::Made(handle.into())
    }
}

/// Returns a prompt with one of three shared parts, so that requests are routed by prefix.
pub fn generation(caller: u64) -> Generation {
    let parts = vec![(format!("shared-{}", caller % 3), 500), (format!("own-{caller}"), 100)];
    Generation { prompt_tokens: 600, output_tokens: 50, parts }
}
