//! Parts of prompts that crash the engines which begin to write an answer on them: one gateway's
//! core, and the set of suspects.

mod directenv;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{
    begins, calls, configured, good, incoming, listed, receive_gossip, refusal, serving,
    stream_ended, submit,
};
use directenv::{address, endpoint, ms, route};
use stackmast::actor::Core;
use stackmast::direct::answers::{AnswerProof, CallFailure, Framing, Identity};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, Generation, IncomingRequest, Refused};
use stackmast::direct::forwarded_stream::StreamEnd;
use stackmast::direct::log_events::{LogEvent, PoisonEvent};
use stackmast::direct::peers::build::Build;
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::poison::fingerprint::Fingerprint;
use stackmast::direct::poison::suspects::{RETENTION, Suspects};
use stackmast::direct::poison::{Run, SURVIVAL_TIME, SubjectKind};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Repeat, Route};
use test_case::test_case;

/// The last form of builds that don't know poison parts of prompts.
const FORM_WITHOUT_PROMPT_PARTS: u32 = 9;
/// Id of the part that all prompts of the tests begin with.
const COMMON: &str = "c0";
/// Id of the part that crashes engines.
const POISON: &str = "bad";

fn streams() -> Route {
    Route { streams: true, ..route("r", Repeat::AtMostOnce, &[]) }
}

fn core() -> GatewayCore {
    let mut core = configured(vec![streams()]);
    receive_gossip(&mut core, vec![serving(2)], ms(500));
    core
}

/// A request like no other, whose prompt has these shared parts.
fn prompt(number: u64, shared: &[&str]) -> IncomingRequest {
    let own = format!("own-{number}");
    let ids = shared.iter().copied().chain([own.as_str()]);
    let parts = ids.map(|id| (id.to_owned(), 100)).collect();
    IncomingRequest {
        content: Fingerprint::of_content("POST", "/r/x", own.as_bytes()),
        generation: Some(Generation { prompt_tokens: 300, output_tokens: 20, parts }),
        ..incoming("r", vec![])
    }
}

fn begin(core: &mut GatewayCore, caller: u64, shared: &[&str], now: Duration) -> (u64, Endpoint) {
    let actions = submit(core, caller, prompt(caller, shared), now);
    let (attempt, order) = calls(&actions).remove(0);
    (attempt, (*order.endpoint).clone())
}

/// Starts to forward the answer of a call.
fn write(core: &mut GatewayCore, caller: u64, attempt: u64, now: Duration) {
    core.handle(begins(caller, attempt), now);
    core.handle(Event::FirstEvent { caller }, now);
}

fn failed(caller: u64, attempt: u64) -> Event {
    Event::CallFailed { caller, attempt, failure: CallFailure::Broken }
}

fn ended(caller: u64, attempt: u64, is_complete: bool) -> Event {
    let end = if is_complete { StreamEnd::Complete } else { StreamEnd::ReadFailed };
    stream_ended(caller, attempt, end, Some("9"))
}

/// Ends a call with `ended` and reports that the port of its endpoint is closed; the endpoint
/// returns in another incarnation.
fn crash(core: &mut GatewayCore, caller: u64, crashed: &Endpoint, ended: Event, now: Duration) {
    let Endpoint { id, incarnation, .. } = crashed;
    core.handle(ended, now);
    let probed = Event::Probed { endpoint: id.clone(), incarnation: *incarnation, is_closed: true };
    core.handle(probed, now + ms(2));
    let number = if &**id == "engine-1" { 1 } else { 2 };
    let back = Endpoint { incarnation: 100 + caller, ..(*endpoint("engine", number)).clone() };
    let documents = listed(&[Arc::new(back)], 10 + caller);
    core.handle(Event::Published { documents, extent: Extent::Partial }, now + ms(10));
}

/// Crashes an endpoint under a new request with these parts.
fn crash_under(core: &mut GatewayCore, caller: u64, shared: &[&str], now: Duration) {
    let (attempt, endpoint) = begin(core, caller, shared, now);
    crash(core, caller, &endpoint, failed(caller, attempt), now + ms(50));
}

fn refused(core: &mut GatewayCore, caller: u64, shared: &[&str], now: Duration) -> Vec<Action> {
    submit(core, caller, prompt(caller, shared), now)
}

