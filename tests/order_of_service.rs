//! Order of service at the owner of batch pools: which jobs are admitted, give way and run first
//! while callers of several priorities compete for the same pools.

mod directenv;

use std::collections::BTreeMap;
use std::time::Duration;

use directenv::{job, job_id, ms, route, table};
use stackmast::direct::answers::{BatchOutcome, PieceOutcome};
use stackmast::direct::event::Action;
use stackmast::direct::log_events::{LoadEvent, LogEvent};
use stackmast::direct::owner::scheduler::Scheduler;
use stackmast::direct::peers::message::{Job, JobId, JobReason, PeerMessage};
use stackmast::direct::published::model::{Repeat, Route};
use stackmast::direct::published::table::Table;
use stackmast::direct::repeats::RepeatBudget;
use stackmast::policy::arrivals::Arrivals;
use stackmast::policy::urgency::Urgency;
use test_case::test_case;

const URGENT: u8 = 0;
const PATIENT: u8 = 2;

const fn urgency(priority: u8, route: u8) -> Urgency {
    Urgency { priority, route }
}

/// An owner whose calls take 240 ms and some time for each piece.
struct Owner {
    scheduler: Scheduler,
    table: Table,
    /// Time that each piece adds to a call.
    piece: Duration,
    /// End, number and number of pieces of each running call.
    running: Vec<(Duration, u64, usize)>,
    actions: Vec<Action>,
    ready: BTreeMap<JobId, Duration>,
}

impl Owner {
    fn new(route: &Route) -> Self {
        let bounds = RepeatBudget { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
        let (scheduler, table) = (Scheduler::new(bounds), table(vec![route.clone()]));
        let (running, actions) = (Vec::new(), Vec::new());
        Self { scheduler, table, piece: ms(10), running, actions, ready: BTreeMap::new() }
    }

    fn submit(&mut self, job: Job, now: Duration) {
        self.scheduler.submit(job, &self.table, now);
        self.act(now);
    }

    /// Ends the calls that are due, runs timers and starts calls.
    fn step(&mut self, now: Duration) {
        let (due, running) = self.running.iter().partition(|(end, ..)| *end <= now);
        self.running = running;
        let due: Vec<(Duration, u64, usize)> = due;
        for (_, call, pieces) in due {
            let made = (0..pieces).map(|i| PieceOutcome::Made(format!("{call}/{i}").into()));
            let outcome = BatchOutcome::Pieces(made.collect());
            self.scheduler.batch_ended(call, outcome, &self.table, now);
        }
        self.scheduler.run_timers(&self.table, now);
        self.act(now);
    }

    fn act(&mut self, now: Duration) {
        let actions = self.scheduler.actions(&self.table, now);
        for action in &actions {
            match action {
                Action::CallBatch { call, pieces, .. } => {
                    let end = now + ms(240) + self.piece * pieces.len() as u32;
                    self.running.push((end, *call, pieces.len()));
                }
                Action::Send { message: PeerMessage::Ready(job), .. } => {
                    self.ready.insert(*job, now);
                    self.scheduler.release(*job, &self.table);
                }
                _ => {}
            }
        }
        self.actions.extend(actions);
    }

    /// Jobs that were cancelled: id, reason, whether nothing had started, and the retry time.
    fn cancelled(&self) -> Vec<(JobId, JobReason, bool, Duration)> {
        let cancelled = self.actions.iter().filter_map(|action| match action {
            Action::Send {
                message: PeerMessage::Cancelled { job, reason, not_started, retry_after },
                ..
            } => Some((*job, *reason, *not_started, *retry_after)),
            _ => None,
        });
        cancelled.collect()
    }

    /// Requests with a piece in any call.
    fn has_run(&self, request: &str) -> bool {
        self.actions.iter().any(|action| match action {
            Action::CallBatch { pieces, .. } => pieces.iter().any(|p| *p.request == *request),
            _ => false,
        })
    }

    fn logged(&self, kind: &str) -> Vec<&LoadEvent> {
        let events = self.actions.iter().filter_map(|action| match action {
            Action::Log(LogEvent::Load(event)) if event.kind() == kind => Some(event),
            _ => None,
        });
        events.collect()
    }
}

fn job_of(priority: u8, number: u64, route: &Route, pieces: usize) -> Job {
    Job { priority, ..job(number, route, pieces) }
}

#[test]
fn a_burst_of_less_urgent_jobs_does_not_make_the_urgent_late() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let mut owner = Owner::new(&route);
    for number in 1..=10 {
        owner.submit(job_of(PATIENT, number, &route, 4), ms(0));
    }
    owner.submit(job_of(URGENT, 11, &route, 4), ms(10));
    for now in (25..3_000).step_by(5) {
        owner.step(ms(now));
    }
    // It waits for the end of one call and runs in the next.
    let urgent = owner.ready.get(&job_id(11)).copied();
    assert!(urgent.is_some_and(|at| at <= ms(600)), "ready at {urgent:?}");
}

