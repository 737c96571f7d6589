//! The engine from which another one fetches the shared parts of a prompt, and admission by the
//! load that engines state. A source that is gone costs nothing but the read: the request is sent
//! all the same.

mod directenv;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{
    answered, arrival, calls, configured, good, heartbeat_of, incoming, listed, refusal, submit,
};
use directenv::{address, endpoint, ms, route};
use stackmast::actor::Core;
use stackmast::direct::answers::{AnswerProof, CallFailure};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::engines::load::{Load, SharedLoad};
use stackmast::direct::event::{Action, CallParams, Event, Generation, IncomingRequest, Refused};
use stackmast::direct::log_events::{LoadEvent, LogEvent};
use stackmast::direct::peers::heartbeat::Heartbeat;
use stackmast::direct::peers::member::{Location, MemberUpdate};
use stackmast::direct::peers::members::{Member, MemberState};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Repeat};
use stackmast::direct::published::regions::REGION_LABEL;
use stackmast::direct::published::software::VERSION_LABEL;
use stackmast::policy::place::hash_weight;
use test_case::test_case;

const PART: &str = "shared";
const ENGINES: u16 = 4;

fn engine(number: u16) -> Endpoint {
    Endpoint { slots: 64, ..(*endpoint("engine", number)).clone() }
}

/// The engines in the order by hash of the shared part.
fn engines() -> Vec<Endpoint> {
    let mut engines: Vec<Endpoint> = (1..=ENGINES).map(engine).collect();
    engines.sort_by_key(|e| std::cmp::Reverse(hash_weight(&e.id, PART)));
    engines
}

fn publish_engines(core: &mut GatewayCore, engines: &[Endpoint], revision: u64, now: Duration) {
    let engines: Vec<Arc<Endpoint>> = engines.iter().cloned().map(Arc::new).collect();
    let documents = listed(&engines, revision);
    core.handle(Event::Published { documents, extent: Extent::Partial }, now);
}

/// A gateway with four engines.
fn gateway(engines: &[Endpoint]) -> GatewayCore {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    publish_engines(&mut core, engines, 3, ms(1));
    core
}

/// A peer's heartbeat with the number of waiting requests of each engine.
fn loads_arrive(core: &mut GatewayCore, engines: &[Endpoint], waiting: &[u32], now: Duration) {
    let member = Member {
        address: address(2),
        incarnation: 5,
        heartbeat: now.as_millis() as u64,
        state: MemberState::Serving,
        capacity: 100,
    };
    let location = Location { data_centre: "hall-1".into(), region: "east".into() };
    let sender = MemberUpdate { member, location, reads_fail: false, is_suspected: false };
    let loads = engines.iter().zip(waiting).map(|(engine, &waiting)| SharedLoad {
        endpoint: engine.id.clone(),
        incarnation: engine.incarnation,
        load: Load { running: 2, waiting, slots: 64, work_time_percent: None },
        age: ms(5),
    });
    let mut heartbeat: Heartbeat = heartbeat_of(sender);
    heartbeat.state.engine_loads = loads.collect();
    core.handle(arrival(heartbeat), now);
}

fn prompt(parts: &[(&str, u64)]) -> IncomingRequest {
    let parts: Vec<(String, u64)> = parts.iter().map(|(id, n)| ((*id).to_owned(), *n)).collect();
    let prompt_tokens = parts.iter().map(|part| part.1).sum();
    let generation = Some(Generation { prompt_tokens, output_tokens: 50, parts });
    IncomingRequest { generation, ..incoming("r", Vec::new()) }
}

fn long_prompt() -> IncomingRequest {
    prompt(&[(PART, 10_000), ("own", 1_000)])
}

fn call(actions: &[Action]) -> CallParams {
    calls(actions).pop().expect("the request is sent").1
}

/// Sends a prompt whose first choice by hash has a long queue.
fn send_elsewhere(core: &mut GatewayCore, engines: &[Endpoint], now: Duration) -> Vec<Action> {
    loads_arrive(core, engines, &[30, 0, 0, 0], now);
    submit(core, 1, long_prompt(), now)
}

