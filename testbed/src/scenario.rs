//! Seeded scenarios: the same load under several policies, for paired comparisons.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu};
use stackmast::config::labels::Labels;

use crate::client::Ask;
use crate::deployment::{Deployment, Sizes, campsites, guild};
use crate::engine::Speed;
use crate::fleet::{Fleet, FleetError, Program};
use crate::load::{Outcome, Planned, Summary, arrivals, drive, rng, summarise};
use crate::proxy::Link;
use crate::service::{Fault, Times};

/// Reason why a scenario could not be run.
#[derive(Debug, Snafu)]
pub enum ScenarioError {
    /// The file could not be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// Path of the file.
        path: String,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The file is not a valid scenario.
    #[snafu(display("{path}: {source}"))]
    Syntax {
        /// Path of the file.
        path: String,
        /// Underlying error.
        source: serde_json::Error,
    },
    /// The fleet failed to start.
    #[snafu(display("{source}"), context(false))]
    Start {
        /// Underlying error.
        source: FleetError,
    },
}

/// Deployment of a scenario.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeploymentKind {
    /// The campsite keepers' association, with short guest replies.
    Campsites,
    /// The guild of rendering studios, with long briefs.
    Guild,
}

/// Phase of a load with a constant request rate.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Phase {
    /// Seconds since the start.
    pub from: f64,
    /// Requests per second.
    pub rate: f64,
}

/// Kind of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the pipeline.
    pub pipeline: String,
    /// Frequency relative to the other kinds.
    pub weight: f64,
    /// Number of tokens to generate.
    pub tokens: usize,
    /// Bytes of padding in the input.
    #[serde(default)]
    pub padding: usize,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Whether stages may be run again.
    #[serde(default)]
    pub may_repeat: bool,
    /// Labels of the request.
    #[serde(default)]
    pub labels: Labels,
}

/// A fault, or the end of a fault.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// Multiplies the durations of the endpoint by this factor.
    Slow(u32),
    /// Kills the agent of the endpoint.
    Dead,
    /// Freezes the link to the agent of the endpoint.
    Frozen,
    /// Ends all faults except killed agents.
    Mended,
}

/// A scheduled fault on all endpoints with a name prefix.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Seconds since the start.
    pub at: f64,
    /// Prefix of the endpoint names.
    pub endpoint: String,
    /// Fault to inject.
    pub what: FaultAction,
}

/// A scenario in its file format.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Deployment to run.
    pub deployment: DeploymentKind,
    /// Replicas of each service.
    pub services: usize,
    /// Replicas of the model.
    pub models: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Duration of a service call in milliseconds.
    pub service_ms: u64,
    /// Duration of an engine step in milliseconds.
    pub step_ms: u64,
    /// Streams that an engine runs concurrently.
    pub batch: usize,
    /// Duration in seconds.
    pub seconds: f64,
    /// Time in seconds from which results are counted.
    pub counted_from: f64,
    /// Phases of the load.
    pub phases: Vec<Phase>,
    /// Kinds of requests.
    pub mix: Vec<Kind>,
    /// Share of requests from the large organisation.
    pub large_share: f64,
    /// Number of immediate retries after a refusal.
    #[serde(default)]
    pub ask_again: usize,
    /// Scheduled faults.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Policies to compare, each as a name and a patch of the policy settings.
pub fn policies() -> Vec<(&'static str, Value)> {
    use serde_json::json;
    let baseline =
        |routing: &str| json!({ "routing": routing, "admission": false, "retry_fraction": 1.0 });
    vec![
        ("stackmast", json!({})),
        ("random", baseline("random")),
        ("round-robin", baseline("round-robin")),
        ("least-in-flight", baseline("least-in-flight")),
        ("two-choices", baseline("two-choices")),
        ("no-admission", json!({ "admission": false })),
    ]
}

/// Result of one run of a scenario under one policy.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Measured {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Number of the round, also used as seed.
    pub round: u64,
    /// Statistics of the responses.
    pub summary: Summary,
    /// Runs of each stage per request with a response in time.
    pub runs_per_answer: BTreeMap<String, f64>,
    /// Share of responses in time, for each second.
    pub timeline: Vec<f64>,
}

