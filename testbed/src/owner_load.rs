//! A load of jobs on one owner of batch pools, in virtual time: no network, no other gateways.
//!
//! Three stages of 1, 4 and 6 pieces, one after the other, calls of 240 ms and a little for each piece:
//! the pattern of a guest's question, for which a record, permits and notices are fetched before the
//! answer is generated.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stackmast::config::Selector;
use stackmast::direct::answers::{BatchOutcome, CallFailure, PieceOutcome};
use stackmast::direct::event::Action;
use stackmast::direct::owner::scheduler::Scheduler;
use stackmast::direct::peers::message::{Job, JobId, JobStage, PeerMessage};
use stackmast::direct::poison::fingerprint::Fingerprint;
use stackmast::direct::published::model::{
    BatchSpec, CallerLimits, Deployment, Endpoint, Name, Pool, Work,
};
use stackmast::direct::published::regions::AllowedRegions;
use stackmast::direct::published::table::Table;
use stackmast::direct::repeats::RepeatBudget;

/// Stages: pool, pieces, pieces of a call, time of a piece in ms, bytes of a result, room in bytes, share of
/// the endpoints in percent.
const STAGES: [(&str, usize, usize, f64, u64, u64, usize); 3] = [
    ("records", 1, 12, 17.0, 8_000, 14_000_000, 35),
    ("permits", 4, 34, 6.1, 60_000, 3_800_000, 29),
    ("notices", 6, 42, 4.9, 6_000, 460_000, 36),
];
const CALL: Duration = Duration::from_millis(240);
const DATA_CENTRES: usize = 6;
/// Bytes of a result of the stage beside the others.
const BESIDE: u64 = 800_000;
/// How long an owner may leave what is due.
const LOOK: Duration = Duration::from_millis(25);
/// From the stages' end until the endpoint of the request has fetched the last results.
const HANDED_ON: Duration = Duration::from_millis(60);

/// What a load is like.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Jobs a second.
    pub jobs: f64,
    /// Endpoints of all pools.
    pub endpoints: usize,
    /// How long jobs come.
    pub lasts: Duration,
    /// Whether every third job has a stage beside the others, whose results are large.
    pub beside: bool,
    /// Of 100 calls, how many fail in some way.
    pub failing: u32,
    /// Seed of all that is random.
    pub seed: u64,
}

/// What a load has cost, in processor time of this machine.
#[derive(Debug, Default, Clone, Copy)]
pub struct Cost {
    /// Jobs that were submitted.
    pub submitted: u64,
    /// Jobs whose stages were all made.
    pub served: u64,
    /// Time in `submit`.
    pub submit: Duration,
    /// Time in `actions`.
    pub actions: Duration,
    /// Time in all else: calls that end, results that are released, what is due.
    pub rest: Duration,
    /// Most jobs that were held at once.
    pub held: usize,
    /// Jobs that the owner looked at.
    pub looked_at: u64,
}

impl Cost {
    /// Everything.
    pub fn total(&self) -> Duration {
        self.submit + self.actions + self.rest
    }
}

#[derive(Debug)]
enum Happening {
    Submit,
    Ended(u64, BatchOutcome),
    Release(JobId),
    Look,
}

