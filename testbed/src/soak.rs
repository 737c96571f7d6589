//! A soak: real processes under load and random faults drawn from a seed, followed by a check of
//! all outcomes.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::json;
use snafu::Snafu;
use tokio::time::Instant;

use crate::client::Ask;
use crate::deployment::{SERVICE_TIMES, Sizes, campsites};
use crate::engine::Speed;
use crate::fleet::{Fleet, FleetError, Program};
use crate::history::{Breach, Request, check};
use crate::load::{Outcome, Planned, arrivals, drive, rng};
use crate::platform::Mode;
use crate::proxy::Link;
use crate::service::Fault;

/// Requests per second.
const RATE: f64 = 30.0;
/// Maximum time between two faults, in milliseconds.
const FAULT_EVERY_MS: u64 = 1_500;
/// Maximum duration of a fault, in milliseconds.
const LASTS_MS: u64 = 3_000;
/// Time after the load for requests in flight.
const SETTLE: Duration = Duration::from_secs(5);

/// Reason why a soak failed.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// The fleet failed to start.
    #[snafu(display("{source}"), context(false))]
    Start {
        /// Underlying error.
        source: FleetError,
    },
    /// Guarantees or invariants were violated.
    #[snafu(display("{} guarantees violated: {breaches:?}, {violations} invariants violated", breaches.len()))]
    Broken {
        /// Violated guarantees.
        breaches: Vec<Breach>,
        /// Number of invariant violations that processes counted.
        violations: f64,
    },
}

