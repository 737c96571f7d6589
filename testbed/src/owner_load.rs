//! Simulates a load of jobs on one owner of batch pools, in virtual time without network and other
//! gateways.
//!
//! Each job has three sequential stages of 1, 4 and 6 pieces; a call takes 240 ms plus a short time
//! per piece. This is the pattern of a guest's question, for which a record, permits and notices
//! are fetched before the response is generated. Jobs have three priorities in equal parts.

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

/// Stages: pool, pieces, pieces per call, time per piece in ms, result size in bytes, result memory
/// in bytes, share of the endpoints in percent.
const STAGES: [(&str, usize, usize, f64, u64, u64, usize); 3] = [
    ("records", 1, 12, 17.0, 8_000, 14_000_000, 35),
    ("permits", 4, 34, 6.1, 60_000, 3_800_000, 29),
    ("notices", 6, 42, 4.9, 6_000, 460_000, 36),
];
const CALL: Duration = Duration::from_millis(240);
const DATA_CENTRES: usize = 6;
/// Result size of the additional parallel stage, in bytes.
const PARALLEL_RESULT_BYTES: u64 = 800_000;
/// Interval at which the owner runs its timers.
const TIMER_INTERVAL: Duration = Duration::from_millis(25);
/// Time from the end of the stages until the endpoint of the request has fetched the last results.
const FETCH_TIME: Duration = Duration::from_millis(60);

/// Parameters of a load.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Jobs per second.
    pub jobs: f64,
    /// Number of endpoints of all pools.
    pub endpoints: usize,
    /// Duration of the load.
    pub lasts: Duration,
    /// Whether every third job has an additional parallel stage with large results.
    pub parallel_stage: bool,
    /// Percentage of calls that fail.
    pub failing: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Cost of a load, in processor time of this machine.
#[derive(Debug, Default, Clone, Copy)]
pub struct Cost {
    /// Number of submitted jobs.
    pub submitted: u64,
    /// Number of jobs with all results produced.
    pub served: u64,
    /// Processor time in `submit`.
    pub submit: Duration,
    /// Processor time in `actions`.
    pub actions: Duration,
    /// Processor time of completed calls, released results and timers.
    pub rest: Duration,
    /// Maximum number of concurrent jobs.
    pub max_jobs: usize,
    /// Number of jobs that the owner examined.
    pub examined_jobs: u64,
}

impl Cost {
    /// Total processor time.
    pub fn total(&self) -> Duration {
        self.submit + self.actions + self.rest
    }
}

#[derive(Debug)]
enum SimulationEvent {
    Submit,
    Ended(u64, BatchOutcome),
    Release(JobId),
    RunTimers,
}

/// Point of the simulation at which a check is called.
#[derive(Debug)]
pub enum Checkpoint<'a> {
    /// A job is about to be submitted.
    Submits(&'a Job),
    /// Calls are about to be filled with pieces.
    Fills,
    /// These actions are about to be executed.
    Acts(&'a [Action]),
}

/// Simulation of a load and its owner.
pub struct OwnerLoad {
    shape: Shape,
    table: Table,
    scheduler: Scheduler,
    rng: StdRng,
    events: BTreeMap<(Duration, u64), SimulationEvent>,
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
        Pool { name: name.into(), endpoints, max_connections, cold, work, health_path: None }
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
    /// Creates a simulation before its first job.
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
            events: BTreeMap::new(),
            order: 0,
            cost: Cost::default(),
        };
        load.schedule(Duration::ZERO, SimulationEvent::Submit);
        load.schedule(TIMER_INTERVAL, SimulationEvent::RunTimers);
        load
    }

    fn schedule(&mut self, time: Duration, event: SimulationEvent) {
        self.order += 1;
        self.events.insert((time, self.order), event);
    }

    /// Runs until all jobs are complete, and calls `check` at each point.
    pub fn run(
        mut self,
        mut check: impl FnMut(&mut Scheduler, &Table, Duration, Checkpoint<'_>),
    ) -> Cost {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if let SimulationEvent::Submit = event {
                let job = self.job();
                check(&mut self.scheduler, &self.table, now, Checkpoint::Submits(&job));
                self.submit(job, now);
            } else {
                self.process_event(event, now);
            }
            check(&mut self.scheduler, &self.table, now, Checkpoint::Fills);
            let begun = Instant::now();
            let actions = self.scheduler.actions(&self.table, now);
            self.cost.actions += begun.elapsed();
            check(&mut self.scheduler, &self.table, now, Checkpoint::Acts(&actions));
            self.act(actions, now);
            self.cost.max_jobs = self.cost.max_jobs.max(self.scheduler.jobs());
        }
        self.cost.examined_jobs = self.scheduler.examined();
        self.cost
    }

    fn submit(&mut self, job: Job, now: Duration) {
        self.cost.submitted += 1;
        let begun = Instant::now();
        self.scheduler.submit(job, &self.table, now);
        self.cost.submit += begun.elapsed();
        let pause = Duration::from_secs_f64(self.rng.random_range(0.5..1.5) / self.shape.jobs);
        if now + pause < self.shape.lasts {
            self.schedule(now + pause, SimulationEvent::Submit);
        }
    }

    fn process_event(&mut self, event: SimulationEvent, now: Duration) {
        let is_timer = matches!(event, SimulationEvent::RunTimers);
        let begun = Instant::now();
        match event {
            SimulationEvent::Submit => {}
            SimulationEvent::Ended(call, outcome) => {
                self.scheduler.batch_ended(call, outcome, &self.table, now);
            }
            SimulationEvent::Release(job) => self.scheduler.release(job, &self.table),
            SimulationEvent::RunTimers => self.scheduler.run_timers(&self.table, now),
        }
        self.cost.rest += begun.elapsed();
        let is_over = now > self.shape.lasts && self.scheduler.is_idle();
        if is_timer && !is_over {
            self.schedule(now + TIMER_INTERVAL, SimulationEvent::RunTimers);
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
        if self.shape.parallel_stage && number.is_multiple_of(3) {
            let pieces = self.rng.random_range(1..=3);
            let (pool, after, done) = (STAGES[0].0.into(), Vec::new(), Vec::new());
            stages.push(JobStage {
                pool,
                after,
                result_bytes: PARALLEL_RESULT_BYTES,
                pieces,
                done,
            });
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
            priority: (number / 3 % 3) as u8,
            data_centre,
            allowed_regions: AllowedRegions::default(),
            resubmitted: false,
            fingerprint: Fingerprint::of_content("POST", &number.to_string(), b""),
            organisation: None,
        }
    }

    fn act(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            match action {
                Action::CallBatch { call, pieces, .. } => {
                    let (outcome, took) = self.outcome(call, pieces.len());
                    self.schedule(now + took, SimulationEvent::Ended(call, outcome));
                }
                Action::Send { message: PeerMessage::Ready(job), .. } => {
                    self.cost.served += 1;
                    self.schedule(now + FETCH_TIME, SimulationEvent::Release(job));
                }
                _ => {}
            }
        }
    }

    /// Draws the outcome of a call and its duration.
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