/// What a check is told.
#[derive(Debug)]
pub enum Moment<'a> {
    /// A job is about to be submitted.
    Submits(&'a Job),
    /// Calls are about to be filled.
    Fills,
    /// This is to be done.
    Acts(&'a [Action]),
}

/// The load, and the owner that bears it.
pub struct OwnerLoad {
    shape: Shape,
    table: Table,
    scheduler: Scheduler,
    rng: StdRng,
    happenings: BTreeMap<(Duration, u64), Happening>,
    order: u64,
    cost: Cost,
}

fn pools() -> Vec<Pool> {
    let pool = |&(name, _, pieces, piece_ms, _, result_memory_bytes, _): &(
        &str,
        _,
        usize,
        f64,
        _,
        u64,
        _,
    )| {
        let piece_time = Duration::from_secs_f64(piece_ms / 1e3);
        let result_retention = Duration::from_secs(4);
        let spec = BatchSpec {
            slots: 1,
            pieces,
            call_overhead: CALL,
            piece_time,
            result_memory_bytes,
            result_retention,
        };
        let endpoints = Selector::parse(&format!("service={name}")).unwrap_or_default();
        let (max_connections, cold, work) = (340, None, Work::Batch(spec));
        Pool { name: name.into(), endpoints, max_connections, cold, work }
    };
    STAGES.iter().map(pool).collect()
}

fn endpoints(all: usize) -> Vec<Arc<Endpoint>> {
    let of_pool = |&(name, .., share): &(&'static str, _, _, _, _, _, usize)| {
        let count = (all * share / 100).max(1);
        (0..count).map(move |number| {
            Arc::new(Endpoint {
                id: format!("{name}-{number}").into(),
                incarnation: 0,
                address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
                data_centre: format!("dc-{}", number % DATA_CENTRES).into(),
                labels: [("service".to_owned(), name.to_owned())].into_iter().collect(),
                slots: 1,
                leaving: false,
                cold_for: Duration::ZERO,
            })
        })
    };
    STAGES.iter().flat_map(of_pool).collect()
}

impl OwnerLoad {
    /// Nothing has come yet.
    pub fn new(shape: Shape) -> Self {
        let deployment = Deployment {
            version: 1,
            routes: Vec::new(),
            pools: pools(),
            organisations: Vec::new(),
            limits: CallerLimits::default(),
        };
        let table = Table::new(Arc::new(deployment), endpoints(shape.endpoints).iter());
        let bounds = RepeatBudget { ratio: 0.2, slack: 500.0, window: Duration::from_secs(10) };
        let mut load = Self {
            shape,
            table,
            scheduler: Scheduler::new(bounds),
            rng: StdRng::seed_from_u64(shape.seed),
            happenings: BTreeMap::new(),
            order: 0,
            cost: Cost::default(),
        };
        load.at(Duration::ZERO, Happening::Submit);
        load.at(LOOK, Happening::Look);
        load
    }

    fn at(&mut self, time: Duration, happening: Happening) {
        self.order += 1;
        self.happenings.insert((time, self.order), happening);
    }

    /// Runs until all that came is over, and tells `check` of each moment.
    pub fn run(
        mut self,
        mut check: impl FnMut(&mut Scheduler, &Table, Duration, Moment<'_>),
    ) -> Cost {
        while let Some(((now, _), happening)) = self.happenings.pop_first() {
            if let Happening::Submit = happening {
                let job = self.job();
                check(&mut self.scheduler, &self.table, now, Moment::Submits(&job));
                self.submit(job, now);
            } else {
                self.happen(happening, now);
            }
            check(&mut self.scheduler, &self.table, now, Moment::Fills);
            let begun = Instant::now();
            let actions = self.scheduler.actions(&self.table, now);
            self.cost.actions += begun.elapsed();
            check(&mut self.scheduler, &self.table, now, Moment::Acts(&actions));
            self.act(actions, now);
            self.cost.held = self.cost.held.max(self.scheduler.jobs());
        }
        self.cost.looked_at = self.scheduler.examined();
        self.cost
    }

    fn submit(&mut self, job: Job, now: Duration) {
        self.cost.submitted += 1;
        let begun = Instant::now();
        self.scheduler.submit(job, &self.table, now);
        self.cost.submit += begun.elapsed();
        let pause = Duration::from_secs_f64(self.rng.random_range(0.5..1.5) / self.shape.jobs);
        if now + pause < self.shape.lasts {
            self.at(now + pause, Happening::Submit);
        }
    }

    fn happen(&mut self, happening: Happening, now: Duration) {
        let is_look = matches!(happening, Happening::Look);
        let begun = Instant::now();
        match happening {
            Happening::Submit => {}
            Happening::Ended(call, outcome) => {
                self.scheduler.batch_ended(call, outcome, &self.table, now);
            }
            Happening::Release(job) => self.scheduler.release(job, &self.table),
            Happening::Look => self.scheduler.run_timers(&self.table, now),
        }
        self.cost.rest += begun.elapsed();
        let is_over = now > self.shape.lasts && self.scheduler.is_idle();
        if is_look && !is_over {
            self.at(now + LOOK, Happening::Look);
        }
    }

    fn job(&mut self) -> Job {
        let number = self.cost.submitted + 1;
        let gateway = ([127, 0, 0, 1], 7_000 + (number % 100) as u16).into();
        let stages = STAGES.iter().enumerate().map(|(index, stage)| JobStage {
            pool: stage.0.into(),
            after: index.checked_sub(1).into_iter().collect(),
            result_bytes: stage.4,
            pieces: stage.1,
            done: Vec::new(),
        });
        let mut stages: Vec<JobStage> = stages.collect();
        if self.shape.beside && number.is_multiple_of(3) {
            let pieces = self.rng.random_range(1..=3);
            let (pool, after, done) = (STAGES[0].0.into(), Vec::new(), Vec::new());
            stages.push(JobStage { pool, after, result_bytes: BESIDE, pieces, done });
        }
        let data_centre: Name = format!("dc-{}", number as usize % DATA_CENTRES).into();
        Job {
            id: JobId { gateway, incarnation: 1, number },
            request: format!("{number:016x}").into(),
            cell: "stages".into(),
            route: "questions".into(),
            stages,
            key: Some("key".into()),
            to_objective: Duration::from_millis(2_200),
            to_deadline: Duration::from_secs(12),
            after_stages: Duration::from_millis(100),
            priority: 0,
            data_centre,
            allowed_regions: AllowedRegions::default(),
            resubmitted: false,
            fingerprint: Fingerprint::of_content("POST", &number.to_string(), b""),
        }
    }

    fn act(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            match action {
                Action::CallBatch { call, pieces, .. } => {
                    let (outcome, took) = self.outcome(call, pieces.len());
                    self.at(now + took, Happening::Ended(call, outcome));
                }
                Action::Send { message: PeerMessage::Ready(job), .. } => {
                    self.cost.served += 1;
                    self.at(now + HANDED_ON, Happening::Release(job));
                }
                _ => {}
            }
        }
    }

    /// How a call ends, and after how long.
    fn outcome(&mut self, call: u64, pieces: usize) -> (BatchOutcome, Duration) {
        let took = CALL + Duration::from_millis(6) * pieces as u32;
        if self.rng.random_range(0..100) >= self.shape.failing {
            let made = (0..pieces).map(|i| PieceOutcome::Made(format!("{call}/{i}").into()));
            return (BatchOutcome::Pieces(made.collect()), took);
        }
        let short = Duration::from_millis(5);
        match self.rng.random_range(0..5) {
            0 => (BatchOutcome::Full, short),
            1 => (BatchOutcome::Failed(CallFailure::Broken), took / 2),
            2 => (BatchOutcome::Failed(CallFailure::NotSent), short),
            3 => (BatchOutcome::Pieces(vec![PieceOutcome::NoRoom; pieces]), short),
            _ => (BatchOutcome::Failed(CallFailure::Silent), took * 3),
        }
    }
}
