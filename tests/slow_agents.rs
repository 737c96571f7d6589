//! A gateway whose agents answer late retries within the deadline. The decisions run without I/O.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stackmast::actor::Core;
use stackmast::config::{Config, Endpoint, EndpointKind, Organisation, Pipeline, Stage};
use stackmast::gateway::core::GatewayCore;
use stackmast::gateway::event::{Action, Answer, Event, Setup};
use stackmast::gateway::request::Submission;
use stackmast::message::{
    AgentReason, AttemptId, Incarnation, Ran, Reply, Revocation, Run, Timestamp,
};
use stackmast::refusal::{Reason, Refusal};
use stackmast::view::{Location, View};
use stackmast_testbed::deployment::{labels, selector};
use test_case::test_case;
use xxhash_rust::xxh3::xxh3_64;

const CALLER: u64 = 1;
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after which the gateway has revoked an attempt without a reply, and then the time that a
/// revocation may take.
const TIMEOUT: Duration = Duration::from_millis(150);
/// Longer than the first suspicion of an endpoint, so that it has lapsed.
const SUSPICION: Duration = Duration::from_millis(600);
const EXPECTED_MS: u64 = 20;
const ENDPOINTS: usize = 2;
const AGENT: Incarnation = Incarnation(7);

fn stage(name: &str) -> Stage {
    Stage {
        name: name.to_owned(),
        endpoints: selector("service=plain"),
        may_repeat: true,
        expected_ms: EXPECTED_MS,
    }
}

fn config() -> Config {
    let endpoints = (0..ENDPOINTS).map(|i| Endpoint {
        name: format!("endpoint-{i}"),
        kind: EndpointKind::Service,
        agent: ([127, 0, 0, 1], 1_000 + i as u16).into(),
        data_centre: "dc".to_owned(),
        labels: labels(&[("service", "plain")]),
        concurrency: 2,
        cost: 1.0,
        leaving: false,
    });
    Config {
        version: 1,
        pipelines: vec![Pipeline {
            name: "p".to_owned(),
            deadline_ms: DEADLINE.as_millis() as u64,
            priority: 0,
            stages: vec![stage("encode"), stage("retrieve")],
        }],
        endpoints: endpoints.map(Arc::new).collect(),
        organisations: vec![Arc::new(Organisation { name: "o".to_owned(), labels: labels(&[]) })],
        ..Config::default()
    }
}

/// A gateway with one request, and the events that its agents cause.
struct Env {
    core: GatewayCore,
    now: Timestamp,
    actions: Vec<Action>,
}

impl Env {
    /// A gateway that has just started and that received its first request.
    fn start(may_repeat: bool) -> Self {
        Self::with_seed(may_repeat, 1)
    }

    fn with_seed(may_repeat: bool, seed: u64) -> Self {
        let core = GatewayCore::new(Setup {
            host: "gateway".into(),
            incarnation: Incarnation(1),
            in_flight: 100,
            records: 100,
            result_bytes: 1 << 16,
            seed,
        });
        let mut env = Self { core, now: Duration::from_secs(1), actions: Vec::new() };
        let location = Location { host: "gateway".to_owned(), data_centre: "dc".to_owned() };
        let view = Arc::new(View::new(Arc::new(config()), "digest".to_owned(), location));
        env.handle(Event::Configure { view });
        let submission = Submission {
            pipeline: "p".to_owned(),
            organisation: "o".to_owned(),
            labels: labels(&[]),
            input: Bytes::from_static(b"k"),
            deadline: None,
            may_repeat,
            stream: false,
            claim: None,
        };
        env.handle(Event::Submit { caller: CALLER, submission });
        env
    }

    fn handle(&mut self, event: Event) {
        self.actions = self.core.handle(event, self.now);
    }

    /// The attempt that the gateway has just sent, with its endpoint.
    fn sent(&self) -> Option<(u64, Run)> {
        self.actions.iter().find_map(|action| match action {
            Action::Run { call, run, .. } => Some((*call, run.clone())),
            _ => None,
        })
    }

    fn refusal(&self) -> Option<&Refusal> {
        self.actions.iter().find_map(|action| match action {
            Action::Answer { answer: Answer::Refused { refusal, .. }, .. } => Some(refusal),
            _ => None,
        })
    }

    /// Lets the timeout of the attempt pass, and answers its revocation with `outcome` after
    /// `later`.
    fn time_out(&mut self, attempt: AttemptId, outcome: Revocation, later: Duration) {
        self.now += TIMEOUT;
        self.handle(Event::Tick);
        let revokes =
            |a: &Action| matches!(a, Action::Revoke { attempt: id, .. } if *id == attempt);
        assert!(self.actions.iter().any(revokes), "{:?}", self.actions);
        self.now += later;
        self.handle(Event::Revoked { attempt, outcome });
    }