#[test]
fn a_prompt_that_leaves_its_first_choice_is_fetched_from_there() {
    let engines = engines();
    let mut core = gateway(&engines);
    let actions = send_elsewhere(&mut core, &engines, ms(10));
    let call = call(&actions);
    assert_eq!(call.endpoint.id, engines[1].id);
    assert_eq!(call.prompt_source, Some(engines[0].address));
    let is_logged = actions.iter().any(|action| {
        matches!(action, Action::Log(LogEvent::Load(LoadEvent::PromptFetch { source, tokens: 10_000, .. }))
            if *source == engines[0].id)
    });
    assert!(is_logged);
}

// Guards against an engine that continues from the memory of another software version.
#[test_case("v1", 2; "not from the first choice if that has another version")]
#[test_case("v2", 0; "from the first choice if that has the same version")]
fn a_prompt_is_fetched(first_version: &str, source: usize) {
    let mut engines = engines();
    for engine in &mut engines {
        engine.labels.insert(VERSION_LABEL.to_owned(), "v2".to_owned());
    }
    engines[0].labels.insert(VERSION_LABEL.to_owned(), first_version.to_owned());
    let mut core = gateway(&engines);
    let call = call(&send_elsewhere(&mut core, &engines, ms(10)));
    assert_eq!(call.endpoint.id, engines[1].id);
    assert_eq!(call.prompt_source, Some(engines[source].address));
}

#[test]
fn the_first_choice_fetches_nothing() {
    let engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &engines, &[0; 4], ms(10));
    let call = call(&submit(&mut core, 1, long_prompt(), ms(10)));
    assert_eq!((&call.endpoint.id, call.prompt_source), (&engines[0].id, None));
}

#[test]
fn an_engine_that_got_the_part_recently_fetches_nothing() {
    let engines = engines();
    let mut core = gateway(&engines);
    let first = call(&send_elsewhere(&mut core, &engines, ms(10)));
    let second =
        submit(&mut core, 2, IncomingRequest { id: "id-2".into(), ..long_prompt() }, ms(20));
    let second = call(&second);
    assert_eq!(second.endpoint.id, first.endpoint.id);
    assert_eq!(second.prompt_source, None);
}

#[test]
fn a_short_part_is_read() {
    let engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &engines, &[30, 0, 0, 0], ms(10));
    let call = call(&submit(&mut core, 1, prompt(&[(PART, 200), ("own", 1_000)]), ms(10)));
    assert_eq!((&call.endpoint.id, call.prompt_source), (&engines[1].id, None));
}

#[test]
fn without_stated_loads_nothing_is_fetched() {
    let engines = engines();
    let mut core = gateway(&engines);
    let call = call(&submit(&mut core, 1, long_prompt(), ms(10)));
    assert_eq!((&call.endpoint.id, call.prompt_source), (&engines[0].id, None));
}

#[test]
fn a_leaving_source_is_not_used() {
    let mut engines = engines();
    let mut core = gateway(&engines);
    engines[0].leaving = true;
    publish_engines(&mut core, &engines, 4, ms(5));
    loads_arrive(&mut core, &engines, &[0, 30, 0, 0], ms(10));
    let call = call(&submit(&mut core, 1, long_prompt(), ms(10)));
    assert_eq!(call.endpoint.id, engines[2].id);
    assert_eq!(call.prompt_source, Some(engines[1].address), "the first choice among the others");
}

#[test]
fn a_source_in_another_region_is_not_used() {
    let mut engines = engines();
    for (engine, region) in engines.iter_mut().zip(["west", "east", "west", "west"]) {
        engine.labels.insert(REGION_LABEL.to_owned(), region.to_owned());
    }
    let mut core = gateway(&engines);
    let call = call(&send_elsewhere(&mut core, &engines, ms(10)));
    assert_eq!((&call.endpoint.id, call.prompt_source), (&engines[1].id, None));
}

