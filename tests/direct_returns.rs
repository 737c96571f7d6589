//! Callers that were refused for lack of capacity and return: their places at the owner.

mod directenv;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{configured, incoming, refusal, submit};
use directenv::{address, deployment, endpoints, job, job_id, ms, route, table};
use stackmast::actor::Core;
use stackmast::direct::answers::{BatchOutcome, PieceOutcome};
use stackmast::direct::event::{Action, Event, Refused};
use stackmast::direct::log_events::{LoadEvent, LogEvent};
use stackmast::direct::owner::owners::Owners;
use stackmast::direct::owner::scheduler::Scheduler;
use stackmast::direct::peers::message::{Job, JobReason, PeerMessage};
use stackmast::direct::poison::fingerprint::Fingerprint;
use stackmast::direct::published::model::{Repeat, Route};
use stackmast::direct::published::table::Table;
use stackmast::direct::repeats::RepeatBudget;
use stackmast::policy::places::{HORIZON, MAX_WAIT, SLOT_SHARE, STEP, TOLERANCE};

const BUDGET: RepeatBudget =
    RepeatBudget { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
/// Pieces that fill the pool until admission refuses; each job has one.
const FILL: u64 = 400;

fn one_stage() -> Route {
    route("r", Repeat::AtMostOnce, &[("first", &[], 1)])
}

/// A job of one piece whose content is `content`.
fn request(number: u64, content: u64) -> Job {
    let fingerprint = Fingerprint::of_content("POST", &content.to_string(), b"");
    Job { fingerprint, to_objective: ms(1_000), ..job(number, &one_stage(), 1) }
}

fn of_organisation(name: Option<&str>, request: Job) -> Job {
    Job { organisation: name.map(Into::into), ..request }
}

/// What the owner answered to a job.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Answer {
    Accepted,
    Refused { not_started: bool, retry_after: Duration },
}

fn answer(actions: &[Action], job: &Job) -> Option<Answer> {
    actions.iter().find_map(|action| match action {
        Action::Send { message: PeerMessage::Accepted(id), .. } if *id == job.id => {
            Some(Answer::Accepted)
        }
        Action::Send {
            message: PeerMessage::Cancelled { job: id, not_started, retry_after, .. },
            ..
        } if *id == job.id => {
            Some(Answer::Refused { not_started: *not_started, retry_after: *retry_after })
        }
        _ => None,
    })
}

fn load_events(actions: &[Action]) -> Vec<LoadEvent> {
    let events = actions.iter().filter_map(|action| match action {
        Action::Log(LogEvent::Load(event)) => Some(event.clone()),
        _ => None,
    });
    events.collect()
}

fn outcomes(actions: &[Action]) -> Vec<&'static str> {
    let events = load_events(actions).into_iter();
    let ended = events.filter_map(|event| match event {
        LoadEvent::PlaceEnded { outcome, .. } => Some(outcome),
        _ => None,
    });
    ended.collect()
}

fn booked(actions: &[Action]) -> usize {
    let events = load_events(actions).into_iter();
    events.filter(|event| matches!(event, LoadEvent::PlaceBooked { .. })).count()
}

/// An owner whose calls take as long as their pieces need.
struct Owner {
    scheduler: Scheduler,
    table: Table,
    calls: BTreeMap<Duration, Vec<(u64, usize)>>,
    log: Vec<Action>,
}

impl Owner {
    fn new() -> Self {
        let table = table(vec![one_stage()]);
        let scheduler = Scheduler::new(BUDGET);
        Self { scheduler, table, calls: BTreeMap::new(), log: Vec::new() }
    }

    /// An owner whose pool has as much to do as admission allows.
    fn full() -> Self {
        let mut owner = Self::new();
        let refused = |number| {
            let filling = request(number, number);
            // Without a fingerprint, a refused job gets no place.
            let filling = Job { fingerprint: Fingerprint::default(), ..filling };
            owner.submit(&filling, ms(0)) != Answer::Accepted
        };
        assert!((100_000..100_000 + FILL).any(refused), "the pool fills");
        owner
    }

    fn submit(&mut self, job: &Job, now: Duration) -> Answer {
        self.scheduler.submit(job.clone(), &self.table, now);
        let actions = self.act(now);
        answer(&actions, job).expect("an answer")
    }

    /// Submits a job that has to be refused, and returns the time until it should return.
    fn refused(&mut self, job: &Job, now: Duration) -> Duration {
        match self.submit(job, now) {
            Answer::Refused { not_started: true, retry_after } => retry_after,
            answer => panic!("{answer:?}"),
        }
    }

