//! Checks the responses that callers received against the stages that endpoints ran.

use std::collections::HashMap;

use snafu::Snafu;

use crate::runs::Run;

/// Execution state that a refusal reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedRun {
    /// No stage ran.
    NotRun,
    /// Exactly the listed stages ran.
    InPart,
    /// The request may have run.
    Unknown,
}

/// Final outcome that a caller observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// A response that claims to be complete.
    Whole(String),
    /// A refused request.
    Refused {
        /// Reported execution state.
        ran: ReportedRun,
        /// Stages that ran according to the refusal.
        stages_run: Vec<String>,
    },
    /// No final response: the connection failed, or the caller timed out.
    Nothing,
}

/// One request with its observed outcomes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Unique key, contained in all inputs and in the response.
    pub key: String,
    /// Whether stages may be run again; false for a request under a ticket, also if it is sent
    /// twice.
    pub may_repeat: bool,
    /// Stages of the pipeline, and whether each may be run again.
    pub stages: Vec<(String, bool)>,
    /// Complete response that is expected.
    pub expected: String,
    /// All observed final outcomes; more than one if the request was sent again.
    pub seen: Vec<Seen>,
}

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Breach {
    /// The response differs from the expected one.
    #[snafu(display("{key}: got {found:?}"))]
    WrongAnswer {
        /// Key of the request.
        key: String,
        /// Received response.
        found: String,
    },
    /// A refusal reported "not run" although a stage ran.
    #[snafu(display("{key}: reported as not run, but {stage} ran"))]
    FalseNotRun {
        /// Key of the request.
        key: String,
        /// Name of the stage that ran.
        stage: String,
    },
    /// A refusal reported "ran in part" with a wrong list of stages.
    #[snafu(display("{key}: reported that {said:?} ran, but {ran:?} did"))]
    FalseInPart {
        /// Key of the request.
        key: String,
        /// Stages in the refusal.
        said: Vec<String>,
        /// Stages that ran.
        ran: Vec<String>,
    },
    /// A stage that must not be repeated ran more than once.
    #[snafu(display("{key}: {stage} ran {times} times"))]
    RanTwice {
        /// Key of the request.
        key: String,
        /// Name of the stage.
        stage: String,
        /// Number of runs.
        times: usize,
    },
    /// A complete response although one of the stages did not run.
    #[snafu(display("{key}: answered, but {stage} never ran"))]
    NeverRan {
        /// Key of the request.
        key: String,
        /// Name of the stage.
        stage: String,
    },
    /// An endpoint ran a request that no caller had sent.
    #[snafu(display("{key}: ran, but no caller sent it"))]
    Stranger {
        /// Key of the request.
        key: String,
    },
}

/// Returns all violated guarantees.
pub fn check(requests: &[Request], runs: &[Run]) -> Vec<Breach> {
    let mut times: HashMap<(&str, &str), usize> = HashMap::new();
    for run in runs {
        *times.entry((&run.key, &run.stage)).or_default() += 1;
    }
    let mut breaches: Vec<_> =
        requests.iter().flat_map(|request| check_request(request, &times)).collect();
    let mut strangers: Vec<_> =
        times.keys().filter(|(key, _)| requests.iter().all(|r| r.key != *key)).collect();
    strangers.sort_unstable();
    strangers.dedup_by_key(|(key, _)| *key);
    breaches.extend(strangers.iter().map(|(key, _)| Breach::Stranger { key: (*key).to_owned() }));
    breaches
}

fn check_request(request: &Request, times: &HashMap<(&str, &str), usize>) -> Vec<Breach> {
    let ran = |stage: &str| times.get(&(request.key.as_str(), stage)).copied().unwrap_or(0);
    let key = || request.key.clone();
    let mut breaches = Vec::new();
    for (stage, stage_may_repeat) in &request.stages {
        let times = ran(stage);
        if times > 1 && !(request.may_repeat && *stage_may_repeat) {
            breaches.push(Breach::RanTwice { key: key(), stage: stage.clone(), times });
        }
    }
    let names = || request.stages.iter().map(|(stage, _)| stage);
    for seen in &request.seen {
        match seen {
            Seen::Whole(found) if *found != request.expected => {
                breaches.push(Breach::WrongAnswer { key: key(), found: found.clone() });
            }
            Seen::Whole(_) => breaches.extend(
                names()
                    .filter(|stage| ran(stage) == 0)
                    .map(|stage| Breach::NeverRan { key: key(), stage: stage.clone() }),
            ),
            Seen::Refused { ran: ReportedRun::NotRun, .. } => breaches.extend(
                names()
                    .find(|stage| ran(stage) > 0)
                    .map(|stage| Breach::FalseNotRun { key: key(), stage: stage.clone() }),
            ),
            Seen::Refused { ran: ReportedRun::InPart, stages_run } => {
                let found: Vec<_> = names().filter(|s| ran(s) > 0).cloned().collect();
                if found != *stages_run {
                    let said = stages_run.clone();
                    breaches.push(Breach::FalseInPart { key: key(), said, ran: found });
                }
            }
            Seen::Refused { ran: ReportedRun::Unknown, .. } | Seen::Nothing => {}
        }
    }
    breaches
}
