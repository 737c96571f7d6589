//! The load tool: sends requests on a schedule drawn from a seed, whether or not answers come.

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
use crate::history::{SaidRan, Seen};
use crate::runs::{Passed, expected_text};

/// Most requests of one load; it stops by itself.
pub const MAX_REQUESTS: usize = 200_000;
/// How long after the last request answers are waited for.
const GRACE: Duration = Duration::from_secs(5);

/// A request that is sent at a time.
#[derive(Debug, Clone)]
pub struct Planned {
    /// When, since the start.
    pub at: Duration,
    /// Where.
    pub gateway: SocketAddr,
    /// What.
    pub ask: Ask,
    /// When its caller stops waiting.
    pub deadline: Duration,
    /// How often its caller asks again at once after a refusal.
    pub ask_again: usize,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Whole, in time.
    InTime,
    /// Whole, after its deadline.
    Late,
    /// An answer that is not its whole answer.
    Wrong,
    /// Refused, nothing ran.
    NotRun,
    /// Refused, earlier stages ran.
    RanInPart,
    /// Refused, it may have run.
    Unknown,
    /// No answer.
    Nothing,
}

/// One request and its end.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request.
    pub planned: Planned,
    /// How it ended.
    pub ending: Ending,
    /// The reason of a refusal.
    pub reason: String,
    /// What its caller saw.
    pub seen: Seen,
    /// The whole answer that it was to get.
    pub expected: String,
    /// Time from when it was due to its last byte; waiting to be sent counts.
    pub took: Duration,
}

/// Times of arrivals, as a Poisson process has them, from `from` to `to` at `rate` a second.
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

/// The random numbers of a seed.
pub fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// Sends all requests when they are due and returns how each ended.
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

/// Asks, and asks again at once where it was refused, which is what a retry storm is made of.
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
        Some("not_run") => (Ending::NotRun, SaidRan::NotRun),
        Some("ran_in_part") => (Ending::RanInPart, SaidRan::InPart),
        _ => (Ending::Unknown, SaidRan::Unknown),
    };
    let stages = problem["stages_run"].as_array().into_iter().flatten();
    let stages_run = stages.filter_map(|s| s.as_str().map(str::to_owned)).collect();
    let reason = problem["title"].as_str().unwrap_or_default().to_owned();
    (ending, reason, Seen::Refused { ran, stages_run })
}

/// The whole answer: an engine's text, or what the last service makes of its input.
fn expected(ask: &Ask, reply: Option<&Reply>) -> String {
    let from_service = reply.is_some_and(|r| r.json().is_object());
    if !from_service {
        return expected_text(&ask.key, ask.tokens);
    }
    let stages = ["encode", "retrieve", "send"].map(str::to_owned).to_vec();
    let passed =
        Passed { key: ask.key.clone(), tokens: ask.tokens, stages, padding: String::new() };
    serde_json::to_string(&passed).unwrap_or_default()
}

/// What a load came to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    /// Requests sent.
    pub sent: usize,
    /// The share answered in full within the deadline.
    pub attainment: f64,
    /// The same for the organisation that fared worst.
    pub worst_organisation: f64,
    /// Requests answered in full within the deadline, for each second of the load.
    pub goodput: f64,
    /// Median time of those, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of those, in milliseconds.
    pub p99_ms: f64,
    /// How requests ended.
    pub endings: BTreeMap<Ending, usize>,
    /// Why they were refused.
    pub reasons: BTreeMap<String, usize>,
}

/// Sums up the requests that were due between `from` and `to`.
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
