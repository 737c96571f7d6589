//! Rate limits that endpoints announce: which gateways know them, what ends them, and which
//! requests wait for a permit or are refused.

mod directenv;

use std::time::Duration;

use directenv::gateway::{
    Heartbeat, announced_states, calls, configured, good, incoming, publish, receive_gossip,
    refusal, serving, setup, submit,
};
use directenv::status_headers::{
    SECONDS, batches, engine, enter, pause_for, receive_status, routes, with_incarnation,
};
use directenv::{address, deployment, endpoint, ms};
use stackmast::actor::Core;
use stackmast::direct::answers::{BatchOutcome, CallFailure, PieceOutcome};
use stackmast::direct::core::{GatewayCore, Setup};
use stackmast::direct::event::{Action, CallParams, Event, Refused};
use stackmast::direct::gates::Gates;
use stackmast::direct::limits::known::{AnnouncedLimit, KnownLimits};
use stackmast::direct::limits::limiter::{Asker, Limiter, Pace, PermitDecision, PermitRequest};
use stackmast::direct::peers::build::Build;
use stackmast::direct::peers::member::Location;
use stackmast::direct::peers::members::{Member, MemberState, Members};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::statement::{CallKind, RateLimit, RequestRate, Statement};
use test_case::test_case;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second)
}

fn at(per_second: f64) -> RateLimit {
    RateLimit::At(rate(per_second))
}

fn announces(limit: f64) -> Statement {
    Statement { limit: Some(at(limit)), ..Statement::default() }
}

/// A single, settled gateway; one of its engines has announced a limit.
fn limited(limit: f64) -> GatewayCore {
    let mut core = configured(routes());
    receive_status(&mut core, &engine(1), announces(limit), 2_000);
    core
}

/// Submits a request every `every` ms, answers all calls at once and returns the calls.
fn submit_load(
    core: &mut GatewayCore,
    first: u64,
    from: u64,
    to: u64,
    every: u64,
) -> Vec<(u64, CallParams)> {
    let mut sent = Vec::new();
    for (number, now) in (from..to).step_by(every as usize).enumerate() {
        let caller = first + number as u64;
        let mut actions = core.handle(Event::Tick, ms(now));
        actions.extend(submit(core, caller, incoming("r", Vec::new()), ms(now)));
        for (attempt, order) in calls(&actions) {
            sent.push((now, order));
            // Earlier requests may have waited; only the caller of the attempt accepts the answer.
            for caller in first..=caller {
                let proof = good();
                core.handle(Event::Answered { caller, attempt, proof, is_open: false }, ms(now));
            }
        }
    }
    sent
}

fn to_first(sent: &[(u64, CallParams)]) -> Vec<u64> {
    sent.iter().filter(|(_, order)| &*order.endpoint.id == "engine-1").map(|(at, _)| *at).collect()
}

#[test]
fn an_endpoint_gets_its_announced_rate_and_the_others_the_rest() {
    let mut core = limited(2.0);
    let sent = submit_load(&mut core, 100, 2_010, 12_010, 20);
    let first = to_first(&sent);
    assert!(first.len() >= 14 && first.len() <= 20, "{first:?}");
    let apart = first.windows(2).all(|pair| pair[1] - pair[0] >= 400);
    assert!(apart, "evenly: {first:?}");
    assert_eq!(sent.len(), 500, "no request is refused");
    assert!(
        sent.iter().all(|(_, order)| order.permit.is_some() == (&*order.endpoint.id == "engine-1"))
    );
}

#[test_case(0.0, 1, 2; "zero: probed now and then")]
#[test_case(0.25, 3, 5; "one in four seconds")]
fn the_smallest_limits_are_respected(limit: f64, from: usize, to: usize) {
    let mut core = limited(limit);
    let first = to_first(&submit_load(&mut core, 100, 2_010, 22_010, 50));
    assert!(first.len() >= from && first.len() <= to, "{first:?}");
}

/// Handles an answer with a limit that was read at `read`, to a message sent at `sent`.
fn record_answer(known: &mut KnownLimits, limit: RateLimit, sent: u64, read: u64) {
    if known.is_changed_by(&engine(1), limit, ms(sent)) {
        known.record(&engine(1), limit, ms(read));
    }
}

