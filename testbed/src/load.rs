//! Open-loop load generator: sends requests on a schedule drawn from a seed, regardless of
//! responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::Instant;

use crate::client::{Ask, Client, ClientError, Reply};
use crate::history::{ReportedRun, Seen};
use crate::runs::{StageData, expected_text};

/// Maximum number of requests of one load.
pub const MAX_REQUESTS: usize = 200_000;
/// Time to wait for responses after the last request.
const GRACE: Duration = Duration::from_secs(5);

/// A scheduled request.
#[derive(Debug, Clone)]
pub struct Planned {
    /// Send time since the start.
    pub at: Duration,
    /// Address of the gateway.
    pub gateway: SocketAddr,
    /// Request to send.
    pub ask: Ask,
    /// Time within which the response counts as in time.
    pub deadline: Duration,
    /// Number of immediate retries after a refusal.
    pub ask_again: usize,
}

/// Result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Complete and in time.
    InTime,
    /// Complete, but after the deadline.
    Late,
    /// The response differs from the expected one.
    Wrong,
    /// Refused; no stage ran.
    NotRun,
    /// Refused; earlier stages ran.
    RanInPart,
    /// Refused; the request may have run.
    Unknown,
    /// No response.
    Nothing,
}

/// One request and its result.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Scheduled request.
    pub planned: Planned,
    /// Result of the request.
    pub ending: Ending,
    /// Reason of a refusal; empty otherwise.
    pub reason: String,
    /// Outcome that the caller observed.
    pub seen: Seen,
    /// Complete response that was expected.
    pub expected: String,
    /// Time from the scheduled send time to the last byte, including delays before sending.
    pub took: Duration,
}

/// Arrival times of a Poisson process from `from` to `to` seconds, at `rate` per second.
pub fn arrivals(rng: &mut StdRng, from: f64, to: f64, rate: f64) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at = from;
    while rate > 0.0 && times.len() < MAX_REQUESTS {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= to {
            break;
        }
        times.push(Duration::from_secs_f64(at));
    }
    times
}

/// Random number generator for a seed.
pub fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// Sends each request at its scheduled time and returns all results.
pub async fn drive(planned: Vec<Planned>) -> Vec<Outcome> {
    let client = Client::new(Duration::from_secs(10));
    let ended = Arc::new(Mutex::new(Vec::with_capacity(planned.len())));
    let count = planned.len();
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for request in planned {
        tokio::time::sleep_until(start + request.at).await;
        let (client, ended) = (client.clone(), ended.clone());
        tasks.spawn(async move {
            let reply = ask(&client, &request).await;
            let took = (start.elapsed()).saturating_sub(request.at);
            let outcome = judge(request, reply, took);
            ended.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
        });
    }
    let all = async { while tasks.join_next().await.is_some() {} };
    tokio::time::timeout(GRACE, all).await.ok();
    tasks.abort_all();
    let ended = std::mem::take(&mut *ended.lock().unwrap_or_else(PoisonError::into_inner));
    debug_assert!(ended.len() <= count);
    ended
}

/// Sends a request and retries immediately after a refusal, to generate a retry storm.
async fn ask(client: &Client, request: &Planned) -> Result<Reply, ClientError> {
    let mut reply = client.ask(request.gateway, &request.ask).await;
    for _ in 0..request.ask_again {
        if reply.as_ref().is_ok_and(|r| r.status == 200) {
            break;
        }
        reply = client.ask(request.gateway, &request.ask).await;
    }
    reply
}

fn judge(request: Planned, reply: Result<Reply, ClientError>, took: Duration) -> Outcome {
    let expected = expected(&request.ask, reply.as_ref().ok());
    let (ending, reason, seen) = match reply {
        Err(_) => (Ending::Nothing, "no answer".to_owned(), Seen::Nothing),
        Ok(reply) if reply.status == 200 => {
            let text = reply.text();
            let ending = match text == expected {
                true if took <= request.deadline => Ending::InTime,
                true => Ending::Late,
                false => Ending::Wrong,
            };
            (ending, String::new(), Seen::Whole(text))
        }
        Ok(reply) => refused(&reply.json()),
    };
    Outcome { planned: request, ending, reason, seen, expected, took }
}

fn refused(problem: &Value) -> (Ending, String, Seen) {
    let (ending, ran) = match problem["ran"].as_str() {
        Some("not_run") => (Ending::NotRun, ReportedRun::NotRun),
        Some("ran_in_part") => (Ending::RanInPart, ReportedRun::InPart),
        _ => (Ending::Unknown, ReportedRun::Unknown),
    };
    let stages = problem["stages_run"].as_array().into_iter().flatten();
    let stages_run = stages.filter_map(|s| s.as_str().map(str::to_owned)).collect();
    let reason = problem["title"].as_str().unwrap_or_default().to_owned();
    (ending, reason, Seen::Refused { ran, stages_run })
}

/// Expected complete response: the text of an engine, or the output of the last service.
fn expected(ask: &Ask, reply: Option<&Reply>) -> String {
    let from_service = reply.is_some_and(|r| r.json().is_object());
    if !from_service {
        return expected_text(&ask.key, ask.tokens);
    }
    let stages = ["encode", "retrieve", "send"].map(str::to_owned).to_vec();
    let data =
        StageData { key: ask.key.clone(), tokens: ask.tokens, stages, padding: String::new() };
    serde_json::to_string(&data).unwrap_or_default()
}

/// Statistics of a load.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    /// Number of requests sent.
    pub sent: usize,
    /// Share of requests with a complete response in time.
    pub attainment: f64,
    /// Lowest attainment of any organisation.
    pub worst_organisation: f64,
    /// Complete responses in time, per second of the load.
    pub goodput: f64,
    /// Median latency of the responses in time, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of their latency, in milliseconds.
    pub p99_ms: f64,
    /// Number of requests by result.
    pub endings: BTreeMap<Ending, usize>,
    /// Number of refusals by reason.
    pub reasons: BTreeMap<String, usize>,
}

/// Computes the statistics of the requests scheduled between `from` and `to`.
pub fn summarise(outcomes: &[Outcome], from: Duration, to: Duration) -> Summary {
    let counted: Vec<_> = outcomes.iter().filter(|o| (from..to).contains(&o.planned.at)).collect();
    let good = |o: &&&Outcome| o.ending == Ending::InTime;
    let in_time = counted.iter().filter(good).count();
    let mut latencies = Histogram::<u64>::new(3).expect("three digits are allowed");
    let (mut endings, mut reasons) = (BTreeMap::new(), BTreeMap::new());
    let mut organisations: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for outcome in &counted {
        *endings.entry(outcome.ending).or_default() += 1;
        if !outcome.reason.is_empty() {
            *reasons.entry(outcome.reason.clone()).or_default() += 1;
        }
        let tally = organisations.entry(&outcome.planned.ask.organisation).or_default();
        tally.1 += 1;
        if outcome.ending == Ending::InTime {
            tally.0 += 1;
            latencies.record(outcome.took.as_micros() as u64).ok();
        }
    }
    let share = |part: usize, of: usize| part as f64 / of.max(1) as f64;
    let worst = organisations.values().map(|(good, all)| share(*good, *all)).fold(1.0, f64::min);
    Summary {
        sent: counted.len(),
        attainment: share(in_time, counted.len()),
        worst_organisation: worst,
        goodput: in_time as f64 / (to - from).as_secs_f64(),
        p50_ms: latencies.value_at_quantile(0.5) as f64 / 1_000.0,
        p99_ms: latencies.value_at_quantile(0.99) as f64 / 1_000.0,
        endings,
        reasons,
    }
}
