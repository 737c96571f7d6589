//! Validates a complete configuration; reports all problems at once, each with its path.

use std::collections::HashSet;
use std::fmt;

use snafu::Snafu;

use super::{Config, Effect, EndpointKind, Labels, labels};

/// Longest allowed deadline of a pipeline, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Maximum number of stages in a pipeline.
pub const MAX_STAGES: usize = 16;

/// Problem with one value of a configuration.
#[derive(Debug, Snafu, PartialEq, Clone)]
pub enum Problem {
    /// Two items of the same kind have the same name.
    #[snafu(display("the name {name:?} stands twice"))]
    Duplicate {
        /// Name of the item.
        name: String,
    },
    /// A name is empty or contains invalid characters.
    #[snafu(display("{name:?} is not a name: letters, digits, '-', '_' and '.' only"))]
    BadName {
        /// Name of the item.
        name: String,
    },
    /// A label key or value is invalid.
    #[snafu(display("{source}"))]
    BadLabel {
        /// Details of the problem.
        source: labels::SelectorError,
    },
    /// A number is outside its allowed range.
    #[snafu(display("{value} is not allowed: {allowed}"))]
    OutOfRange {
        /// Value in the configuration.
        value: f64,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// A selector matches nothing in this configuration.
    #[snafu(display("the selector {selector:?} matches no {of}"))]
    MatchesNothing {
        /// Text of the selector.
        selector: String,
        /// Kind of item that the selector should match.
        of: &'static str,
    },
    /// A rule names a stage that no pipeline has.
    #[snafu(display("no pipeline has a stage {stage:?}"))]
    UnknownStage {
        /// Name of the stage.
        stage: String,
    },
    /// A list is empty although it must have members, or has too many.
    #[snafu(display("{len} members are not allowed: {allowed}"))]
    Length {
        /// Number of members.
        len: usize,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

/// A problem and its path, such as `pipelines[0].stages[2].endpoints`.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Path from the root of the document.
    pub path: String,
    /// Problem with the value at the path.
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// Returns all problems of `config`; empty if it may be published.
pub fn check(config: &Config) -> Vec<Finding> {
    let mut findings = Findings::default();
    findings.pipelines(config);
    findings.endpoints(config);
    findings.organisations(config);
    findings.rules(config);
    findings.limits(config);
    findings.placements(config);
    findings.policy(config);
    findings.0
}

#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, path: String, problem: Problem) {
        self.0.push(Finding { path, problem });
    }

    fn name<'a>(&mut self, path: String, name: &'a str, seen: &mut HashSet<&'a str>) {
        if labels::check_label(name, "").is_err() || name.contains('/') {
            self.add(path, Problem::BadName { name: name.to_owned() });
        } else if !seen.insert(name) {
            self.add(path, Problem::Duplicate { name: name.to_owned() });
        }
    }

    fn labels(&mut self, path: &str, labels: &Labels) {
        for (key, value) in labels {
            if let Err(source) = labels::check_label(key, value) {
                self.add(format!("{path}.labels[{key:?}]"), Problem::BadLabel { source });
            }
        }
    }

    fn range(&mut self, path: String, value: f64, fits: bool, allowed: &'static str) {
        if !fits {
            self.add(path, Problem::OutOfRange { value, allowed });
        }
    }

    fn length(&mut self, path: &str, len: usize, max: usize, allowed: &'static str) {
        if len == 0 || len > max {
            self.add(path.to_owned(), Problem::Length { len, allowed });
        }
    }

    fn matches_nothing(&mut self, path: String, selector: &super::Selector, of: &'static str) {
        self.add(path, Problem::MatchesNothing { selector: selector.to_string(), of });
    }

    fn pipelines(&mut self, config: &Config) {
        self.length("pipelines", config.pipelines.len(), usize::MAX, "at least one pipeline");
        let mut names = HashSet::new();
        for (i, pipeline) in config.pipelines.iter().enumerate() {
            let path = format!("pipelines[{i}]");
            self.name(format!("{path}.name"), &pipeline.name, &mut names);
            let deadline = pipeline.deadline_ms;
            let fits = (1..=MAX_DEADLINE_MS).contains(&deadline);
            self.range(format!("{path}.deadline_ms"), deadline as f64, fits, "1 to 600000");
            let stages = format!("{path}.stages");
            self.length(&stages, pipeline.stages.len(), MAX_STAGES, "1 to 16 stages");
            self.stages(&stages, pipeline, config);
        }
    }

    fn stages(&mut self, path: &str, pipeline: &super::Pipeline, config: &Config) {
        let mut names = HashSet::new();
        for (i, stage) in pipeline.stages.iter().enumerate() {
            self.name(format!("{path}[{i}].name"), &stage.name, &mut names);
            if !config.endpoints.iter().any(|e| stage.endpoints.matches(&e.labels)) {
                self.matches_nothing(
                    format!("{path}[{i}].endpoints"),
                    &stage.endpoints,
                    "endpoint",
                );
            }
        }
    }