// A source in another data centre of the region is used: the fetch takes longer than within one,
// and less than the read.
#[test]
fn a_source_in_another_data_centre_is_used() {
    let mut engines = engines();
    engines[0].data_centre = "hall-9".into();
    let mut core = gateway(&engines);
    let call = call(&send_elsewhere(&mut core, &engines, ms(10)));
    assert_eq!(call.prompt_source, Some(engines[0].address));
}

#[test]
fn a_source_that_restarted_is_not_used() {
    let mut engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &engines, &[0; 4], ms(10));
    engines[0].incarnation = 2;
    publish_engines(&mut core, &engines, 4, ms(20));
    let call = call(&send_elsewhere(&mut core, &engines, ms(30)));
    assert_eq!(call.endpoint.id, engines[1].id);
    assert_ne!(call.prompt_source, Some(engines[0].address), "it is empty");
}

#[test]
fn a_first_choice_that_restarted_fetches_from_the_second() {
    let mut engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &engines, &[0; 4], ms(10));
    engines[0].incarnation = 2;
    publish_engines(&mut core, &engines, 4, ms(20));
    loads_arrive(&mut core, &engines, &[0; 4], ms(40));
    let call = call(&submit(&mut core, 1, long_prompt(), ms(50)));
    assert_eq!(call.endpoint.id, engines[0].id);
    assert_eq!(call.prompt_source, Some(engines[1].address));
}

// Load pattern: a cold return. The first choice is new, and the second one had its prompts.
#[test]
fn a_first_choice_that_is_new_fetches_from_the_second() {
    let mut engines = engines();
    let mut core = gateway(&engines[1..]);
    engines[0].incarnation = 7;
    publish_engines(&mut core, &engines[..1], 4, ms(4_000));
    loads_arrive(&mut core, &engines, &[0; 4], ms(4_010));
    let call = call(&submit(&mut core, 1, long_prompt(), ms(4_020)));
    assert_eq!(call.endpoint.id, engines[0].id);
    assert_eq!(call.prompt_source, Some(engines[1].address));
}

// The first choice changes while the previous one is in use: the part was sent to the second one.
#[test]
fn a_first_choice_fetches_a_part_that_was_sent_elsewhere() {
    let engines = engines();
    let mut core = gateway(&engines);
    send_elsewhere(&mut core, &engines, ms(10));
    loads_arrive(&mut core, &engines, &[0, 20, 20, 20], ms(100));
    let request = IncomingRequest { id: "id-2".into(), ..long_prompt() };
    let call = call(&submit(&mut core, 2, request, ms(110)));
    assert_eq!(call.endpoint.id, engines[0].id);
    assert_eq!(call.prompt_source, Some(engines[1].address));
}

#[test]
fn an_unreachable_source_is_not_used() {
    let engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &engines, &[0; 4], ms(10));
    let (attempt, first) = calls(&submit(&mut core, 1, long_prompt(), ms(10))).remove(0);
    assert_eq!(first.endpoint.id, engines[0].id);
    let failed = Event::CallFailed { caller: 1, attempt, failure: CallFailure::NotSent };
    let second = call(&core.handle(failed, ms(12)));
    assert_eq!(second.endpoint.id, engines[1].id);
    assert_eq!(second.prompt_source, None, "the new first choice");
}

// Load pattern: new subjects of one kind of request. Each begins with instructions that many
// prompts have, and its first choice may not have read them.
#[test]
fn instructions_before_a_new_part_are_fetched_from_where_they_were_sent() {
    let engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &engines, &[0; 4], ms(10));
    let parts = |subject| [("instructions", 3_000), (subject, 1_000), ("own", 100)];
    let first = call(&submit(&mut core, 1, prompt(&parts("subject-1")), ms(10)));
    assert_eq!(first.prompt_source, None);
    let mut sources = BTreeMap::new();
    for (caller, subject) in (2..).zip(["subject-2", "subject-3", "subject-4", "subject-5"]) {
        let request = IncomingRequest { id: subject.into(), ..prompt(&parts(subject)) };
        let call = call(&submit(&mut core, caller, request, ms(10 + caller)));
        sources.entry(call.endpoint.id.clone()).or_insert(call.prompt_source);
    }
    sources.remove(&first.endpoint.id);
    assert!(!sources.is_empty() && sources.values().all(Option::is_some), "{sources:?}");
}

