//! Refusals of jobs at the owner of batch pools: no job is refused or rejected while its pools have
//! the capacity for it.

mod directenv;

use std::time::Duration;

use directenv::{job, job_id, ms, route, table};
use stackmast::direct::answers::{BatchOutcome, PieceOutcome};
use stackmast::direct::event::Action;
use stackmast::direct::owner::scheduler::Scheduler;
use stackmast::direct::peers::message::{Job, JobId, JobReason, PeerMessage};
use stackmast::direct::published::model::{Repeat, Route};
use stackmast::direct::published::regions::AllowedRegions;
use stackmast::direct::published::table::Table;
use stackmast::direct::repeats::RepeatBudget;

const URGENT: u8 = 0;
const PATIENT: u8 = 2;

/// An owner with two endpoints, whose calls take 240 ms and some time for each piece.
struct Owner {
    scheduler: Scheduler,
    table: Table,
    /// Time that each piece adds to a call.
    piece: Duration,
    /// End, number and number of pieces of each running call.
    running: Vec<(Duration, u64, usize)>,
    /// Requests with pieces in calls.
    sent: Vec<String>,
    cancelled: Vec<(JobId, JobReason, bool)>,
}

impl Owner {
    fn new(routes: Vec<Route>) -> Self {
        let bounds = RepeatBudget { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
        Self {
            scheduler: Scheduler::new(bounds),
            table: table(routes),
            piece: ms(10),
            running: Vec::new(),
            sent: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    fn submit(&mut self, job: Job, now: u64) {
        self.scheduler.submit(job, &self.table, ms(now));
        self.act(ms(now));
    }

    /// Ends the calls that are due, runs timers and starts calls.
    fn step(&mut self, now: Duration) {
        let (due, running): (Vec<_>, Vec<_>) =
            self.running.iter().copied().partition(|(end, ..)| *end <= now);
        self.running = running;
        for (_, call, pieces) in due {
            let made = (0..pieces).map(|i| PieceOutcome::Made(format!("{call}/{i}").into()));
            let outcome = BatchOutcome::Pieces(made.collect());
            self.scheduler.batch_ended(call, outcome, &self.table, now);
        }
        self.scheduler.run_timers(&self.table, now);
        self.act(now);
    }

    fn run(&mut self, from: u64, until: u64) {
        for now in (from..until).step_by(5) {
            self.step(ms(now));
        }
    }

    fn act(&mut self, now: Duration) {
        for action in self.scheduler.actions(&self.table, now) {
            match action {
                Action::CallBatch { call, pieces, .. } => {
                    let end = now + ms(240) + self.piece * pieces.len() as u32;
                    self.running.push((end, call, pieces.len()));
                    self.sent.extend(pieces.iter().map(|p| p.request.to_string()));
                }
                Action::Send { message: PeerMessage::Ready(job), .. } => {
                    self.scheduler.release(job, &self.table);
                }
                Action::Send {
                    message: PeerMessage::Cancelled { job, reason, not_started, .. },
                    ..
                } => self.cancelled.push((job, reason, not_started)),
                _ => {}
            }
        }
    }

    fn has_run(&self, number: u64) -> bool {
        self.sent.contains(&format!("request-{number}"))
    }
}

fn one_stage() -> Route {
    route("r", Repeat::AtMostOnce, &[("first", &[], 10)])
}

fn job_of(priority: u8, number: u64, pieces: usize, objective: u64) -> Job {
    Job { priority, to_objective: ms(objective), ..job(number, &one_stage(), pieces) }
}

#[test]
fn an_idle_pool_admits_a_job_with_an_objective_shorter_than_its_work() {
    let mut owner = Owner::new(vec![one_stage()]);
    owner.submit(job_of(URGENT, 1, 4, 200), 0);
    assert_eq!(owner.cancelled, []);
    assert!(owner.has_run(1));
}

// Urgent callers that may run nowhere are refused; the pool is as large for the others as without
// them.
#[test]
fn jobs_that_no_endpoint_may_run_take_no_share_of_a_pool() {
    let admitted = |refused: u64| {
        let mut owner = Owner::new(vec![one_stage()]);
        for number in 1..=refused {
            let allowed_regions = AllowedRegions::of(&["nowhere".into()], &[]);
            owner.submit(Job { allowed_regions, ..job_of(URGENT, number, 4, 2_000) }, 0);
        }
        assert_eq!(owner.cancelled.len() as u64, refused);
        for number in 101..=140 {
            owner.scheduler.submit(job_of(PATIENT, number, 4, 2_000), &owner.table, ms(0));
        }
        owner.scheduler.jobs()
    };
    assert_eq!(admitted(100), admitted(0));
}

// Calls take 680 ms of the 600 ms that the callers have, and 280 ms later on.
#[test]
fn a_pool_is_used_again_after_its_endpoints_were_slow() {
    let mut owner = Owner::new(vec![one_stage()]);
    owner.piece = ms(110);
    for number in 1..=20 {
        let at = number * 500;
        owner.submit(Job { resubmitted: true, ..job_of(URGENT, number, 4, 600) }, at);
        owner.run(at + 5, at + 500);
    }
    owner.piece = ms(10);
    owner.run(10_500, 17_500);
    let recent = owner.scheduler.recent_calls("first", &owner.table, ms(17_500));
    assert!(recent.is_some_and(|(call, full_call)| call < ms(300) && full_call < ms(300)));
    owner.submit(job_of(URGENT, 21, 4, 600), 17_500);
    assert_eq!(owner.cancelled, []);
    assert!(owner.has_run(21));
}

// Both endpoints are busy until 280 ms, and less urgent pieces wait; on average a job waits 80 ms.
#[test]
fn a_job_admitted_beyond_its_objective_may_start_as_late_as_admission_allowed() {
    let mut owner = Owner::new(vec![one_stage()]);
    for number in 1..=5 {
        owner.submit(job_of(PATIENT, number, 4, 2_000), 0);
    }
    owner.run(5, 220);
    owner.submit(job_of(URGENT, 6, 4, 200), 220);
    owner.run(225, 400);
    assert_eq!(owner.cancelled, []);
    assert!(owner.has_run(6));
}

// The endpoints are busy for longer than the job can wait, but it competes with its own stages
// alone.
#[test]
fn two_stages_of_a_job_do_not_count_as_other_work_for_each_other() {
    let twice = route("twice", Repeat::AtMostOnce, &[("first", &[], 10), ("first", &[], 10)]);
    let mut owner = Owner::new(vec![one_stage(), twice.clone()]);
    owner.piece = ms(110);
    owner.submit(job_of(URGENT, 1, 4, 2_000), 0);
    owner.submit(job_of(URGENT, 2, 4, 2_000), 0);
    owner.submit(Job { to_objective: ms(600), ..job(3, &twice, 2) }, 10);
    owner.run(15, 800);
    assert_eq!(owner.cancelled, []);
    assert!(owner.has_run(3));
}

// The message that a job gave way is under way while its gateway submits the job again.
#[test]
fn a_job_that_gave_way_is_not_started_by_a_resubmission() {
    let large = route("r", Repeat::AtMostOnce, &[("first", &[], 300)]);
    let mut owner = Owner::new(vec![large.clone()]);
    let of = |priority, number| Job { priority, ..job(number, &large, 2) };
    owner.scheduler.submit(of(PATIENT, 1), &owner.table, ms(0));
    owner.scheduler.submit(of(PATIENT, 2), &owner.table, ms(1));
    owner.submit(of(URGENT, 3), 2);
    owner.submit(Job { resubmitted: true, ..of(PATIENT, 2) }, 10);
    owner.run(15, 3_000);
    assert_eq!(owner.cancelled, [(job_id(2), JobReason::NoRoom, true); 2]);
    assert!(!owner.has_run(2));
}
