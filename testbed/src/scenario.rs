//! Named, seeded scenarios: the same load under several policies, paired, in one run.

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

/// Why a scenario can't be run.
#[derive(Debug, Snafu)]
pub enum ScenarioError {
    /// The file can't be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// Which.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is no scenario.
    #[snafu(display("{path}: {source}"))]
    Syntax {
        /// Which.
        path: String,
        /// Where and why.
        source: serde_json::Error,
    },
    /// The fleet could not be started.
    #[snafu(display("{source}"), context(false))]
    Start {
        /// Why.
        source: FleetError,
    },
}

/// Which of the users' deployments.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Which {
    /// Short guest replies.
    Campsites,
    /// Long briefs.
    Guild,
}

/// From a time on, this many requests a second.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Phase {
    /// Seconds since the start.
    pub from: f64,
    /// Requests a second.
    pub rate: f64,
}

/// A kind of request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its pipeline.
    pub pipeline: String,
    /// How often, relative to the others.
    pub weight: f64,
    /// Tokens to generate.
    pub tokens: usize,
    /// Bytes of padding of its input.
    #[serde(default)]
    pub padding: usize,
    /// Its deadline.
    pub deadline_ms: u64,
    /// Whether stages may be run again.
    #[serde(default)]
    pub may_repeat: bool,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
}

/// Something that goes wrong, or is mended.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// The endpoint takes this many times as long.
    Slow(u32),
    /// The endpoint's agent dies.
    Dead,
    /// The link to the endpoint's agent is frozen.
    Frozen,
    /// All is well again, but for what is dead.
    Mended,
}

/// When and where something goes wrong; all endpoints with this prefix.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Seconds since the start.
    pub at: f64,
    /// The endpoint's name, or the start of it.
    pub endpoint: String,
    /// What.
    pub what: What,
}

/// A scenario, as its file has it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The deployment.
    pub deployment: Which,
    /// Replicas of each service.
    pub services: usize,
    /// Replicas of the model.
    pub models: usize,
    /// Data centres.
    pub data_centres: usize,
    /// Milliseconds of a service's call.
    pub service_ms: u64,
    /// Milliseconds of an engine's step.
    pub step_ms: u64,
    /// Streams that an engine runs at once.
    pub batch: usize,
    /// Length in seconds.
    pub seconds: f64,
    /// Results are counted from this second on.
    pub counted_from: f64,
    /// The load.
    pub phases: Vec<Phase>,
    /// The kinds of request.
    pub mix: Vec<Kind>,
    /// The share of requests that come from the large organisation.
    pub large_share: f64,
    /// Whether callers who were refused ask again at once, up to this often.
    #[serde(default)]
    pub ask_again: usize,
    /// What goes wrong.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// The policies that are compared: a name, and what differs in the configuration.
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

/// One run of a scenario under one policy.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Measured {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The round, and its seed.
    pub round: u64,
    /// What callers saw.
    pub summary: Summary,
    /// Runs of each stage for each request answered in time.
    pub runs_per_answer: BTreeMap<String, f64>,
    /// The share answered in time, second by second.
    pub timeline: Vec<f64>,
}

/// Reads a scenario.
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
            Which::Campsites => campsites(sizes, times, speed),
            Which::Guild => guild(sizes, times, speed),
        }
    }

    /// The requests of a round: the same for every policy.
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

    /// Runs one round under one policy, on a fleet of its own.
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
        self.play_events(&mut fleet).await;
        let outcomes = load.await.unwrap_or_default();
        Ok(self.measured(&fleet, policy.0, round, &outcomes))
    }

    async fn play_events(&self, fleet: &mut Fleet) {
        let start = tokio::time::Instant::now();
        for event in &self.events {
            tokio::time::sleep_until(start + Duration::from_secs_f64(event.at)).await;
            let names: Vec<_> =
                fleet.agents.keys().filter(|n| n.starts_with(&event.endpoint)).cloned().collect();
            for name in names {
                let faults = fleet.stand_ins[&name].faults.clone();
                match event.what {
                    What::Slow(times) => faults.set(Fault::Slow(times)),
                    What::Dead => fleet.agents.get_mut(&name).expect("it is there").kill(),
                    What::Frozen => fleet.agent_proxies[&name].set(Link::Frozen),
                    What::Mended => {
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

/// Runs a scenario under the named policies, `rounds` times each in turn, and prints every line.
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