// The answers are listed as (message sent, limit, answer read), in the order in which they are
// read.
#[test_case(&[(0, Some(3.0), 5), (2, None, 6)], Some(3.0); "an earlier message, without a limit")]
#[test_case(&[(0, Some(3.0), 5), (6, None, 9)], None; "a later message, without a limit")]
#[test_case(&[(0, Some(3.0), 5), (2, Some(8.0), 6)], Some(3.0); "an earlier message, a higher limit")]
#[test_case(&[(0, Some(3.0), 5), (6, Some(8.0), 9)], Some(8.0); "a later message, a higher limit")]
#[test_case(&[(0, Some(3.0), 5), (2, Some(1.0), 6)], Some(1.0); "a lower limit, whenever sent")]
#[test_case(&[(0, Some(3.0), 5), (6, None, 9), (1, Some(3.0), 10)], Some(3.0); "the old limit again")]
#[test_case(&[(0, None, 5)], None; "no limit at all")]
fn the_announced_limit_depends_on_the_order_of_answers(
    sent_departures: &[(u64, Option<f64>, u64)],
    expected: Option<f64>,
) {
    let mut known = KnownLimits::default();
    for &(sent, limit, read) in sent_departures {
        let limit = limit.map_or(RateLimit::None, at);
        record_answer(&mut known, limit, sent, read);
    }
    // After an announcement without a limit the rate grows by steps until the endpoint is
    // unlimited.
    let free = known.rate(&engine(1), ms(6_000));
    assert_eq!(free, expected.map(rate));
}

fn announced(version: u64, limit: RateLimit) -> AnnouncedLimit {
    AnnouncedLimit { endpoint: engine(1).id.clone(), incarnation: 0, version, limit }
}

#[test]
fn announced_limits_merge_in_any_order() {
    let accounts = [
        announced(1, at(3.0)),
        announced(2, RateLimit::None),
        announced(2, at(4.0)),
        announced(2, at(2.0)),
        announced(1, at(0.5)),
    ];
    for start in 0..accounts.len() {
        let mut known = KnownLimits::default();
        for number in 0..accounts.len() * 2 {
            let sent_departures = &accounts[(start + number * 3) % accounts.len()];
            if known.is_superseded_by(sent_departures) {
                known.merge(sent_departures, ms(10));
            }
        }
        assert_eq!(known.rate(&engine(1), ms(20)), Some(rate(2.0)), "the newest, the strictest");
    }
}

#[test]
fn a_limit_ends_by_steps() {
    let mut known = KnownLimits::default();
    record_answer(&mut known, at(3.0), 0, 0);
    record_answer(&mut known, RateLimit::None, 10, 1_000);
    let gets = |after: u64| known.rate(&engine(1), ms(1_000 + after));
    let expected = [3.0, 6.0, 12.0, 24.0, 48.0];
    for (second, rate_then) in expected.into_iter().enumerate() {
        assert_eq!(gets(second as u64 * SECONDS + 500), Some(rate(rate_then)));
    }
    assert_eq!(gets(5 * SECONDS), None);
    // A new limit within this time applies at once.
    record_answer(&mut known, at(3.0), 2_000, 2_100);
    assert_eq!(known.rate(&engine(1), ms(9_000)), Some(rate(3.0)));
}

#[test]
fn a_new_incarnation_has_no_limit() {
    let mut core = configured(routes());
    enter(&mut core, &with_incarnation("engine", 1, 7), 50, 5);
    receive_status(&mut core, &with_incarnation("engine", 1, 7), announces(0.0), 2_000);
    assert!(to_first(&submit_load(&mut core, 100, 2_010, 2_500, 20)).is_empty());
    enter(&mut core, &with_incarnation("engine", 1, 9), 51, 2_600);
    let first = to_first(&submit_load(&mut core, 300, 2_610, 3_110, 20));
    assert!(first.len() >= 10, "{first:?}");
}

#[test]
fn the_number_of_known_limits_is_bounded() {
    let mut known = KnownLimits::default();
    for number in 0..6_000u64 {
        let sent_departures = AnnouncedLimit { incarnation: number, ..announced(1, at(1.0)) };
        known.merge(&sent_departures, ms(number));
    }
    assert!(known.len() <= 4_096);
    assert!(known.take_changes().len() <= 256);
    let gone = known.expire(|_| false, ms(6_000) + Duration::from_secs(601));
    assert!(known.is_empty() && !gone.is_empty());
}