    fn act(&mut self, now: Duration) -> Vec<Action> {
        let actions = self.scheduler.actions(&self.table, now);
        for action in &actions {
            if let Action::CallBatch { call, pieces, .. } = action {
                let ends = now + directenv::CALL + directenv::PIECE * pieces.len() as u32;
                self.calls.entry(ends).or_default().push((*call, pieces.len()));
            }
        }
        self.log.extend(self.scheduler_log(&actions));
        actions
    }

    fn scheduler_log(&self, actions: &[Action]) -> Vec<Action> {
        let events = load_events(actions).into_iter();
        events.map(|event| Action::Log(LogEvent::Load(event))).collect()
    }

    /// Runs until `now`; returns the jobs that became ready.
    fn run(&mut self, from: Duration, until: Duration) -> Vec<u64> {
        let mut ready = Vec::new();
        let mut now = from;
        while now < until {
            now += ms(10);
            let later = self.calls.split_off(&(now + ms(1)));
            for (call, pieces) in std::mem::replace(&mut self.calls, later).into_values().flatten()
            {
                let made = |i| PieceOutcome::Made(format!("{call}/{i}").into());
                let outcome = BatchOutcome::Pieces((0..pieces).map(made).collect());
                self.scheduler.batch_ended(call, outcome, &self.table, now);
            }
            self.scheduler.run_timers(&self.table, now);
            for action in self.act(now) {
                if let Action::Send { message: PeerMessage::Ready(id), .. } = action {
                    ready.push(id.number);
                    self.scheduler.release(id, &self.table);
                }
            }
        }
        ready
    }
}

/// Answers to callers under steady arrivals with a burst; refused callers return once, at their
/// time.
struct Burst {
    returned: usize,
    served: usize,
    new_served: usize,
}

fn play_burst(seed: u64) -> Burst {
    let mut owner = Owner::new();
    let mut returns: BTreeMap<Duration, Vec<u64>> = BTreeMap::new();
    let mut is_return = BTreeMap::new();
    let (mut number, mut arrivals) = (0, 0.0);
    let (mut returned, mut served, mut new_served) = (0, 0, 0);
    for step in 0..900 {
        let now = ms(step * 10);
        // 28 pieces a second can be served; a burst has three times as many.
        let rate = if (100..400).contains(&step) { 84.0 } else { 12.0 };
        let wave = if (step + seed * 7) % 20 < 10 { 1.5 } else { 0.5 };
        arrivals += rate * wave * 0.01;
        let later = returns.split_off(&(now + ms(1)));
        let due = std::mem::replace(&mut returns, later).into_values().flatten();
        let mut submissions: Vec<(u64, bool)> = Vec::new();
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            submissions.push((number + 1_000_000 * (seed + 1), false));
            number += 1;
        }
        submissions.extend(due.map(|content| (content, true)));
        for (content, is_second) in submissions {
            number += 1;
            let answer = owner.submit(&request(number, content), now);
            returned += usize::from(is_second);
            match answer {
                Answer::Accepted => {
                    is_return.insert(number, is_second);
                }
                Answer::Refused { retry_after, .. } if !is_second && retry_after <= ms(3_333) => {
                    // Connecting again takes some milliseconds.
                    returns.entry(now + retry_after + ms(content % 30)).or_default().push(content);
                }
                Answer::Refused { .. } => {}
            }
        }
        for ready in owner.run(now, now + ms(10)) {
            let is_second = is_return[&ready];
            served += usize::from(is_second);
            new_served += usize::from(!is_second);
        }
    }
    owner.run(ms(9_000), ms(12_000)).iter().for_each(|ready| {
        served += usize::from(is_return[ready]);
    });
    Burst { returned, served, new_served }
}

/// Load: a burst of three times what the pool can serve, for three seconds.
#[test]
fn callers_refused_in_a_burst_are_served_when_they_return() {
    for seed in 0..5 {
        let Burst { returned, served, new_served } = play_burst(seed);
        assert!(returned >= 10, "seed {seed}: {returned} returned");
        assert!(served * 100 >= returned * 85, "seed {seed}: {served} of {returned} served");
        assert!(new_served > served, "seed {seed}: new callers are served, too: {new_served}");
    }
}

