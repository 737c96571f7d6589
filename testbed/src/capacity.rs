//! Measurements for docs/CAPACITY.md: memory, processor time and bytes of the real daemon at
//! growing sizes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use snafu::{OptionExt, ResultExt, Snafu};
use stackmast::config::Config;
use stackmast::config::parts::{PartsError, split};

use crate::client::Ask;
use crate::deployment::{SERVICE_TIMES, Sizes, campsites, projected_config};
use crate::engine::Speed;
use crate::fleet::{Fleet, FleetError, Process, Program};
use crate::load::{Ending, Planned, arrivals, drive, rng};

/// Number of changes that are published sequentially.
const CHANGES: u64 = 10;
/// Duration of the measurement of an idle fleet.
const IDLE: Duration = Duration::from_secs(10);
/// Duration of the load on the data path, in seconds.
const DATA_PATH_SECONDS: f64 = 5.0;
/// Clock ticks per second in /proc (USER_HZ, fixed by the Linux ABI).
const TICKS_PER_SECOND: f64 = 100.0;

/// Reason why a measurement failed.
#[derive(Debug, Snafu)]
pub enum CapacityError {
    /// The fleet failed to start.
    #[snafu(display("{source}"), context(false))]
    Start {
        /// Underlying error.
        source: FleetError,
    },
    /// The configuration can't be split.
    #[snafu(display("{source}"), context(false))]
    Parts {
        /// Underlying error.
        source: PartsError,
    },
    /// A file in /proc could not be read.
    #[snafu(display("{path}: {source}"))]
    Proc {
        /// Path of the file.
        path: String,
        /// Underlying error.
        source: std::io::Error,
    },
    /// A file in /proc has an unexpected format.
    #[snafu(display("unexpected format of /proc file {path}"))]
    Format {
        /// Path of the file.
        path: String,
    },
}

/// Resources that a process has used.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    resident_mib: f64,
    processor_s: f64,
    bytes_in: f64,
    bytes_out: f64,
}

async fn usage(fleet: &Fleet, process: &Process) -> Result<Usage, CapacityError> {
    let status = read_proc(process, "status")?;
    let path = "status";
    let kib = status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.split_whitespace().next());
    let kib: f64 = kib.and_then(|k| k.parse().ok()).context(FormatSnafu { path })?;
    let stat = read_proc(process, "stat")?;
    let path = "stat";
    // The name in parentheses may contain spaces; the processor times are the 12th and 13th fields
    // after it.
    let (_, rest) = stat.rsplit_once(')').context(FormatSnafu { path })?;
    let fields: Vec<f64> =
        rest.split_whitespace().skip(11).take(2).filter_map(|f| f.parse().ok()).collect();
    let bytes =
        async |direction| fleet.metric(process, "stackmast_control_bytes_total", direction).await;
    Ok(Usage {
        resident_mib: kib / 1_024.0,
        processor_s: fields.iter().sum::<f64>() / TICKS_PER_SECOND,
        bytes_in: bytes("direction=\"in\"").await,
        bytes_out: bytes("direction=\"out\"").await,
    })
}

fn read_proc(process: &Process, file: &str) -> Result<String, CapacityError> {
    let path = format!("/proc/{}/{file}", process.id());
    std::fs::read_to_string(&path).context(ProcSnafu { path })
}

/// Prints the sizes of a configuration's parts, and of the parts that a change of one organisation
/// replaces.
pub fn print_parts(endpoints: usize, organisations: usize) -> Result<(), CapacityError> {
    let config = projected_config(endpoints, organisations);
    let before = split(&config)?;
    let mut changed = config;
    changed.version += 1;
    Arc::make_mut(&mut changed.organisations[0])
        .labels
        .insert("changed".to_owned(), "yes".to_owned());
    let after = split(&changed)?;
    let new = after.parts.iter().filter(|(digest, _)| !before.parts.contains_key(*digest));
    let change: usize = new.map(|(_, part)| part.len()).sum();
    let total: usize = before.parts.values().map(bytes::Bytes::len).sum();
    let largest = before.parts.values().map(bytes::Bytes::len).max().unwrap_or(0);
    let manifest = serde_json::to_vec(&before.manifest).map_or(0, |m| m.len());
    println!(
        "{endpoints:>9} {organisations:>13} {:>6} {total:>11} {largest:>12} {manifest:>9} {change:>8}",
        before.parts.len()
    );
    Ok(())
}

/// Prints the memory and processor time of a gateway and an agent with a configuration of these
/// sizes.
pub async fn print_memory(
    program: &Program,
    endpoints: usize,
    organisations: usize,
) -> Result<(), CapacityError> {
    let mut fleet = Fleet::bare(program, projected_config(endpoints, organisations), 1, 1).await?;
    let agent = fleet.agents.keys().next().cloned().unwrap_or_default();
    let start =
        (usage(&fleet, &fleet.gateways[0]).await?, usage(&fleet, &fleet.agents[&agent]).await?);
    for i in 0..CHANGES {
        let version = fleet.publish(|config| change_organisation(config, i))?;
        fleet.wait_version(version).await?;
    }
    let end =
        (usage(&fleet, &fleet.gateways[0]).await?, usage(&fleet, &fleet.agents[&agent]).await?);
    for (role, start, end) in [("gateway", start.0, end.0), ("agent", start.1, end.1)] {
        let each = |a: f64, b: f64| (b - a) / CHANGES as f64;
        println!(
            "{role:<8} {endpoints:>9} {organisations:>13} {:>10.1} {:>13.1} {:>13.1} {:>13.0}",
            start.resident_mib,
            end.resident_mib,
            each(start.processor_s, end.processor_s) * 1_000.0,
            each(start.bytes_in, end.bytes_in),
        );
    }
    Ok(())
}