    fn endpoints(&mut self, config: &Config) {
        let mut names = HashSet::new();
        for (i, endpoint) in config.endpoints.iter().enumerate() {
            let path = format!("endpoints[{i}]");
            self.name(format!("{path}.name"), &endpoint.name, &mut names);
            self.labels(&path, &endpoint.labels);
            let concurrency = endpoint.concurrency;
            let fits = (1..=65_536).contains(&concurrency);
            self.range(format!("{path}.concurrency"), concurrency.into(), fits, "1 to 65536");
            let cost = endpoint.cost;
            let fits = cost.is_finite() && cost >= 0.0;
            self.range(format!("{path}.cost"), cost, fits, "a finite number, 0 or more");
        }
    }

    fn organisations(&mut self, config: &Config) {
        let mut names = HashSet::new();
        for (i, organisation) in config.organisations.iter().enumerate() {
            let path = format!("organisations[{i}]");
            self.name(format!("{path}.name"), &organisation.name, &mut names);
            self.labels(&path, &organisation.labels);
        }
    }

    fn rules(&mut self, config: &Config) {
        let mut names = HashSet::new();
        for (i, rule) in config.rules.iter().enumerate() {
            let path = format!("rules[{i}]");
            self.name(format!("{path}.name"), &rule.name, &mut names);
            self.organisations_matched(&path, &rule.organisations, config);
            if let Effect::Require { stage, endpoints } = &rule.effect {
                self.require(&path, stage, endpoints, config);
            }
        }
    }

    fn require(&mut self, path: &str, stage: &str, selector: &super::Selector, config: &Config) {
        let mut stages = config.pipelines.iter().flat_map(|p| &p.stages);
        if !stages.any(|s| s.name == stage) {
            let problem = Problem::UnknownStage { stage: stage.to_owned() };
            self.add(format!("{path}.effect.require.stage"), problem);
        }
        if !config.endpoints.iter().any(|e| selector.matches(&e.labels)) {
            self.matches_nothing(format!("{path}.effect.require.endpoints"), selector, "endpoint");
        }
    }

    fn organisations_matched(&mut self, path: &str, selector: &super::Selector, config: &Config) {
        let matched = config.organisations.iter().any(|o| selector.matches(&o.labels));
        if !matched && !selector.is_empty() {
            self.matches_nothing(format!("{path}.organisations"), selector, "organisation");
        }
    }

    fn limits(&mut self, config: &Config) {
        let mut names = HashSet::new();
        for (i, limit) in config.limits.iter().enumerate() {
            let path = format!("limits[{i}]");
            self.name(format!("{path}.name"), &limit.name, &mut names);
            self.organisations_matched(&path, &limit.organisations, config);
            let rate = limit.per_second;
            let fits = rate.is_finite() && rate > 0.0;
            self.range(format!("{path}.per_second"), rate, fits, "more than 0");
            let burst = limit.burst;
            let fits = burst.is_finite() && burst >= 1.0;
            self.range(format!("{path}.burst"), burst, fits, "1 or more");
        }
    }

    fn placements(&mut self, config: &Config) {
        for (i, placement) in config.placements.iter().enumerate() {
            let matched = config
                .endpoints
                .iter()
                .any(|e| e.kind == EndpointKind::Engine && placement.endpoints.matches(&e.labels));
            if !matched {
                let path = format!("placements[{i}].endpoints");
                self.matches_nothing(path, &placement.endpoints, "engine");
            }
        }
    }

    fn policy(&mut self, config: &Config) {
        let policy = &config.policy;
        let fraction = |v: f64| (0.0..=1.0).contains(&v);
        let counted = |v: usize| (1..=1_000).contains(&v);
        let not_negative = |v: f64| v.is_finite() && v >= 0.0;
        let fractions = [
            ("retry_fraction", policy.retry_fraction),
            ("patience", policy.patience),
            ("suspected_fraction", policy.suspected_fraction),
        ];
        for (key, value) in fractions {
            self.range(format!("policy.{key}"), value, fraction(value), "0 to 1");
        }
        for (key, value) in [("compared", policy.compared), ("subset", policy.subset)] {
            self.range(format!("policy.{key}"), value as f64, counted(value), "1 to 1000");
        }
        let rate = policy.loads_per_second;
        let fits = rate.is_finite() && rate > 0.0;
        self.range("policy.loads_per_second".to_owned(), rate, fits, "more than 0");
        let numbers = [("cost_weight_ms", policy.cost_weight_ms), ("remote_ms", policy.remote_ms)];
        for (key, value) in numbers {
            self.range(format!("policy.{key}"), value, not_negative(value), "0 or more");
        }
    }
}