/// Guards against a part that is recognised only with the whole content, so that each new request
/// crashes one more endpoint.
#[test]
fn new_requests_with_a_part_under_which_three_endpoints_crashed_are_refused_as_not_run() {
    let mut core = core();
    for caller in 1..=3 {
        crash_under(&mut core, caller, &[COMMON, POISON], ms(2_000 * caller));
    }
    let actions = refused(&mut core, 4, &["other", POISON], ms(8_000));
    let refusal = refusal(&actions).expect("it is refused");
    assert_eq!((refusal.reason, refusal.not_run), (Refused::Poison, true));
    assert!(refusal.retry_after >= RETENTION, "{:?}", refusal.retry_after);
    let names_part = |a: &Action| match a {
        Action::Log(LogEvent::Poison(PoisonEvent::PoisonFound { prompt_part, .. })) => {
            prompt_part.as_deref() == Some(POISON)
        }
        _ => false,
    };
    assert!(actions.iter().any(names_part), "the line names the part: {actions:?}");
}

/// Guards against the refusal of sound requests that share the first part with the poison.
#[test]
fn a_part_on_which_an_endpoint_writes_after_a_crash_is_not_quarantined() {
    let mut core = core();
    for caller in 1..=3 {
        let (at, sound) = (ms(2_000 * caller), 100 + caller);
        crash_under(&mut core, caller, &[COMMON, POISON], at);
        let (attempt, _) = begin(&mut core, sound, &[COMMON, "good"], at + ms(200));
        write(&mut core, sound, attempt, at + ms(300));
        core.handle(Event::Tick, at + ms(301) + SURVIVAL_TIME);
        core.handle(Event::CallerDisconnected { caller: sound }, at + ms(900));
    }
    assert!(refusal(&refused(&mut core, 20, &["x", POISON], ms(9_000))).is_some());
    assert!(refusal(&refused(&mut core, 21, &[COMMON, "good"], ms(9_001))).is_none());
}

/// Guards against a part that is cleared, again and again, by answers which were being written
/// before endpoints began to crash on it.
#[test]
fn a_run_that_began_before_the_first_crash_does_not_clear_a_part() {
    let mut core = core();
    let (attempt, _) = begin(&mut core, 100, &[COMMON, POISON], ms(1_000));
    write(&mut core, 100, attempt, ms(1_100));
    crash_elsewhere(&mut core, 1, ms(2_000));
    crash_elsewhere(&mut core, 2, ms(3_000));
    core.handle(ended(100, attempt, true), ms(3_500));
    crash_elsewhere(&mut core, 3, ms(4_000));
    assert!(refusal(&refused(&mut core, 4, &[COMMON, POISON], ms(5_000))).is_some());
}

/// Another gateway reports the crash of an endpoint under the poison part.
fn crash_elsewhere(core: &mut GatewayCore, number: u64, now: Duration) {
    let mut suspects = Suspects::default();
    let run = part_run(POISON, number as u8);
    suspects.record_crash(&format!("engine-{}", 50 + number).as_str().into(), 1, &[run], now);
    let message = PeerMessage::SuspectParts(suspects.take_changes(SubjectKind::PromptPart, now));
    core.handle(Event::PeerMessage { from: address(2), message }, now);
}

fn part_run(id: &str, round: u8) -> Run {
    let fingerprint = Fingerprint::of_prompt_part(id);
    let depth = u8::from(id != COMMON);
    Run { kind: SubjectKind::PromptPart, fingerprint, depth, round, alone: true }
}

fn content_run(number: u8, round: u8) -> Run {
    let fingerprint = Fingerprint::of_content("POST", "/", &[number]);
    Run { kind: SubjectKind::Content, fingerprint, depth: 0, round, alone: true }
}

/// Guards against blame for a crash on parts of answers that were being written for long.
#[test]
fn parts_of_a_stream_that_was_being_written_for_long_are_not_suspected_of_a_crash() {
    let mut core = core();
    for caller in 1..=5 {
        let at = ms(3_000 * caller);
        let (attempt, endpoint) = begin(&mut core, caller, &[COMMON, "good"], at);
        write(&mut core, caller, attempt, at + ms(100));
        let ended = ended(caller, attempt, false);
        crash(&mut core, caller, &endpoint, ended, at + ms(101) + SURVIVAL_TIME);
    }
    assert!(refusal(&refused(&mut core, 9, &[COMMON, "good"], ms(20_000))).is_none());
}