#[test]
fn a_limited_endpoint_gets_messages_with_a_valid_permit_only() {
    let (gates, named) = (Gates::default(), engine(1));
    gates.set_limited(named.id.clone(), 0, true, ms(0));
    for asked in [CallKind::Request, CallKind::Pieces, CallKind::Report, CallKind::Free] {
        assert!(!gates.is_open(&named, asked, None, ms(90_000)), "also much later");
        assert!(gates.is_open(&named, asked, Some(ms(50)), ms(49)));
        assert!(!gates.is_open(&named, asked, Some(ms(50)), ms(50)), "the permit has expired");
        assert!(gates.is_open(&engine(2), asked, None, ms(0)));
    }
    gates.set_limited(named.id.clone(), 0, false, ms(90_000));
    assert!(gates.is_open(&named, CallKind::Request, None, ms(90_000)));
}

#[test]
fn a_withheld_call_goes_to_another_endpoint() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(2_000));
    let (attempt, order) = calls(&actions)[0].clone();
    let actions = receive_status(&mut core, &order.endpoint, announces(0.0), 2_001);
    let closes = |a: &Action| matches!(a, Action::RequirePermits { is_limited: true, .. });
    assert!(actions.iter().any(closes));
    let failure = CallFailure::Withheld;
    let actions = core.handle(Event::CallFailed { caller: 1, attempt, failure }, ms(2_002));
    assert_ne!(calls(&actions)[0].1.endpoint.id, order.endpoint.id);
}

#[test]
fn when_all_endpoints_are_limited_requests_wait_or_are_refused_with_their_turn() {
    let mut core = limited(1.0);
    receive_status(&mut core, &engine(2), announces(1.0), 2_000);
    let mut refused = Vec::new();
    let mut served = Vec::new();
    for caller in 1..=40 {
        let now = ms(2_000 + caller);
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), now);
        served.extend(calls(&actions).iter().map(|_| 0));
        if let Some(refusal) = refusal(&actions) {
            assert_eq!((refusal.reason, refusal.not_run), (Refused::AllLimited, true));
            refused.push(refusal.retry_after);
        }
    }
    // Each request may wait for half of its five seconds: two endpoints, two or three permits each.
    assert!(refused.len() >= 34 && refused.len() <= 36, "{}", refused.len());
    let true_time = |time: &Duration| *time > ms(2_300) && *time < ms(4_200);
    assert!(refused.iter().all(true_time), "{refused:?}");
    for now in 2_040..4_700 {
        let actions = core.handle(Event::Tick, ms(now));
        served.extend(calls(&actions).iter().map(|_| now));
    }
    assert_eq!(served.len() + refused.len(), 40);
    assert!(served.iter().all(|at| *at < 4_600), "{served:?}");
}

#[test]
fn urgent_requests_and_early_deadlines_get_permits_first() {
    let (endpoint_key, pace) = (("engine-1".into(), 0), Pace::new(rate(1.0), 1.0));
    let mut limiter = Limiter::default();
    let asker = |number| Asker { gateway: address(1), number };
    let mut ask = |number, priority, latest: u64| {
        let ask = PermitRequest { asker: asker(number), priority, latest: ms(latest) };
        limiter.request(&endpoint_key, pace, ask, ms(0))
    };
    assert!(ask(1, 5, 9_000).is_empty());
    assert!(ask(2, 5, 8_000).is_empty());
    assert!(ask(3, 1, 9_000).is_empty());
    // Two requests fit before its deadline; after the more urgent ones it would be late.
    assert!(matches!(ask(4, 9, 2_000)[..], [PermitDecision::Refused(who, turn)]
        if who == asker(4) && turn > ms(4_300) && turn < ms(4_600)));
    assert!(ask(5, 5, 4_500).is_empty());
    // It takes the first place; the least urgent request would then wait too long.
    assert!(matches!(ask(6, 0, 9_000)[..], []));
    let mut given = Vec::new();
    for now in 0..8_000 {
        for decided in limiter.issue_due(None, |_| Some(pace), ms(250), ms(now)) {
            match decided {
                PermitDecision::Granted(asker) => given.push(asker.number),
                PermitDecision::Refused(asker, _) => panic!("{asker:?} at {now}"),
            }
        }
    }
    assert_eq!(given, [6, 3, 5, 2, 1]);
}