/// Reads a scenario from a file.
pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: &shown })?;
    serde_json::from_str(&text).context(SyntaxSnafu { path: shown })
}

impl Scenario {
    fn deployment(&self) -> Deployment {
        let sizes =
            Sizes { service: self.services, model: self.models, data_centres: self.data_centres };
        let times = Times {
            base: Duration::from_millis(self.service_ms),
            per_kib: Duration::from_micros(100),
            concurrency: 4,
        };
        let speed = Speed {
            step: Duration::from_millis(self.step_ms),
            batch: self.batch,
            ..Speed::default()
        };
        match self.deployment {
            DeploymentKind::Campsites => campsites(sizes, times, speed),
            DeploymentKind::Guild => guild(sizes, times, speed),
        }
    }

    /// Schedules the requests of a round, identically for every policy.
    fn plan(&self, fleet: &Fleet, seed: u64) -> Vec<Planned> {
        let mut rng = rng(seed);
        let mut planned = Vec::new();
        for (i, phase) in self.phases.iter().enumerate() {
            let to = self.phases.get(i + 1).map_or(self.seconds, |next| next.from);
            for at in arrivals(&mut rng, phase.from, to, phase.rate) {
                let number = planned.len();
                planned.push(self.request(fleet, &mut rng, seed, number, at));
            }
        }
        planned
    }

    fn request(
        &self,
        fleet: &Fleet,
        rng: &mut StdRng,
        seed: u64,
        number: usize,
        at: Duration,
    ) -> Planned {
        let kind = self.any_kind(rng);
        let large = rng.random::<f64>() < self.large_share;
        let index = if large { 0 } else { rng.random_range(1..5) };
        let organisation = fleet.config.organisations[index].name.clone();
        let mut ask = Ask::new(&kind.pipeline, &organisation, &format!("{seed}-{number}"));
        ask.tokens = kind.tokens;
        ask.padding = kind.padding;
        ask.more = serde_json::json!({
            "deadline_ms": kind.deadline_ms,
            "may_repeat": kind.may_repeat,
            "labels": kind.labels,
        });
        let gateway = rng.random_range(0..fleet.gateways.len());
        let deadline = Duration::from_millis(kind.deadline_ms);
        let ask_again = self.ask_again;
        Planned { at, gateway: fleet.callers(gateway), ask, deadline, ask_again }
    }

    fn any_kind(&self, rng: &mut StdRng) -> &Kind {
        let total: f64 = self.mix.iter().map(|k| k.weight).sum();
        let mut drawn = rng.random::<f64>() * total;
        for kind in &self.mix {
            drawn -= kind.weight;
            if drawn <= 0.0 {
                return kind;
            }
        }
        &self.mix[self.mix.len() - 1]
    }