/// Runs a soak and prints its result. Fails if a guarantee was violated.
pub async fn run(program: &Program, seconds: f64, seed: u64) -> Result<(), SoakError> {
    let sizes = Sizes { service: 3, model: 3, data_centres: 2 };
    let deployment = campsites(sizes, SERVICE_TIMES, Speed::default());
    let mut fleet = Fleet::start(program, deployment, 2).await?;
    let planned = plan(&fleet, seconds, seed);
    let load = tokio::spawn(drive(planned));
    let mut rng = rng(seed + 1);
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    let mut faults = 0;
    while Instant::now() < until {
        let pause = rng.random_range(0..FAULT_EVERY_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        inject_fault(&mut fleet, &mut rng).await?;
        faults += 1;
    }
    clear_faults(&mut fleet);
    let outcomes = load.await.unwrap_or_default();
    tokio::time::sleep(SETTLE).await;
    report(&fleet, &outcomes, faults, seed).await
}

fn plan(fleet: &Fleet, seconds: f64, seed: u64) -> Vec<Planned> {
    let mut rng = rng(seed);
    let times = arrivals(&mut rng, 0.0, seconds, RATE);
    let planned = times.into_iter().enumerate().map(|(i, at)| {
        let pipeline = if rng.random_bool(0.4) { "refund-notice" } else { "guest-reply" };
        let mut ask = Ask::new(pipeline, "keepers-1", &format!("{seed}-{i}"));
        ask.tokens = rng.random_range(1..40);
        ask.more = json!({ "may_repeat": rng.random_bool(0.5) });
        let gateway = rng.random_range(0..fleet.gateways.len());
        let deadline = Duration::from_secs(2);
        Planned { at, gateway: fleet.callers(gateway), ask, deadline, ask_again: 0 }
    });
    planned.collect()
}

async fn inject_fault(fleet: &mut Fleet, rng: &mut StdRng) -> Result<(), FleetError> {
    let mut names: Vec<_> = fleet.agents.keys().cloned().collect();
    names.sort_unstable();
    let name = names.choose(rng).cloned().unwrap_or_default();
    let lasts = Duration::from_millis(rng.random_range(10..LASTS_MS));
    match rng.random_range(0..10) {
        0 => {
            let agent = fleet.agents.get_mut(&name).expect("it is there");
            agent.kill();
            agent.restart()?;
        }
        1 => {
            let gateway = rng.random_range(0..fleet.gateways.len());
            fleet.gateways[gateway].kill();
            fleet.gateways[gateway].restart()?;
        }
        2 => {
            fleet.agents[&name].signal(Signal::SIGSTOP);
            tokio::time::sleep(lasts).await;
            fleet.agents[&name].signal(Signal::SIGCONT);
        }
        3 => {
            let gateway = rng.random_range(0..fleet.gateways.len());
            fleet.gateways[gateway].signal(Signal::SIGSTOP);
            tokio::time::sleep(lasts).await;
            fleet.gateways[gateway].signal(Signal::SIGCONT);
        }
        4 => {
            let links = [Link::Cut, Link::Frozen, Link::OneWay, Link::Trickling];
            let link = *links.choose(rng).expect("there are some");
            fleet.agent_proxies[&name].set(link);
            tokio::time::sleep(lasts).await;
            fleet.agent_proxies[&name].set(Link::Up);
        }
        5 => {
            let links = [Link::Cut, Link::Frozen, Link::Delayed(Duration::from_millis(30))];
            let link = *links.choose(rng).expect("there are some");
            fleet.stand_ins[&name].proxy.set(link);
            tokio::time::sleep(lasts).await;
            fleet.stand_ins[&name].proxy.set(Link::Up);
        }
        6 => {
            let kinds = [Fault::Fails, Fault::Stalls, Fault::WrongAttempt, Fault::Slow(10)];
            fleet.stand_ins[&name].faults.set(*kinds.choose(rng).expect("there are some"));
            tokio::time::sleep(lasts).await;
            fleet.stand_ins[&name].faults.set(Fault::None);
        }
        7 => {
            let modes = [Mode::Down, Mode::Stale, Mode::Slow(Duration::from_secs(1))];
            fleet.platform.set_mode(*modes.choose(rng).expect("there are some"));
        }
        8 => {
            fleet.platform.set_mode(Mode::Up);
            fleet.publish(|config| config.pipelines[0].priority ^= 1)?;
        }
        _ => {
            fleet.list_hosts(&[&format!("{name}-host")]);
            tokio::time::sleep(lasts).await;
            fleet.list_hosts(&[]);
        }
    }
    Ok(())
}

fn clear_faults(fleet: &mut Fleet) {
    fleet.platform.set_mode(Mode::Up);
    for proxy in fleet.agent_proxies.values() {
        proxy.set(Link::Up);
    }
    for stand_in in fleet.stand_ins.values() {
        stand_in.faults.set(Fault::None);
        stand_in.proxy.set(Link::Up);
    }
}

async fn report(
    fleet: &Fleet,
    outcomes: &[Outcome],
    faults: usize,
    seed: u64,
) -> Result<(), SoakError> {
    let requests: Vec<_> = outcomes.iter().map(|o| request(fleet, o)).collect();
    let runs = fleet.runs.all();
    let mut breaches = check(&requests, &runs);
    // The load generator drops requests without a response, although they were sent.
    breaches.retain(|b| !matches!(b, Breach::Stranger { .. }));
    let mut violations = 0.0;
    for process in fleet.processes() {
        violations += fleet.metric(process, "stackmast_invariant_violations_total", "").await;
    }
    let mut endings = std::collections::BTreeMap::new();
    for outcome in outcomes {
        *endings.entry(outcome.ending).or_insert(0) += 1;
    }
    println!(
        "seed {seed}: {} requests, {} runs, {faults} faults, {endings:?}, {} breaches, {violations} violations",
        outcomes.len(),
        runs.len(),
        breaches.len()
    );
    if breaches.is_empty() && violations == 0.0 {
        return Ok(());
    }
    BrokenSnafu { breaches, violations }.fail()
}

fn request(fleet: &Fleet, outcome: &Outcome) -> Request {
    let ask = &outcome.planned.ask;
    let pipeline = fleet.config.pipelines.iter().find(|p| p.name == ask.pipeline);
    let stages = pipeline.into_iter().flat_map(|p| &p.stages);
    Request {
        key: ask.key.clone(),
        may_repeat: ask.more["may_repeat"] == true,
        stages: stages.map(|s| (s.name.clone(), s.may_repeat)).collect(),
        expected: outcome.expected.clone(),
        seen: vec![outcome.seen.clone()],
    }
}