#[test]
fn a_more_urgent_request_displaces_one_that_can_not_wait() {
    let (endpoint_key, pace) = (("engine-1".into(), 0), Pace::new(rate(1.0), 1.0));
    let mut limiter = Limiter::default();
    let ask = |number, priority, latest: u64| PermitRequest {
        asker: Asker { gateway: address(1), number },
        priority,
        latest: ms(latest),
    };
    assert!(limiter.request(&endpoint_key, pace, ask(1, 5, 1_500), ms(0)).is_empty());
    let decided = limiter.request(&endpoint_key, pace, ask(2, 0, 1_500), ms(10));
    let [PermitDecision::Refused(who, turn)] = decided[..] else { panic!("{decided:?}") };
    assert!(who.number == 1 && turn > ms(2_000) && turn < ms(2_300), "refused at once: {turn:?}");
}

#[test]
fn a_pause_and_a_limit_both_apply() {
    let mut core = limited(2.0);
    receive_status(&mut core, &engine(1), pause_for(ms(3 * SECONDS)), 2_010);
    let first = to_first(&submit_load(&mut core, 100, 2_020, 4_990, 20));
    assert!(first.is_empty(), "{first:?}");
    let first = to_first(&submit_load(&mut core, 400, 6_000, 10_000, 20));
    assert!(!first.is_empty() && first.len() <= 9, "{first:?}");
}

#[test]
fn batch_calls_respect_limits() {
    let mut core = configured(routes());
    for number in 1..=2 {
        receive_status(&mut core, &endpoint("first", number), announces(1.0), 2_000);
    }
    let mut sent = Vec::new();
    for now in (2_010..12_010).step_by(10) {
        let caller = now;
        let mut actions = core.handle(Event::Tick, ms(now));
        if now % 500 == 10 {
            actions.extend(submit(&mut core, caller, incoming("staged", vec![4, 1]), ms(now)));
        }
        for (call, to) in batches(&actions) {
            if to.id.starts_with("first") {
                sent.push((now, to.id.to_string()));
            }
            let made = |n| PieceOutcome::Made(format!("h-{call}-{n}").into());
            let outcome = BatchOutcome::Pieces((0..4).map(made).collect());
            core.handle(Event::BatchEnded { call, outcome }, ms(now + 5));
        }
    }
    assert!(sent.len() >= 12 && sent.len() <= 20, "{sent:?}");
}

/// Two gateways; the second one starts later and knows the first one.
fn two_gateways() -> (GatewayCore, GatewayCore) {
    let gateway = |port| {
        let mut core = GatewayCore::new(Setup { address: address(port), ..setup() });
        publish(&mut core, deployment(1, routes()), ms(0));
        receive_gossip(&mut core, vec![serving(3 - port)], ms(100));
        core
    };
    (gateway(1), gateway(2))
}

fn sent_limits(actions: &[Action]) -> Vec<AnnouncedLimit> {
    announced_states(actions).into_iter().flat_map(|state| state.limits).collect()
}

#[test]
fn a_limit_is_sent_with_two_heartbeats_and_to_starting_gateways() {
    let (mut core, _) = two_gateways();
    let mut sent_departures =
        sent_limits(&receive_status(&mut core, &engine(1), announces(1.0), 200));
    for beat in 1..10 {
        sent_departures.extend(sent_limits(&core.handle(Event::Tick, ms(300 + beat * 200))));
    }
    assert_eq!(
        sent_departures,
        [announced(1, at(1.0)), announced(1, at(1.0))],
        "with two heartbeats"
    );
    let message = Heartbeat { members: vec![serving(5)], ..Heartbeat::default() }.message();
    let actions = core.handle(Event::PeerMessage { from: address(5), message }, ms(1_100));
    assert_eq!(
        sent_limits(&actions),
        [announced(1, at(1.0))],
        "a starting gateway gets it at once"
    );
}

#[test]
fn a_limit_from_a_peer_is_respected() {
    let (mut core, _) = two_gateways();
    let limits = vec![announced(1, at(0.0))];
    let message = Heartbeat { members: vec![serving(2)], limits, ..Heartbeat::default() }.message();
    core.handle(Event::PeerMessage { from: address(2), message }, ms(200));
    for caller in 1..=40 {
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(200 + caller));
        assert!(calls(&actions).iter().all(|(_, order)| &*order.endpoint.id != "engine-1"));
    }
}

fn asked(actions: &[Action]) -> Vec<u64> {
    let sent_departures = actions.iter().filter_map(|a| match a {
        Action::Send { message: PeerMessage::AskPermit { number, .. }, .. } => Some(*number),
        _ => None,
    });
    sent_departures.collect()
}