/// Guards against crashes that are taken for the end of an answer, which then clear what caused them.
#[test]
fn a_crash_that_ends_an_unframed_stream_behind_an_event_counts_as_one() {
    let mut core = core();
    for caller in 1..=3 {
        let at = ms(2_000 * caller);
        let (attempt, endpoint) = begin(&mut core, caller, &[COMMON, POISON], at);
        let proof = AnswerProof { framing: Framing::Connection, ..good() };
        core.handle(Event::Answered { caller, attempt, proof, is_open: true }, at + ms(50));
        core.handle(Event::FirstEvent { caller }, at + ms(51));
        let closed = stream_ended(caller, attempt, StreamEnd::ConnectionClosed, Some("9"));
        core.handle(closed, at + ms(60));
        let gone = Event::Identified { caller, attempt, identity: Identity::Gone };
        crash(&mut core, caller, &endpoint, gone, at + ms(61));
    }
    assert!(refusal(&refused(&mut core, 4, &[COMMON, POISON], ms(9_000))).is_some());
}

/// Guards against the refusal of all requests of a session or subject because of one content that is
/// sent again and again.
#[test]
fn a_part_is_not_quarantined_for_the_crashes_of_one_content() {
    let mut suspects = Suspects::default();
    let mut quarantined = Vec::new();
    for round in 1..=6 {
        let runs = [content_run(1, round), part_run(POISON, round)];
        let id = format!("engine-{round}");
        quarantined.extend(suspects.record_crash(&id.as_str().into(), 1, &runs, ms(0)));
    }
    let kinds: Vec<SubjectKind> = quarantined.iter().map(|q| q.kind).collect();
    assert_eq!(kinds, [SubjectKind::Content]);
}

/// Guards against the refusal of all prompts with a common beginning, of which only those with a
/// certain later part crash endpoints.
#[test]
fn of_two_parts_that_crash_endpoints_together_only_the_later_is_quarantined() {
    let mut suspects = Suspects::default();
    for round in 1..=6 {
        let runs = [content_run(round, 1), part_run(COMMON, round), part_run(POISON, round)];
        let id = format!("engine-{round}");
        suspects.record_crash(&id.as_str().into(), 1, &runs, ms(1_000 * u64::from(round)));
    }
    assert!(suspects.is_poison(Fingerprint::of_prompt_part(POISON)));
    assert!(!suspects.is_poison(Fingerprint::of_prompt_part(COMMON)));
    let runs = [content_run(9, 1), part_run(COMMON, 7), part_run("other", 1)];
    suspects.record_crash(&"engine-9".into(), 1, &runs, ms(9_000));
    assert!(
        suspects.is_poison(Fingerprint::of_prompt_part(COMMON)),
        "it crashes without the other"
    );
}

/// Guards against the quarantine of everything that shares a rack with other requests.
#[test]
fn many_crashes_at_once_do_not_quarantine_a_part() {
    let mut suspects = Suspects::default();
    for number in 0..20 {
        let runs = [content_run(number, 1), part_run(COMMON, 1)];
        let id = format!("engine-{number}");
        assert_eq!(suspects.record_crash(&id.as_str().into(), 1, &runs, ms(0)), []);
    }
}

/// Guards against a part that stays refused for as long as requests with it arrive.
#[test]
fn repeats_do_not_extend_the_quarantine_of_a_part() {
    let mut suspects = Suspects::default();
    for round in 1..=3 {
        let id = format!("engine-{round}");
        let at = ms(1_000 * u64::from(round));
        suspects.record_crash(&id.as_str().into(), 1, &[part_run(POISON, round)], at);
    }
    let part = Fingerprint::of_prompt_part(POISON);
    assert!(suspects.is_poison(part));
    assert!(!suspects.is_refreshed_by(part, RETENTION));
    suspects.expire(RETENTION + ms(3_000));
    assert!(!suspects.is_poison(part));
}

/// Guards against gateways that start or were cut off and let the part crash endpoints for another
/// observation time.
#[test]
fn a_gateway_that_receives_an_observed_part_quarantines_it_at_once() {
    let mut suspects = Suspects::default();
    for round in 1..=3 {
        let id = format!("engine-{round}");
        let at = ms(1_000 * u64::from(round));
        suspects.record_crash(&id.as_str().into(), 1, &[part_run(POISON, round)], at);
    }
    let mut other = Suspects::default();
    let updates = suspects.announcements(SubjectKind::PromptPart, ms(4_000));
    let quarantined = other.merge(SubjectKind::PromptPart, &updates, ms(50_000));
    assert_eq!(quarantined.len(), 1);
}

/// Guards against the quarantine of a harmless part for crashes that follow each other so quickly
/// that no run with it has survived in between.
#[test]
fn a_part_is_observed_for_two_seconds_before_it_is_quarantined() {
    let mut suspects = Suspects::default();
    for round in 1..=4 {
        let id = format!("engine-{round}");
        let at = ms(100 * u64::from(round));
        suspects.record_crash(&id.as_str().into(), 1, &[part_run(COMMON, round)], at);
    }
    assert!(!suspects.is_quarantine_due(ms(2_099)) && suspects.is_quarantine_due(ms(2_100)));
    let part = Fingerprint::of_prompt_part(COMMON);
    assert!(!suspects.is_exonerated(part, ms(100)) && suspects.is_exonerated(part, ms(101)));
    suspects.clear(part, ms(800));
    assert!(!suspects.is_quarantine_due(ms(2_100)));
}