/// Load: a returned caller and a new one of its priority compete for a full pool.
#[test]
fn a_returned_caller_precedes_new_ones_of_its_priority() {
    let mut owner = Owner::full();
    let after = owner.refused(&request(1, 1), ms(0));
    let mut number = 10;
    let mut now = ms(0);
    // New callers take whatever becomes free.
    while now < after {
        owner.run(now, now + ms(50));
        now += ms(50);
        for _ in 0..6 {
            number += 1;
            let new = Job { fingerprint: Fingerprint::default(), ..request(number, number) };
            owner.submit(&new, now);
        }
    }
    number += 1;
    let new = Job { fingerprint: Fingerprint::default(), ..request(number, number) };
    while owner.submit(&new, now) == Answer::Accepted {
        owner.scheduler.release(new.id, &owner.table);
        number += 1;
        let filling = Job { fingerprint: Fingerprint::default(), ..request(number, number) };
        owner.submit(&Job { id: job_id(number + 5_000), ..filling }, now);
    }
    assert_eq!(owner.submit(&request(2, 1), now), Answer::Accepted);
    assert_eq!(outcomes(&owner.log), ["used"]);
}

#[test]
fn a_caller_that_repeats_early_gains_nothing() {
    let mut owner = Owner::full();
    let after = owner.refused(&request(1, 1), ms(0));
    assert_eq!(booked(&owner.log), 1);
    for repeat in 0..5 {
        let again = owner.refused(&request(10 + repeat, 1), ms(0));
        assert_eq!(again, after, "its original time");
    }
    assert_eq!(booked(&owner.log), 1, "one place for each fingerprint");
    assert!(outcomes(&owner.log).is_empty(), "its place is kept");
}

#[test]
fn an_early_caller_for_which_there_is_capacity_gives_its_place_back() {
    let mut owner = Owner::full();
    let after = owner.refused(&request(1, 1), ms(0));
    let ids: Vec<_> = owner.scheduler.active_jobs().map(|(id, _)| *id).collect();
    ids.into_iter().for_each(|id| owner.scheduler.release(id, &owner.table));
    assert!(after > ms(100));
    assert_eq!(owner.submit(&request(2, 1), ms(20)), Answer::Accepted);
    assert_eq!(outcomes(&owner.log), ["early"]);
}

#[test]
fn a_place_that_is_not_used_is_released() {
    let mut owner = Owner::full();
    let after = owner.refused(&request(1, 1), ms(0));
    owner.run(ms(0), after + TOLERANCE - ms(60));
    assert!(outcomes(&owner.log).is_empty());
    assert!(owner.scheduler.next_wakeup().is_some());
    owner.run(after + TOLERANCE - ms(60), after + TOLERANCE + ms(100));
    assert_eq!(outcomes(&owner.log), ["unused"]);
}

#[test]
fn times_later_than_the_caller_can_wait_are_told_without_a_place() {
    let mut owner = Owner::full();
    let impatient = Job { to_deadline: ms(300), ..request(1, 1) };
    assert!(owner.refused(&impatient, ms(0)) > ms(100));
    assert_eq!(booked(&owner.log), 0);
}

#[test]
fn a_request_that_is_late_without_any_other_work_gets_no_place() {
    let mut owner = Owner::full();
    let impossible = Job { to_objective: ms(200), ..request(1, 1) };
    assert!(owner.refused(&impossible, ms(0)) >= HORIZON);
    assert_eq!(booked(&owner.log), 0);
}

#[test]
fn a_refusal_for_lack_of_endpoints_books_no_place() {
    let mut owner = Owner::new();
    owner.table = Table::new(Arc::new(deployment(1, vec![one_stage()])), [].iter());
    owner.refused(&request(1, 1), ms(0));
    assert_eq!(booked(&owner.log), 0);
}

#[test]
fn the_number_of_places_is_bounded() {
    let mut owner = Owner::full();
    for number in 1..6_000 {
        owner.refused(&request(number, number), ms(0));
    }
    let places = booked(&owner.log);
    // Pieces of 70 ms on two endpoints.
    let bookable = (MAX_WAIT + STEP).mul_f64(2.0 * SLOT_SHARE).div_duration_f64(ms(70));
    assert!(places > 2 && places as f64 <= bookable, "{places}");
}

#[test]
fn callers_without_an_organisation_share_as_one() {
    let places_of = |anonymous: Option<&str>| {
        let mut owner = Owner::full();
        for number in 1..200 {
            let name = if number % 10 == 0 { Some("small") } else { anonymous };
            owner.refused(&of_organisation(name, request(number, number)), ms(0));
        }
        let events = load_events(&owner.log).into_iter();
        let of_small = events.filter(|event| {
            matches!(event, LoadEvent::PlaceBooked { organisation: Some(name), .. }
                if &**name == "small")
        });
        (of_small.count(), booked(&owner.log))
    };
    assert_eq!(places_of(None), places_of(Some("large")));
}

