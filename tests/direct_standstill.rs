//! A process that was suspended for seconds, with its machine or alone, and its decisions when it
//! resumes.
//!
//! With a clock that doesn't count the suspension, the process would take outdated state for
//! current. With a clock that counts it, the process would take all peers for unreachable, although
//! their messages of that time are still unread. It has to count the time and read the messages
//! before it decides.

mod directenv;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use directenv::gateway::{
    answered, calls, configured, good, incoming, is_delivered, receive_gossip, refusal, serving,
    submit,
};
use directenv::{ms, route};
use stackmast::actor::{self, Core, Shell};
use stackmast::clock::{Clock, since_boot};
use stackmast::direct::answers::{BatchOutcome, BatchReport, PieceOutcome};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, Refused};
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::model::Repeat;

const SUSPENDED: Duration = Duration::from_secs(5);

/// A clock that can be advanced, as by a suspension that the runtime's timers don't notice.
fn clock() -> (Clock, Arc<AtomicU64>) {
    let suspended = Arc::new(AtomicU64::new(0));
    let by = suspended.clone();
    let read = move || since_boot() + Duration::from_millis(by.load(Ordering::Relaxed));
    (Clock::new(read), suspended)
}

/// Core that records its notifications.
struct Recorder(std::sync::mpsc::Sender<(&'static str, Duration)>);

impl Core for Recorder {
    type Event = ();
    type Action = ();
    const TICK: () = ();

    fn on_suspension(&mut self, duration: Duration, _now: Duration) {
        self.0.send(("suspended", duration)).ok();
    }

    fn on_queue_delay(&mut self, waited: Duration, _now: Duration) {
        self.0.send(("waited", waited)).ok();
    }

    fn handle(&mut self, _event: (), _now: Duration) -> Vec<()> {
        Vec::new()
    }

    fn next_wakeup(&self) -> Option<Duration> {
        None
    }
}

struct Idle;

impl Shell<Recorder> for Idle {
    fn act(&mut self, _action: (), _core: &Recorder) {}
}

#[tokio::test]
async fn a_core_is_notified_of_a_suspension_and_its_duration() {
    let (clock, suspended) = clock();
    let (handle, mailbox) = actor::mailbox_with_clock::<Recorder>(clock);
    let (sender, told) = std::sync::mpsc::channel();
    let core = tokio::spawn(actor::run(Recorder(sender), Idle, mailbox));
    handle.send(()).await.expect("it runs");
    tokio::time::sleep(ms(20)).await;
    suspended.store(SUSPENDED.as_millis() as u64, Ordering::Relaxed);
    handle.send(()).await.expect("it runs");
    tokio::time::sleep(ms(20)).await;
    assert!(handle.now() >= SUSPENDED);
    drop(handle);
    core.await.expect("it ends");
    let told: Vec<_> = told.iter().collect();
    let stood_still: Vec<_> = told.iter().filter(|(what, _)| *what == "suspended").collect();
    assert_eq!(stood_still.len(), 1, "{told:?}");
    assert!(stood_still[0].1 > SUSPENDED - ms(1_100), "{told:?}");
    assert!(told.iter().all(|(what, took)| *what != "waited" || *took < ms(500)), "{told:?}");
}

#[tokio::test]
async fn sleeps_that_end_during_a_suspension_end_on_resume() {
    let (clock, suspended) = clock();
    let (handle, mailbox) = actor::mailbox_with_clock::<Recorder>(clock);
    let (sender, _told) = std::sync::mpsc::channel();
    tokio::spawn(actor::run(Recorder(sender), Idle, mailbox));
    let begun = Instant::now();
    let until = handle.now() + ms(4_000);
    let waits = tokio::spawn({
        let handle = handle.clone();
        async move { handle.sleep_until(until).await }
    });
    tokio::time::sleep(ms(50)).await;
    suspended.store(SUSPENDED.as_millis() as u64, Ordering::Relaxed);
    handle.send(()).await.expect("it runs");
    waits.await.expect("it ends");
    assert!(begun.elapsed() < ms(1_500), "{:?}", begun.elapsed());
}

fn lost(actions: &[Action]) -> usize {
    let is_lost = |a: &&Action| matches!(a, Action::Log(LogEvent::Peer { alive: false, .. }));
    actions.iter().filter(is_lost).count()
}

/// Suspends the process from one time to another.
fn suspend(core: &mut GatewayCore, from: Duration, to: Duration) -> Vec<Action> {
    core.handle(Event::Tick, from);
    core.on_suspension(to - from, to);
    core.handle(Event::Tick, to)
}

#[test]
fn peers_are_not_silent_before_their_messages_can_be_read() {
    let mut core = configured(vec![route("r", Repeat::Idempotent, &[])]);
    receive_gossip(&mut core, vec![serving(2), serving(3)], ms(1_000));
    let actions = suspend(&mut core, ms(1_200), ms(6_200));
    assert_eq!(lost(&actions), 0);
    let is_told =
        |a: &&Action| matches!(a, Action::Broadcast { message: PeerMessage::Gossip { .. }, .. });
    assert_eq!(actions.iter().filter(is_told).count(), 1, "sends a heartbeat at once");
    assert_eq!(lost(&core.handle(Event::Tick, ms(6_900))), 0);
    assert_eq!(lost(&core.handle(Event::Tick, ms(7_100))), 2, "peers that stay silent are down");
}

#[test]
fn an_answer_received_during_a_suspension_is_delivered_without_a_repeat() {
    let mut core = configured(vec![route("r", Repeat::Idempotent, &[])]);
    let attempt = calls(&submit(&mut core, 1, incoming("r", vec![]), ms(1_000)))[0].0;
    let actions = suspend(&mut core, ms(1_100), ms(6_100));
    assert!(calls(&actions).is_empty() && refusal(&actions).is_none(), "it may wait to be read");
    assert!(is_delivered(&core.handle(answered(attempt, good()), ms(6_110))));
}

#[test]
fn an_unanswered_call_is_repeated_or_timed_out_after_a_suspension() {
    let mut core = configured(vec![route("r", Repeat::Idempotent, &[])]);
    submit(&mut core, 1, incoming("r", vec![]), ms(1_000));
    suspend(&mut core, ms(1_100), ms(3_600));
    let again = calls(&core.handle(Event::Tick, ms(3_700)));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.timeout, ms(2_300), "the timeout kept running");
    suspend(&mut core, ms(3_700), ms(8_700));
    let refused = refusal(&core.handle(Event::Tick, ms(8_800))).expect("its time is over");
    assert_eq!((refused.reason, refused.not_run), (Refused::TimedOut, false));
}

#[test]
fn pieces_produced_during_a_suspension_are_not_produced_again() {
    let staged = route("s", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let mut core = configured(vec![staged]);
    let actions = submit(&mut core, 1, incoming("s", vec![1]), ms(1_000));
    let batch = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::CallBatch { call, .. } => Some(*call),
            _ => None,
        })
    };
    let call = batch(&actions).expect("a call");
    let actions = suspend(&mut core, ms(1_100), ms(4_100));
    assert_eq!(batch(&actions), None, "its result may wait to be read");
    let outcome = BatchOutcome::Pieces(vec![PieceOutcome::Made("h".into())]);
    let actions = core.handle(Event::BatchEnded { call, outcome }, ms(4_110));
    assert_eq!(calls(&actions).len(), 1, "the request runs");
    let is_slow = |a: &Action| matches!(a, Action::Log(LogEvent::Suspicion { .. }));
    assert!(!actions.iter().any(is_slow), "the endpoint was not slow, this process was suspended");
}

#[test]
fn a_report_from_before_a_suspension_is_ignored() {
    let staged = route("s", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let mut core = configured(vec![staged]);
    submit(&mut core, 1, incoming("s", vec![1]), ms(1_000));
    let told = |core: &mut GatewayCore, now: Duration| {
        let report = BatchReport { free_bytes: 10, waiting: 0, incarnation: 0 };
        let endpoint = "first-1".into();
        let actions =
            core.handle(Event::ReportReceived { endpoint, report, requested_at: ms(1_000) }, now);
        actions.iter().any(|a| matches!(a, Action::Log(LogEvent::ReportReceived { .. })))
    };
    assert!(told(&mut core, ms(1_010)));
    suspend(&mut core, ms(1_100), ms(4_100));
    assert!(!told(&mut core, ms(4_101)));
}