/// Returns the permit request for an engine whose limiter is the other one of two gateways.
fn permit_request_to_peer(core: &mut GatewayCore, now: u64) -> u64 {
    receive_status(core, &engine(1), announces(1.0), now);
    receive_status(core, &engine(2), announces(1.0), now);
    for caller in 1..=20 {
        let actions = submit(core, caller, incoming("r", Vec::new()), ms(now + caller));
        if let Some(number) = asked(&actions).first() {
            return *number;
        }
    }
    panic!("the other gateway is not the limiter")
}

#[test]
fn a_late_permit_is_void() {
    let (_, mut core) = two_gateways();
    let number = permit_request_to_peer(&mut core, 500);
    let later = 9_000;
    core.handle(Event::Tick, ms(later));
    let (granted, retry_after) = (true, Duration::ZERO);
    let message = PeerMessage::Permit { number, granted, retry_after };
    let actions = core.handle(Event::PeerMessage { from: address(1), message }, ms(later));
    assert!(calls(&actions).is_empty());
}

#[test]
fn only_the_limiter_grants_permits() {
    let (_, mut core) = two_gateways();
    let number = permit_request_to_peer(&mut core, 500);
    let (granted, retry_after) = (true, Duration::ZERO);
    let message = PeerMessage::Permit { number, granted, retry_after };
    let event = |from| Event::PeerMessage { from: address(from), message: message.clone() };
    assert!(calls(&core.handle(event(7), ms(530))).is_empty());
    assert_eq!(calls(&core.handle(event(1), ms(531))).len(), 1);
    assert!(calls(&core.handle(event(1), ms(532))).is_empty(), "one permit, one message");
}

fn settled(others: u16) -> Members {
    let mut members = Members::new(address(1), 1, 1_000, Location::default(), Vec::new());
    members.set_state(MemberState::Serving);
    let alive: Vec<Member> = (2..2 + others).map(serving).collect();
    members.merge(&alive, ms(0));
    members
}

#[test]
fn a_limiter_grants_the_share_of_reachable_gateways() {
    let mut members = settled(9);
    let all = |_: &Member| true;
    assert!((members.reachable_share(all, ms(500)) - 0.1).abs() < 1e-9, "not yet settled");
    assert!((members.reachable_share(all, ms(1_000)) - 1.0).abs() < 1e-9);
    for port in 2..=5 {
        members.mark_unreachable(address(port), serving(port).incarnation, ms(1_100));
    }
    assert!((members.reachable_share(all, ms(1_200)) - 0.6).abs() < 1e-9);
    let reads = |member: &Member| member.address != address(10);
    assert!((members.reachable_share(reads, ms(1_200)) - 0.5).abs() < 1e-9, "another build");
    // Unreachable gateways may still be up behind a network partition long after they have expired
    // as members.
    let heartbeat = |port| Member { heartbeat: 900, ..serving(port) };
    let alive: Vec<Member> = (6..=10).map(heartbeat).collect();
    members.merge(&alive, ms(70_000));
    members.expire(Duration::ZERO, ms(70_100));
    assert!((members.reachable_share(all, ms(72_000)) - 0.6).abs() < 1e-9);
}

#[test]
fn a_new_limiter_waits_until_its_predecessor_has_stopped() {
    let all = |_: &Member| true;
    let mut taken_over = 0;
    for what in 0..40 {
        let mut members = settled(3);
        let what = format!("engine-{what}");
        let (first, from) = members.limiter(&what, all).expect("one");
        assert_eq!(from, ms(0));
        if !members.mark_unreachable(first, serving(first.port()).incarnation, ms(5_000)) {
            continue;
        }
        let (next, from) = members.limiter(&what, all).expect("another");
        assert_ne!(next, first);
        assert_eq!(from, ms(6_000));
        taken_over += 1;
    }
    assert!(taken_over > 10);
}

#[test]
fn permits_are_not_requested_from_builds_without_them() {
    let (mut core, _) = two_gateways();
    let build = Build { version: "0.0.9".to_owned(), commit: None, form: 4 };
    let incarnation = serving(2).incarnation;
    core.handle(Event::PeerGreeted { address: address(2), incarnation, build }, ms(150));
    receive_status(&mut core, &engine(1), announces(4.0), 2_000);
    receive_status(&mut core, &engine(2), announces(4.0), 2_000);
    let sent = submit_load(&mut core, 1, 2_010, 6_010, 20);
    // Each of the two gateways sends half of the limit.
    assert!(sent.len() >= 10 && sent.len() <= 16, "{}", sent.len());
}