// Load pattern: demand above the capacity of the engines that remain after an evacuation.
#[test]
fn a_request_that_no_engine_starts_in_time_is_refused_before_it_runs() {
    let engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &engines, &[200; 4], ms(10));
    let actions = submit(&mut core, 1, long_prompt(), ms(10));
    assert_eq!(calls(&actions).len(), 0);
    let refusal = refusal(&actions).expect("refused");
    assert!(refusal.not_run && refusal.reason == Refused::Overloaded);
    assert!(refusal.retry_after > Duration::from_secs(5), "{:?}", refusal.retry_after);
    let later = ms(1_100);
    let actions = submit(&mut core, 2, long_prompt(), later);
    assert_eq!(calls(&actions).len(), 1, "old reports refuse nothing");
}

// Guards against refusals after a pause of the host: the wait for a slot was estimated by the
// longest runs, and the refusals lasted until the report expired.
#[test]
fn runs_that_a_pause_prolonged_do_not_make_an_engine_busy() {
    let engines: Vec<Endpoint> =
        [1, 2].map(|number| Endpoint { slots: 4, ..engine(number) }).into();
    let mut core = gateway(&engines);
    let mut now = ms(10);
    for number in 0..64 {
        let (attempt, _) = calls(&submit(&mut core, 1, long_prompt(), now)).remove(0);
        now += if number % 16 == 0 { ms(700) } else { ms(160) };
        core.handle(answered(attempt, good()), now);
    }
    loads_arrive(&mut core, &engines, &[40; 2], now);
    assert_eq!(calls(&submit(&mut core, 1, long_prompt(), now)).len(), 1);
}

#[test]
fn a_refusal_for_busy_engines_names_the_report_that_it_follows_from() {
    let engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &engines, &[200; 4], ms(10));
    let actions = submit(&mut core, 1, long_prompt(), ms(30));
    let is_logged = actions.iter().any(|action| {
        matches!(action, Action::Log(LogEvent::Load(LoadEvent::EnginesBusy {
            waiting: 200, report_age_ms: 25, left_ms: 5_000, start_ms, ..
        })) if *start_ms > 5_000)
    });
    assert!(is_logged, "{actions:?}");
}

// Queues of minutes: callers return within ten seconds all the same.
#[test]
fn the_retry_delay_of_long_queues_is_bounded() {
    let engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &engines, &[20_000; 4], ms(10));
    let actions = submit(&mut core, 1, long_prompt(), ms(10));
    let refusal = refusal(&actions).expect("refused");
    assert!(refusal.retry_after <= Duration::from_secs(10), "{:?}", refusal.retry_after);
}

#[test]
fn one_engine_of_unknown_load_is_enough_to_send() {
    let engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &engines[..3], &[200; 3], ms(10));
    assert_eq!(calls(&submit(&mut core, 1, long_prompt(), ms(10))).len(), 1);
}

#[test]
fn heartbeats_carry_the_load_that_responses_stated() {
    let engines = engines();
    let mut core = gateway(&engines);
    loads_arrive(&mut core, &[], &[], ms(5));
    let (attempt, call) = calls(&submit(&mut core, 1, long_prompt(), ms(10))).remove(0);
    let load = Load { running: 7, waiting: 2, slots: 64, work_time_percent: Some(130) };
    let proof = AnswerProof { load: Some(load), ..good() };
    let mut actions = core.handle(answered(attempt, proof), ms(40));
    actions.extend(core.handle(Event::Tick, ms(400)));
    let states = directenv::gateway::announced_states(&actions);
    let sent: Vec<SharedLoad> = states.into_iter().flat_map(|state| state.engine_loads).collect();
    assert!(!sent.is_empty());
    assert!(sent.iter().all(|r| r.endpoint == call.endpoint.id && r.load == load), "{sent:?}");
    assert_eq!(sent[0].age, ms(360));
}