    /// Runs one round under one policy, on a new fleet.
    pub async fn run(
        &self,
        program: &Program,
        policy: &(&'static str, Value),
        round: u64,
    ) -> Result<Measured, ScenarioError> {
        let mut deployment = self.deployment();
        let mut patched = serde_json::to_value(&deployment.config.policy).unwrap_or_default();
        if let (Value::Object(patched), Value::Object(patch)) = (&mut patched, &policy.1) {
            patched.extend(patch.clone());
        }
        deployment.config.policy = serde_json::from_value(patched).unwrap_or_default();
        let mut fleet = Fleet::start(program, deployment, 2).await?;
        let planned = self.plan(&fleet, round);
        let load = tokio::spawn(drive(planned));
        self.inject_faults(&mut fleet).await;
        let outcomes = load.await.unwrap_or_default();
        Ok(self.measured(&fleet, policy.0, round, &outcomes))
    }

    async fn inject_faults(&self, fleet: &mut Fleet) {
        let start = tokio::time::Instant::now();
        for event in &self.events {
            tokio::time::sleep_until(start + Duration::from_secs_f64(event.at)).await;
            let names: Vec<_> =
                fleet.agents.keys().filter(|n| n.starts_with(&event.endpoint)).cloned().collect();
            for name in names {
                let faults = fleet.stand_ins[&name].faults.clone();
                match event.what {
                    FaultAction::Slow(times) => faults.set(Fault::Slow(times)),
                    FaultAction::Dead => fleet.agents.get_mut(&name).expect("it is there").kill(),
                    FaultAction::Frozen => fleet.agent_proxies[&name].set(Link::Frozen),
                    FaultAction::Mended => {
                        faults.set(Fault::None);
                        fleet.agent_proxies[&name].set(Link::Up);
                    }
                }
            }
        }
    }

    fn measured(&self, fleet: &Fleet, policy: &str, round: u64, outcomes: &[Outcome]) -> Measured {
        let second = |s: f64| Duration::from_secs_f64(s);
        let summary = summarise(outcomes, second(self.counted_from), second(self.seconds));
        let whole = summarise(outcomes, Duration::ZERO, second(self.seconds));
        let answered = whole.goodput * self.seconds;
        let mut runs: BTreeMap<String, f64> = BTreeMap::new();
        for run in fleet.runs.all() {
            *runs.entry(run.stage).or_default() += 1.0 / answered.max(1.0);
        }
        let timeline = (0..self.seconds as u64).map(|s| {
            let from = Duration::from_secs(s);
            summarise(outcomes, from, from + Duration::from_secs(1)).attainment
        });
        Measured {
            scenario: self.name.clone(),
            policy: policy.to_owned(),
            round,
            summary,
            runs_per_answer: runs,
            timeline: timeline.collect(),
        }
    }
}

/// Runs a scenario under the named policies for `rounds` alternating rounds and prints the results.
pub async fn compare(
    program: &Program,
    path: &Path,
    names: &[&str],
    rounds: u64,
) -> Result<(), ScenarioError> {
    let scenario = read(path)?;
    let chosen: Vec<_> = policies()
        .into_iter()
        .filter(|(name, _)| names.is_empty() || names.contains(name))
        .collect();
    let mut all = Vec::new();
    for round in 1..=rounds {
        for policy in &chosen {
            let measured = scenario.run(program, policy, round).await?;
            eprintln!("{}", serde_json::to_string(&measured).unwrap_or_default());
            all.push(measured);
        }
    }
    println!("{}: medians of {rounds} rounds (least to most)", scenario.name);
    println!(
        "{:<16} {:>22} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8}  runs a stage for an answer",
        "policy",
        "attainment %",
        "worst org",
        "goodput",
        "p50 ms",
        "p99 ms",
        "not run",
        "in part",
        "unknown"
    );
    for (name, _) in &chosen {
        let of: Vec<_> = all.iter().filter(|m| m.policy == *name).collect();
        print_row(name, &of);
    }
    Ok(())
}

fn print_row(name: &str, rounds: &[&Measured]) {
    use crate::load::Ending;
    let sorted = |value: &dyn Fn(&Measured) -> f64| {
        let mut values: Vec<f64> = rounds.iter().map(|m| value(m)).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let median = |value: &dyn Fn(&Measured) -> f64| sorted(value)[rounds.len() / 2];
    let ended =
        |ending: Ending| median(&|m| m.summary.endings.get(&ending).copied().unwrap_or(0) as f64);
    let attainment = sorted(&|m| m.summary.attainment * 100.0);
    let stages: Vec<_> = rounds[0].runs_per_answer.keys().cloned().collect();
    let runs = stages.iter().map(|stage| {
        let runs = median(&|m| m.runs_per_answer.get(stage).copied().unwrap_or(0.0));
        format!("{stage} {runs:.2}")
    });
    println!(
        "{name:<16} {:>7.2} ({:>5.1}-{:>5.1}) {:>9.1} {:>9.1} {:>8.1} {:>8.1} {:>8.0} {:>8.0} {:>8.0}  {}",
        attainment[rounds.len() / 2],
        attainment[0],
        attainment[rounds.len() - 1],
        median(&|m| m.summary.worst_organisation * 100.0),
        median(&|m| m.summary.goodput),
        median(&|m| m.summary.p50_ms),
        median(&|m| m.summary.p99_ms),
        ended(Ending::NotRun),
        ended(Ending::RanInPart),
        ended(Ending::Unknown),
        runs.collect::<Vec<_>>().join(", ")
    );
}