fn change_organisation(config: &mut Config, i: u64) {
    let organisation = Arc::make_mut(&mut config.organisations[i as usize]);
    organisation.labels.insert("changed".to_owned(), i.to_string());
}

/// Prints the time until a change takes effect at `processes` agents, its cost for each process,
/// and the cost of an idle fleet.
pub async fn print_propagation(program: &Program, processes: usize) -> Result<(), CapacityError> {
    let mut fleet =
        Fleet::bare(program, projected_config(processes.max(24), 1_000), processes, 1).await?;
    let before = totals(&fleet).await?;
    let calls = fleet.platform.calls();
    let mut times = Vec::new();
    for i in 0..CHANGES {
        let version = fleet.publish(|config| change_organisation(config, i))?;
        let start = Instant::now();
        fleet.wait_version(version).await?;
        times.push(start.elapsed().as_secs_f64());
    }
    eprintln!("{processes} processes, seconds for each change in turn: {times:.2?}");
    times.sort_by(f64::total_cmp);
    let after = totals(&fleet).await?;
    let count = (processes + 1) as f64;
    let each = |a: f64, b: f64| (b - a) / count / CHANGES as f64;
    tokio::time::sleep(IDLE).await;
    let idle = totals(&fleet).await?;
    let idle_cpu = (idle.processor_s - after.processor_s) / count / IDLE.as_secs_f64();
    println!(
        "{processes:>9} {:>8.2} {:>8.2} {:>12.2} {:>10.0} {:>10.0} {:>11.3} {:>9.1} {:>7}",
        times[times.len() / 2],
        times[times.len() - 1],
        each(before.processor_s, after.processor_s) * 1_000.0,
        each(before.bytes_in, after.bytes_in),
        each(before.bytes_out, after.bytes_out),
        idle_cpu * 100.0,
        idle.resident_mib / count,
        fleet.platform.calls() - calls
    );
    Ok(())
}

/// Prints the processor time of one request with this number of tokens, for the gateway and for all
/// agents together.
pub async fn print_data_path(
    program: &Program,
    rate: f64,
    tokens: usize,
) -> Result<(), CapacityError> {
    let sizes = Sizes { service: 2, model: 4, data_centres: 1 };
    let mut deployment = campsites(sizes, SERVICE_TIMES, Speed { batch: 64, ..Speed::default() });
    deployment.proxied = false;
    let fleet = Fleet::start(program, deployment, 1).await?;
    let gateway = &fleet.gateways[0];
    let before = (usage(&fleet, gateway).await?, totals(&fleet).await?);
    let times = arrivals(&mut rng(1), 0.0, DATA_PATH_SECONDS, rate);
    let planned = times.into_iter().enumerate().map(|(i, at)| {
        let mut ask = Ask::new("guest-reply", "keepers-0", &format!("k{i}"));
        ask.tokens = tokens;
        let deadline = Duration::from_secs(2);
        Planned { at, gateway: fleet.callers(0), ask, deadline, ask_again: 0 }
    });
    let outcomes = drive(planned.collect()).await;
    let after = (usage(&fleet, gateway).await?, totals(&fleet).await?);
    let answered = outcomes.iter().filter(|o| o.ending == Ending::InTime).count() as f64;
    let of_gateway = after.0.processor_s - before.0.processor_s;
    let of_all = after.1.processor_s - before.1.processor_s;
    println!(
        "{rate:>6} {tokens:>7} {answered:>9} {:>18.3} {:>21.3} {:>12.1} {:>12.1}",
        of_gateway * 1_000.0 / answered,
        (of_all - of_gateway) * 1_000.0 / answered,
        before.0.resident_mib,
        after.0.resident_mib,
    );
    Ok(())
}

async fn totals(fleet: &Fleet) -> Result<Usage, CapacityError> {
    let mut total = Usage::default();
    for process in fleet.processes() {
        let one = usage(fleet, process).await?;
        total.resident_mib += one.resident_mib;
        total.processor_s += one.processor_s;
        total.bytes_in += one.bytes_in;
        total.bytes_out += one.bytes_out;
    }
    Ok(total)
}

/// Runs all measurements and prints their tables.
pub async fn run(program: &Program, processes: &[usize]) -> Result<(), CapacityError> {
    println!("endpoints organisations  parts total bytes largest part  manifest a change");
    for (endpoints, organisations) in [(300, 2_500), (3_000, 2_500), (3_000, 25_000)] {
        print_parts(endpoints, organisations)?;
    }
    println!(
        "\nrole     endpoints organisations  start MiB after 10 MiB  ms a change  bytes a change"
    );
    for (endpoints, organisations) in [(300, 2_500), (3_000, 2_500), (3_000, 25_000)] {
        print_memory(program, endpoints, organisations).await?;
    }
    println!(
        "\n  rate  tokens  answered  gateway ms/request  all agents ms/request  MiB before    MiB after"
    );
    for (rate, tokens) in [(100.0, 4), (100.0, 64), (100.0, 128), (400.0, 4)] {
        print_data_path(program, rate, tokens).await?;
    }
    println!(
        "\nprocesses   median s   most s  ms a change   bytes in  bytes out  idle % core   MiB   calls"
    );
    for &count in processes {
        print_propagation(program, count).await?;
    }
    Ok(())
}