    fn reply(&mut self, call: u64, run: &Run, reply: Reply) {
        let event = Event::Reply { call, attempt: run.attempt, from: AGENT, load: None, reply };
        self.handle(event);
    }

    /// Answers probes with the incarnation of their agent until the gateway addresses one.
    fn introduce(&mut self, mut call: u64, mut run: Run) -> (u64, Run) {
        while run.agent == Incarnation::UNKNOWN {
            self.refuse(call, &run, AgentReason::WrongIncarnation);
            (call, run) = self.sent().expect("sent to the incarnation");
        }
        (call, run)
    }

    fn refuse(&mut self, call: u64, run: &Run, reason: AgentReason) {
        let refused = Reply::Refused { ran: Ran::NotRun, reason, retry_after: Duration::ZERO };
        self.reply(call, run, refused);
    }
}

fn last(refusal: &Refusal) -> Option<AgentReason> {
    match &refusal.reason {
        Reason::NoEndpoint { last, .. } => *last,
        other => panic!("{other:?}"),
    }
}

#[test_case(false, Revocation::NotRun; "each revoked it, not repeatable")]
#[test_case(false, Revocation::Unreachable; "none answered, not repeatable")]
#[test_case(true, Revocation::NotRun; "each revoked it, repeatable")]
#[test_case(true, Revocation::Unreachable; "none answered, repeatable")]
fn a_first_request_is_retried_when_all_agents_answer_late(may_repeat: bool, outcome: Revocation) {
    let mut env = Env::start(may_repeat);
    for _ in 0..ENDPOINTS {
        let (_, run) = env.sent().expect("sent");
        env.time_out(run.attempt, outcome, TIMEOUT);
    }

    let (call, run) = env.sent().unwrap_or_else(|| panic!("retried: {:?}", env.actions));
    let (call, run) = env.introduce(call, run);
    env.reply(call, &run, Reply::Begun);
    assert!(env.refusal().is_none());
}

#[test]
fn a_repeatable_request_is_retried_at_a_known_agent_that_answers_late() {
    let mut env = Env::start(true);
    let (_, run) = env.sent().expect("sent");
    env.time_out(run.attempt, Revocation::Unreachable, TIMEOUT);
    let (call, run) = env.sent().expect("sent elsewhere");
    let (_, run) = env.introduce(call, run);
    env.time_out(run.attempt, Revocation::Unreachable, TIMEOUT);
    assert!(env.sent().is_some(), "{:?}", env.actions);
}

#[test]
fn agents_that_never_answer_are_given_up_while_the_refusal_is_of_use() {
    let mut env = Env::start(false);
    let start = env.now;
    while let Some((_, run)) = env.sent() {
        env.time_out(run.attempt, Revocation::Unreachable, TIMEOUT);
    }
    let refusal = env.refusal().expect("refused");
    assert_eq!(last(refusal), Some(AgentReason::AgentUnreachable));
    assert_eq!(refusal.ran, Ran::NotRun);
    assert!(env.now <= start + DEADLINE, "{:?}", env.now - start);
}

#[test]
fn agents_that_refuse_connections_are_not_tried_again() {
    let mut env = Env::start(false);
    for _ in 0..ENDPOINTS {
        let (call, run) = env.sent().expect("sent");
        env.handle(Event::CallUnsent { call, attempt: run.attempt });
    }
    assert_eq!(last(env.refusal().expect("refused")), Some(AgentReason::AgentUnreachable));
}

#[test]
fn agents_that_refuse_the_work_are_not_tried_again() {
    let mut env = Env::start(false);
    for _ in 0..ENDPOINTS {
        let (call, run) = env.sent().expect("sent");
        let (call, run) = env.introduce(call, run);
        env.refuse(call, &run, AgentReason::QueueFull);
    }
    assert_eq!(last(env.refusal().expect("refused")), Some(AgentReason::QueueFull));
}

#[test]
fn a_request_that_met_a_silent_agent_does_not_test_it_in_a_later_stage() {
    for seed in 0..20 {
        let mut env = Env::with_seed(false, seed);
        let (_, first) = env.sent().expect("sent");
        env.time_out(first.attempt, Revocation::Unreachable, TIMEOUT);
        let (call, second) = env.sent().expect("sent elsewhere");
        let (call, run) = env.introduce(call, second);
        env.reply(call, &run, Reply::Begun);

        env.now += SUSPICION;
        let service = SUSPICION;
        env.reply(call, &run, Reply::Done { length: 0, digest: xxh3_64(b""), service });

        let (_, next) = env.sent().expect("the next stage is sent");
        assert_eq!(next.stage, "retrieve");
        assert_ne!(next.endpoint, first.endpoint, "seed {seed}");
    }
}
