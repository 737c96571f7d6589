//! Measures the added latency: the same calls through stackmast and directly to the endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use hyper::Method;
use stackmast::agent::endpoint::ATTEMPT_HEADER;
use stackmast::config::Config;
use tokio::time::Instant;

use crate::client::{Ask, Client};
use crate::deployment::{Deployment, EndpointSpec, StandIn, labels, pipeline_of};
use crate::fleet::{Fleet, FleetError, Program};
use crate::load::{Planned, arrivals, drive, rng};
use crate::service::Times;

/// Stages of the measured pipeline.
const STAGES: [&str; 4] = ["one", "two", "three", "four"];
/// Replicas of the service of each stage.
const REPLICAS: usize = 2;
/// Duration of the load before the measurement.
const WARM_UP: Duration = Duration::from_secs(1);

/// Latency percentiles in microseconds.
#[derive(Debug, Clone, Copy)]
struct Latency {
    p50: u64,
    p99: u64,
}

/// Measures both ways alternately and prints one line per round.
pub async fn run(
    program: &Program,
    rate: f64,
    seconds: f64,
    rounds: usize,
) -> Result<(), FleetError> {
    let fleet = Fleet::start(program, deployment(), 1).await?;
    println!("rate {rate}/s, {seconds} s a round, {} stages, seed = round", STAGES.len());
    println!("round  direct p50/p99 ms   stackmast p50/p99 ms   added a stage p50/p99 ms   ratio");
    let direct_address = |stage: &str| fleet.stand_ins[&format!("{stage}-0")].address;
    let addresses: Vec<SocketAddr> = STAGES.iter().map(|s| direct_address(s)).collect();
    for round in 0..rounds as u64 {
        let direct = measure_direct(&addresses, rate, seconds, round).await;
        let through = measure_through(&fleet, rate, seconds, round).await;
        let stages = STAGES.len() as f64;
        let added = |a: u64, b: u64| (a as f64 - b as f64) / 1_000.0 / stages;
        println!(
            "{round:>5}  {:>8.2} /{:>7.2}   {:>10.2} /{:>8.2}   {:>12.3} /{:>9.3}   {:>8.2}",
            direct.p50 as f64 / 1_000.0,
            direct.p99 as f64 / 1_000.0,
            through.p50 as f64 / 1_000.0,
            through.p99 as f64 / 1_000.0,
            added(through.p50, direct.p50),
            added(through.p99, direct.p99),
            through.p50 as f64 / direct.p50.max(1) as f64,
        );
    }
    Ok(())
}

fn deployment() -> Deployment {
    let times = Times { base: Duration::ZERO, per_kib: Duration::ZERO, concurrency: 64 };
    let stages = STAGES.iter().map(|s| (*s, *s, true, 1)).collect::<Vec<_>>();
    let config = Config {
        version: 1,
        pipelines: vec![pipeline_of("path", 2_000, 0, &stages)],
        organisations: crate::deployment::organisations("o"),
        ..Config::default()
    };
    let replica = |stage: &str, i: usize| EndpointSpec {
        name: format!("{stage}-{i}"),
        stand_in: StandIn::Service(times),
        labels: labels(&[("service", stage)]),
        data_centre: "dc-0".to_owned(),
        concurrency: times.concurrency as u32,
    };
    let endpoints = STAGES.iter().flat_map(|s| (0..REPLICAS).map(move |i| replica(s, i))).collect();
    Deployment { config, endpoints, proxied: false }
}

async fn measure_through(fleet: &Fleet, rate: f64, seconds: f64, seed: u64) -> Latency {
    let mut rng = rng(seed);
    let times = arrivals(&mut rng, 0.0, seconds + WARM_UP.as_secs_f64(), rate);
    let planned = times.into_iter().enumerate().map(|(i, at)| Planned {
        at,
        gateway: fleet.callers(0),
        ask: Ask::new("path", "o-0", &format!("{seed}-{i}")),
        deadline: Duration::from_secs(2),
        ask_again: 0,
    });
    let outcomes = drive(planned.collect()).await;
    let measured = outcomes.iter().filter(|o| o.planned.at >= WARM_UP);
    latency(measured.map(|o| o.took))
}

/// Measures the baseline: the caller calls the endpoints directly and sequentially.
async fn measure_direct(addresses: &[SocketAddr], rate: f64, seconds: f64, seed: u64) -> Latency {
    let client = Client::default();
    let times = arrivals(&mut rng(seed), 0.0, seconds + WARM_UP.as_secs_f64(), rate);
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for (i, at) in times.into_iter().enumerate() {
        tokio::time::sleep_until(start + at).await;
        let (client, addresses) = (client.clone(), addresses.to_vec());
        tasks.spawn(async move {
            let mut body = format!("{{\"key\":\"{seed}-{i}\",\"tokens\":4}}");
            for (stage, address) in STAGES.iter().zip(addresses) {
                let path = format!("/v1/stages/{stage}");
                let reply = client.call(Method::POST, address, &path, "", body).await.ok()?;
                debug_assert!(reply.headers.contains_key(ATTEMPT_HEADER));
                body = reply.text();
            }
            (at >= WARM_UP).then(|| start.elapsed().saturating_sub(at))
        });
    }
    latency(tasks.join_all().await.into_iter().flatten())
}

fn latency(times: impl Iterator<Item = Duration>) -> Latency {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
    for time in times {
        histogram.record(time.as_micros() as u64).ok();
    }
    Latency { p50: histogram.value_at_quantile(0.5), p99: histogram.value_at_quantile(0.99) }
}