#[test]
fn a_job_without_a_fingerprint_gets_no_place() {
    let mut owner = Owner::full();
    let of_old_build = Job { fingerprint: Fingerprint::default(), ..request(1, 1) };
    owner.refused(&of_old_build, ms(0));
    assert_eq!(booked(&owner.log), 0);
}

#[test]
fn the_next_owner_treats_a_returned_caller_as_new() {
    let mut owner = Owner::full();
    let after = owner.refused(&request(1, 1), ms(0));
    let mut next = Owner::new();
    assert_eq!(next.submit(&request(2, 1), after), Answer::Accepted);
    assert!(load_events(&next.log).is_empty());
}

#[test]
fn a_stopping_owner_releases_its_places() {
    let mut owner = Owner::full();
    owner.refused(&request(1, 1), ms(0));
    owner.scheduler.hand_back_jobs(address(9));
    owner.act(ms(10));
    assert_eq!(outcomes(&owner.log), ["released"]);
}

#[test]
fn places_of_a_pool_without_endpoints_are_released() {
    let mut owner = Owner::full();
    owner.refused(&request(1, 1), ms(0));
    let others = endpoints().into_iter().filter(|e| !e.id.starts_with("first"));
    let others: Vec<_> = others.collect();
    owner.table = Table::new(Arc::new(deployment(1, vec![one_stage()])), others.iter());
    owner.scheduler.table_changed(&owner.table);
    owner.act(ms(10));
    assert_eq!(outcomes(&owner.log), ["released"]);
}

#[test]
fn places_survive_the_loss_of_one_endpoint() {
    let mut owner = Owner::full();
    owner.refused(&request(1, 1), ms(0));
    let others = endpoints().into_iter().filter(|e| *e.id != *"first-1");
    let others: Vec<_> = others.collect();
    owner.table = Table::new(Arc::new(deployment(1, vec![one_stage()])), others.iter());
    owner.scheduler.table_changed(&owner.table);
    owner.act(ms(10));
    assert!(outcomes(&owner.log).is_empty());
}

#[test]
fn after_a_suspension_expired_places_are_released_once() {
    let mut owner = Owner::full();
    let after = owner.refused(&request(1, 1), ms(0));
    let resumed = after + ms(20_000);
    owner.scheduler.on_suspension(resumed);
    owner.run(resumed, resumed + ms(400));
    assert_eq!(outcomes(&owner.log), ["unused"]);
}

#[test]
fn a_request_that_another_cell_admits_gives_its_place_back() {
    let table = table(vec![one_stage()]);
    let mut owners = Owners::new(address(1), BUDGET);
    let mut log = Vec::new();
    let in_cell = |cell: &str, job: Job| Job { cell: cell.into(), ..job };
    let mut number = 1_000;
    while booked(&log) == 0 {
        number += 1;
        owners.submit(in_cell("a", request(number, number)), &table, ms(0));
        log.extend(owners.actions(&table, ms(0)));
        assert!(number < 1_000 + FILL, "the pool fills");
    }
    owners.submit(in_cell("b", request(1, number)), &table, ms(10));
    let actions = owners.actions(&table, ms(10));
    assert_eq!(outcomes(&actions), ["elsewhere"]);
}

#[test]
fn a_time_chosen_by_an_owner_reaches_the_caller_without_jitter() {
    for reason in [JobReason::NoRoom, JobReason::WouldBeLate] {
        let staged = route("staged", Repeat::AtMostOnce, &[("first", &[], 1)]);
        let mut core = configured(vec![staged]);
        let mut number = 0;
        let retry_after = ms(2_000);
        for caller in 1..20 {
            submit(&mut core, caller, incoming("staged", vec![1]), ms(caller));
            number += 1;
            let job = stackmast::direct::peers::message::JobId { number: caller, ..job_id(0) };
            let message = PeerMessage::Cancelled { job, reason, not_started: true, retry_after };
            let actions = core.handle(Event::PeerMessage { from: address(1), message }, ms(caller));
            let refusal = refusal(&actions).expect("refused");
            assert!(refusal.not_run && refusal.reason == Refused::Overloaded);
            assert!(refusal.retry_after >= retry_after);
            assert!(refusal.retry_after <= retry_after + ms(20), "{:?}", refusal.retry_after);
        }
        assert_eq!(number, 19);
    }
}