/// Guards against messages that an earlier build reports as unreadable.
#[test]
fn a_peer_of_an_earlier_build_is_sent_no_prompt_parts() {
    let mut core = core();
    let build = Build { form: FORM_WITHOUT_PROMPT_PARTS, ..Build::own() };
    core.handle(Event::PeerGreeted { address: address(2), incarnation: 2, build }, ms(600));
    crash_under(&mut core, 1, &[COMMON, POISON], ms(1_000));
    let mut sent = Vec::new();
    for tick in 1..60 {
        sent.extend(core.handle(Event::Tick, ms(1_100 + 100 * tick)));
    }
    let to_peer = sent.iter().filter_map(|action| match action {
        Action::Send { to, message } if *to == address(2) => Some(message),
        Action::Broadcast { to, message } if to.contains(&address(2)) => Some(message),
        _ => None,
    });
    let kinds: BTreeSet<&str> = to_peer.map(PeerMessage::kind).collect();
    assert!(kinds.contains("suspects"), "{kinds:?}");
    assert!(!kinds.contains("suspect_parts") && !kinds.contains("ask_suspect_parts"), "{kinds:?}");
}

#[test]
fn the_fingerprint_of_a_part_is_not_that_of_a_content() {
    let part = Fingerprint::of_prompt_part(POISON);
    assert_ne!(part, Fingerprint::of_content("POST", "/", POISON.as_bytes()));
    assert_ne!(part, Fingerprint::of_prompt_part(COMMON));
}

/// Guards against a suspicion that ends with an answer for which the poison did not run.
#[test_case(504, true; "a content whose deadline passed in the queue")]
#[test_case(504, false; "a part whose deadline passed in the queue")]
#[test_case(500, false; "a part on which nothing was written")]
fn an_answer_without_a_run_clears_nothing(status: u16, is_repeated: bool) {
    let mut core = core();
    let request = |caller: u64| {
        let content = if is_repeated { 0 } else { caller };
        let content = Fingerprint::of_content("POST", "/r/x", &content.to_le_bytes());
        IncomingRequest { content, ..prompt(caller, &[COMMON, POISON]) }
    };
    for caller in 1..=4 {
        let at = ms(2_000 * caller);
        let actions = submit(&mut core, caller, request(caller), at);
        let (attempt, order) = calls(&actions).remove(0);
        if caller == 3 {
            let proof = AnswerProof { status, ..good() };
            core.handle(Event::Answered { caller, attempt, proof, is_open: false }, at + ms(50));
        } else {
            crash(&mut core, caller, &order.endpoint, failed(caller, attempt), at + ms(50));
        }
    }
    let actions = submit(&mut core, 5, request(5), ms(12_000));
    assert!(refusal(&actions).is_some_and(|r| r.reason == Refused::Poison), "{actions:?}");
}

/// Guards against a crash that does not count since the caller left, or its deadline passed, while
/// the end of the answer was being confirmed: the address is silent, and the entry shows the crash
/// later.
#[test_case(ms(1_900); "after a gap of two seconds")]
#[test_case(ms(300); "early")]
fn a_crash_counts_though_the_caller_leaves_during_the_check_of_the_end(leaves: Duration) {
    let mut core = core();
    for caller in 1..=3 {
        let at = ms(5_000 * caller);
        let (attempt, endpoint) = begin(&mut core, caller, &[COMMON, POISON], at);
        let proof = AnswerProof { framing: Framing::Connection, ..good() };
        core.handle(Event::Answered { caller, attempt, proof, is_open: true }, at + ms(50));
        core.handle(Event::FirstEvent { caller }, at + ms(51));
        let closed = stream_ended(caller, attempt, StreamEnd::ConnectionClosed, Some("9"));
        core.handle(closed, at + ms(60));
        core.handle(Event::CallerDisconnected { caller }, at + ms(60) + leaves);
        let back = Endpoint { incarnation: 100 + caller, ..endpoint.clone() };
        let documents = listed(&[Arc::new(back)], 10 + caller);
        let listed_at = at + ms(3_060);
        core.handle(Event::Published { documents, extent: Extent::Partial }, listed_at);
    }
    assert!(refusal(&refused(&mut core, 4, &[COMMON, POISON], ms(21_000))).is_some());
}