// All organisations have the same priority, as where an operator ranks routes alone: the priorities
// of the routes decide, and those of the organisations before them.
#[test]
fn routes_of_different_priority_are_ranked_among_equal_organisations() {
    let routes = [("patient", 2), ("urgent", 0)].map(|(name, priority)| Route {
        priority,
        ..route(name, Repeat::AtMostOnce, &[("first", &[], 10)])
    });
    let mut owner = Owner::new(&routes[0]);
    owner.table = table(routes.to_vec());
    for number in 1..=10 {
        owner.submit(job_of(1, number, &routes[0], 4), ms(0));
    }
    owner.submit(job_of(1, 11, &routes[1], 4), ms(10));
    owner.submit(job_of(0, 12, &routes[0], 4), ms(15));
    for now in (25..3_000).step_by(5) {
        owner.step(ms(now));
    }
    let ready = |number| owner.ready.get(&job_id(number)).copied().expect("it is served");
    assert!(ready(11) <= ms(600), "{:?}", ready(11));
    assert!(ready(12) <= ms(600), "{:?}", ready(12));
    let patient = (1..=10).filter(|number| owner.ready.contains_key(&job_id(*number)));
    assert!(patient.count() >= 6, "the others are served after them");
    assert!(urgency(0, 2) < urgency(1, 0) && urgency(1, 0) < urgency(1, 2));
}

#[test]
fn the_least_urgent_job_that_has_not_started_gives_way_to_one_without_result_memory() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 300)]);
    let mut owner = Owner::new(&route);
    // Both fit the planned memory; no call is sent between the submissions.
    owner.scheduler.submit(job_of(PATIENT, 1, &route, 2), &owner.table, ms(0));
    owner.scheduler.submit(job_of(PATIENT, 2, &route, 2), &owner.table, ms(1));
    owner.submit(job_of(URGENT, 3, &route, 2), ms(2));
    let cancelled = owner.cancelled();
    let [(job, reason, not_started, retry_after)] = cancelled[..] else {
        panic!("one job gives way: {cancelled:?}");
    };
    assert_eq!((job, reason, not_started), (job_id(2), JobReason::NoRoom, true));
    assert!(retry_after >= ms(150) && retry_after < ms(1_000), "{retry_after:?}");
    assert!(!owner.has_run("request-2"), "a refusal as not run is true");
    assert!(owner.has_run("request-3"));
    let events = owner.logged("gave_way");
    let [LoadEvent::GaveWay { urgency, for_urgency, .. }] = events[..] else {
        panic!("{events:?}");
    };
    assert!(for_urgency < urgency);
}

