//! A gateway with event lag, or whose owner has event lag: which requests it holds, refuses or
//! resubmits.

mod directenv;

use std::time::Duration;

use directenv::gateway::{
    Heartbeat, calls, configured, incoming, receive_gossip, refusal, serving, submit,
};
use directenv::{address, ms, route};
use stackmast::actor::{self, Core, Shell};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, Refused};
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::model::{Repeat, Route};
use test_case::test_case;

fn plain() -> Route {
    Route { timeout: ms(800), objective: ms(120), ..route("plain", Repeat::Idempotent, &[]) }
}

fn staged() -> Route {
    route("staged", Repeat::AtMostOnce, &[("first", &[], 10)])
}

/// Reports that 30 events in a row waited `waited` for the core.
fn report_queue_delays(core: &mut GatewayCore, waited: Duration, now: Duration) {
    for _ in 0..30 {
        core.on_queue_delay(waited, now);
        core.handle(Event::Tick, now);
    }
}

#[test]
fn the_timeout_of_a_request_counts_from_its_arrival() {
    let mut core = configured(vec![plain()]);
    core.on_queue_delay(ms(15), ms(1_015));
    let actions = submit(&mut core, 1, incoming("plain", vec![]), ms(1_015));
    assert_eq!(calls(&actions)[0].1.timeout, ms(785));
    core.on_queue_delay(Duration::ZERO, ms(1_801));
    let actions = core.handle(Event::Tick, ms(1_801));
    assert!(refusal(&actions).is_some(), "answered 800 ms after its arrival");
}

#[test]
fn an_overloaded_gateway_refuses_new_requests_as_not_run() {
    let mut core = configured(vec![plain()]);
    report_queue_delays(&mut core, ms(450), ms(1_000));
    core.on_queue_delay(ms(450), ms(1_001));
    let actions = submit(&mut core, 1, incoming("plain", vec![]), ms(1_001));
    assert!(calls(&actions).is_empty(), "no call is sent");
    let refused = refusal(&actions).expect("a refusal");
    assert_eq!((refused.reason, refused.not_run), (Refused::Overloaded, true));
    assert!(refused.retry_after >= ms(150));
}

#[test]
fn refusals_end_with_the_event_lag() {
    let mut core = configured(vec![plain()]);
    report_queue_delays(&mut core, ms(450), ms(1_000));
    let mut now = ms(1_001);
    for _ in 0..20 {
        now += ms(1);
        core.on_queue_delay(Duration::ZERO, now);
        core.handle(Event::Tick, now);
    }
    let actions = submit(&mut core, 1, incoming("plain", vec![]), now);
    assert_eq!(calls(&actions).len(), 1, "20 ms later");
}

#[test]
fn overload_is_logged_when_it_starts_and_when_it_ends() {
    let mut core = configured(vec![plain()]);
    let told = |actions: Vec<Action>| -> Vec<bool> {
        let told = actions.into_iter().filter_map(|a| match a {
            Action::Log(LogEvent::Overloaded { is_overloaded, .. }) => Some(is_overloaded),
            _ => None,
        });
        told.collect()
    };
    let mut all = Vec::new();
    for waited in [0, 400, 400, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0] {
        core.on_queue_delay(ms(waited), ms(1_000));
        all.extend(told(core.handle(Event::Tick, ms(1_000))));
    }
    assert_eq!(all, [true, false]);
}

/// A gateway whose stages are owned by another gateway.
fn with_owner() -> GatewayCore {
    let mut core = configured(vec![staged()]);
    let strong = stackmast::direct::peers::members::Member { capacity: 9_000, ..serving(5) };
    receive_gossip(&mut core, vec![strong], ms(1_000));
    core
}

/// Time in milliseconds after which the stages are submitted to a second owner.
fn resubmitted_after(core: &mut GatewayCore, event_lag: Duration) -> Option<u64> {
    let strong = stackmast::direct::peers::members::Member { capacity: 9_000, ..serving(5) };
    let beat = |heartbeat: u64| {
        let members =
            vec![stackmast::direct::peers::members::Member { heartbeat, ..strong.clone() }];
        let message =
            Heartbeat { members, complete: true, event_lag, ..Heartbeat::default() }.message();
        Event::PeerMessage { from: address(5), message }
    };
    core.handle(beat(2), ms(1_100));
    let actions = submit(core, 1, incoming("staged", vec![1]), ms(1_100));
    let is_submitted = |a: &Action| matches!(a, Action::Send { to, message: PeerMessage::Submit(_) } if *to == address(5));
    assert!(actions.iter().any(is_submitted), "to the owner");
    for tick in 1..400 {
        let after = tick * 5;
        let actions = core.handle(beat(2 + tick), ms(1_100 + after));
        let is_given_up = |a: &Action| matches!(a, Action::Send { to, message: PeerMessage::Release(_) } if *to == address(5));
        if actions.iter().any(is_given_up) {
            return Some(after);
        }
    }
    None
}

#[test_case(0, 250; "an owner without event lag")]
#[test_case(150, 700; "a longer wait for an owner with event lag")]
#[test_case(2_000, 1_450; "a bounded wait for an owner with a large event lag")]
fn a_job_is_resubmitted_when_its_owner_does_not_decide(late: u64, after: u64) {
    let mut core = with_owner();
    assert_eq!(resubmitted_after(&mut core, ms(late)), Some(after));
}

/// Records the callers whose events are handled.
struct Recorder(std::sync::mpsc::Sender<u64>);

struct Numbers(Vec<u64>);

impl Core for Numbers {
    type Event = u64;
    type Action = u64;
    const TICK: u64 = 0;

    fn is_urgent(event: &u64) -> bool {
        *event < 10
    }

    fn handle(&mut self, event: u64, _now: Duration) -> Vec<u64> {
        self.0.push(event);
        vec![event]
    }

    fn next_wakeup(&self) -> Option<Duration> {
        None
    }
}

impl Shell<Numbers> for Recorder {
    fn act(&mut self, action: u64, _core: &Numbers) {
        self.0.send(action).ok();
    }
}

#[tokio::test]
async fn urgent_events_are_handled_first() {
    let (handle, mailbox) = actor::mailbox::<Numbers>();
    for event in [11, 12, 13, 1, 14, 2] {
        handle.send(event).await.expect("it runs");
    }
    drop(handle);
    let (sender, handled) = std::sync::mpsc::channel();
    actor::run(Numbers(Vec::new()), Recorder(sender), mailbox).await;
    assert_eq!(handled.iter().collect::<Vec<_>>(), [1, 2, 11, 12, 13, 14]);
}

#[tokio::test]
async fn urgent_events_do_not_starve_the_others() {
    let (handle, mailbox) = actor::mailbox::<Numbers>();
    for event in std::iter::repeat_n(1, 100).chain([11, 12]) {
        handle.send(event).await.expect("it runs");
    }
    drop(handle);
    let (sender, handled) = std::sync::mpsc::channel();
    actor::run(Numbers(Vec::new()), Recorder(sender), mailbox).await;
    let handled: Vec<u64> = handled.iter().collect();
    let place = |event: u64| handled.iter().position(|e| *e == event);
    assert_eq!((place(11), place(12)), (Some(16), Some(33)));
    assert_eq!(handled.len(), 102);
}