#[test]
fn a_job_that_has_begun_does_not_give_way() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 300)]);
    let mut owner = Owner::new(&route);
    owner.submit(job_of(PATIENT, 1, &route, 2), ms(0));
    owner.submit(job_of(PATIENT, 2, &route, 2), ms(1));
    owner.submit(job_of(URGENT, 3, &route, 2), ms(2));
    let refused: Vec<JobId> = owner.cancelled().iter().map(|(job, ..)| *job).collect();
    assert_eq!(refused, [job_id(3)]);
    assert!(owner.has_run("request-1") && owner.has_run("request-2"));
}

#[test]
fn jobs_of_the_same_priority_do_not_give_way_to_each_other() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 300)]);
    let mut owner = Owner::new(&route);
    for number in 1..=3 {
        owner.scheduler.submit(job_of(PATIENT, number, &route, 2), &owner.table, ms(0));
    }
    owner.act(ms(0));
    let refused: Vec<JobId> = owner.cancelled().iter().map(|(job, ..)| *job).collect();
    assert_eq!(refused, [job_id(3)]);
}

// A flood of urgent jobs arrives after a less urgent one was admitted: its start passes, and its
// caller gets a true refusal with a time instead of a late response.
#[test]
fn a_job_that_a_flood_keeps_from_starting_is_rejected_as_not_run() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let mut owner = Owner::new(&route);
    owner.submit(job_of(URGENT, 1, &route, 4), ms(0));
    owner.submit(job_of(URGENT, 2, &route, 4), ms(0));
    owner.submit(job_of(PATIENT, 3, &route, 4), ms(1));
    let mut number = 3;
    for now in (5..3_000).step_by(5) {
        owner.step(ms(now));
        if now % 50 == 0 {
            number += 1;
            owner.submit(job_of(URGENT, number, &route, 4), ms(now));
        }
    }
    let cancelled = owner.cancelled();
    let patient = cancelled.iter().find(|(job, ..)| *job == job_id(3));
    let Some((_, reason, not_started, retry_after)) = patient else {
        panic!("the less urgent job is rejected: {:?}", owner.ready.get(&job_id(3)));
    };
    assert_eq!((*reason, *not_started), (JobReason::WouldBeLate, true));
    assert!(*retry_after >= ms(150), "{retry_after:?}");
    assert!(!owner.has_run("request-3"));
    assert_eq!(owner.logged("missed_start").len(), 1);
    let late = owner.ready.iter().filter(|(job, _)| **job != job_id(3)).count();
    assert!(late > 10, "the urgent are served: {late}");
}

// The second pool is full of urgent work; a less urgent job whose first stage has run still ends,
// at the latest when its turn in the kept part of the calls comes.
#[test]
fn a_steady_load_of_urgent_jobs_does_not_starve_a_job_that_has_begun() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let urgent = directenv::route("u", Repeat::AtMostOnce, &[("second", &[], 10)]);
    let mut owner = Owner::new(&route);
    owner.submit(job_of(PATIENT, 1, &route, 4), ms(0));
    let mut number = 1;
    for now in (5..8_000).step_by(5) {
        owner.step(ms(now));
        if now % 35 == 0 {
            number += 1;
            let resubmitted = true;
            owner.submit(Job { resubmitted, ..job_of(URGENT, number, &urgent, 1) }, ms(now));
            number += 1;
            owner.submit(Job { resubmitted, ..job_of(URGENT, number, &urgent, 1) }, ms(now));
        }
    }
    let ready = owner.ready.get(&job_id(1)).copied();
    assert!(ready.is_some_and(|at| at < ms(4_000)), "ready at {ready:?}");
}

// Each overdue stage fills a call, and more urgent pieces wait all the time: the overdue ones get
// an eighth of the pool, not every call.
#[test]
fn overdue_stages_get_their_share_of_the_calls_and_no_more() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let mut owner = Owner::new(&route);
    let begun = |priority, number, objective| Job {
        resubmitted: true,
        to_objective: ms(objective),
        to_deadline: ms(200_000),
        ..job_of(priority, number, &route, 4)
    };
    for number in 1..=200 {
        owner.submit(begun(URGENT, number, 100_000), ms(0));
    }
    for number in 201..=210 {
        owner.submit(begun(PATIENT, number, 0), ms(0));
    }
    for now in (5..5_500).step_by(5) {
        owner.step(ms(now));
    }
    // Two endpoints complete 29 calls from 1.4 s on.
    let patient = (201..=210).filter(|number| owner.has_run(&format!("request-{number}"))).count();
    assert!((3..=4).contains(&patient), "{patient} of 10 overdue stages");
}

// The endpoints are slower than the pool's specification says: admission plans with what its calls
// took, and refuses what the specified times would admit.
#[test]
fn admission_plans_with_the_measured_duration_of_calls() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let mut owner = Owner::new(&route);
    owner.piece = ms(110);
    let specified = owner.scheduler.recent_calls("first", &owner.table, ms(0));
    assert_eq!(specified.map(|(_, full_call)| full_call), Some(ms(240 + 4 * 10)));
    let mut number = 0;
    for now in (0..20_000).step_by(10) {
        owner.step(ms(now));
        if now % 500 == 0 {
            number += 1;
            owner.submit(job_of(URGENT, number, &route, 4), ms(now));
        }
    }
    let recent = owner.scheduler.recent_calls("first", &owner.table, ms(20_000));
    let (_, full_call) = recent.expect("a pool");
    assert!(full_call > ms(600) && full_call < ms(690), "680 ms: {full_call:?}");
    for number in 101..=112 {
        owner.submit(job_of(URGENT, number, &route, 4), ms(20_000));
    }
    // One endpoint is busy until 20.18 s. Calls end at 20.68, 20.86, 21.36 and 21.54 s; the fifth
    // would end at 22.04 s, after the objective.
    let cancelled = owner.cancelled();
    assert!(cancelled.iter().all(|(_, reason, ..)| *reason == JobReason::WouldBeLate));
    assert_eq!(cancelled.len(), 8);
}

#[test]
fn the_rate_of_arrivals_follows_a_burst_within_a_second() {
    let mut arrivals = Arrivals::default();
    for now in (0..1_000).step_by(10) {
        arrivals.record(urgency(0, 0), 2.0, 20.0, ms(now));
        arrivals.record(urgency(0, 1), 1.0, 10.0, ms(now));
    }
    let (urgent, all) =
        (arrivals.more_urgent_than(urgency(0, 1), ms(1_000)), arrivals.total(ms(1_000)));
    assert!(urgent.pieces > 100.0 && urgent.pieces < 200.0, "of 200 a second: {urgent:?}");
    assert!((all.pieces - urgent.pieces * 1.5).abs() < 1.0, "{all:?}");
    assert!(arrivals.more_urgent_than(urgency(0, 0), ms(1_000)).pieces.abs() < f64::EPSILON);
    assert!(arrivals.total(ms(4_000)).pieces < 15.0, "the burst is over");
}

// Organisations of equal priority send all routes to the same engines, which order by level.
#[test_case((0, 0), (0, 1); "routes of one priority")]
#[test_case((1, 2), (2, 0); "priorities before routes")]
#[test_case((2, 2), (3, 0); "the last level")]
fn engines_prefer_the_more_urgent(first: (u8, u8), second: (u8, u8)) {
    let level = |(priority, route)| Urgency { priority, route }.engine_level();
    assert!(level(first) < level(second));
}

#[test]
fn engine_levels_are_within_their_range_and_in_order() {
    let urgencies = (0..=u8::MAX).flat_map(|p| (0..=4).map(move |r| (p, r)));
    let levels: Vec<u8> =
        urgencies.map(|(priority, route)| Urgency { priority, route }.engine_level()).collect();
    assert!(levels.is_sorted());
    assert_eq!(levels.last(), Some(&9));
}
