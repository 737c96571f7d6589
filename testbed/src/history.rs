//! Checks histories: what callers saw against what endpoints ran.

use std::collections::HashMap;

use snafu::Snafu;

use crate::runs::Run;

/// How much ran, as a refusal says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SaidRan {
    /// Nothing.
    NotRun,
    /// These stages and no others.
    InPart,
    /// It may have run.
    Unknown,
}

/// What a caller saw last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// An answer that says to be whole.
    Whole(String),
    /// A refusal.
    Refused {
        /// How much ran.
        ran: SaidRan,
        /// The stages that it says ran.
        stages_run: Vec<String>,
    },
    /// No final answer: the connection was lost, or the caller stopped waiting.
    Nothing,
}

/// One request and its fate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The caller's key, which is in all inputs and in the answer.
    pub key: String,
    /// Whether stages may be run again; also a request under a ticket that is sent twice may not.
    pub may_repeat: bool,
    /// Its pipeline's stages, and whether each may be run again.
    pub stages: Vec<(String, bool)>,
    /// The whole answer that it must get.
    pub expected: String,
    /// Every final answer that callers saw: one, or more where the request was sent again.
    pub seen: Vec<Seen>,
}

/// A promise that a history breaks.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Breach {
    /// An answer that is not the whole answer to its request.
    #[snafu(display("{key}: got {found:?}"))]
    WrongAnswer {
        /// The request.
        key: String,
        /// What the caller got.
        found: String,
    },
    /// "Not run" was said of a request of which a stage ran.
    #[snafu(display("{key}: said not run, but {stage} ran"))]
    FalseNotRun {
        /// The request.
        key: String,
        /// A stage that ran.
        stage: String,
    },
    /// "Ran in part" was said with a wrong list of stages.
    #[snafu(display("{key}: said that {said:?} ran, but {ran:?} did"))]
    FalseInPart {
        /// The request.
        key: String,
        /// The stages in the refusal.
        said: Vec<String>,
        /// The stages that ran.
        ran: Vec<String>,
    },
    /// A stage that may not be repeated ran twice.
    #[snafu(display("{key}: {stage} ran {times} times"))]
    RanTwice {
        /// The request.
        key: String,
        /// The stage.
        stage: String,
        /// How often.
        times: usize,
    },
    /// A whole answer without a run of one of its stages.
    #[snafu(display("{key}: answered, but {stage} never ran"))]
    NeverRan {
        /// The request.
        key: String,
        /// The stage.
        stage: String,
    },
    /// An endpoint ran a request that no caller sent.
    #[snafu(display("{key}: ran, but nobody sent it"))]
    Stranger {
        /// The request.
        key: String,
    },
}

/// Every promise that a history breaks; empty for a good one.
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
            Seen::Refused { ran: SaidRan::NotRun, .. } => breaches.extend(
                names()
                    .find(|stage| ran(stage) > 0)
                    .map(|stage| Breach::FalseNotRun { key: key(), stage: stage.clone() }),
            ),
            Seen::Refused { ran: SaidRan::InPart, stages_run } => {
                let found: Vec<_> = names().filter(|s| ran(s) > 0).cloned().collect();
                if found != *stages_run {
                    let said = stages_run.clone();
                    breaches.push(Breach::FalseInPart { key: key(), said, ran: found });
                }
            }
            Seen::Refused { ran: SaidRan::Unknown, .. } | Seen::Nothing => {}
        }
    }
    breaches
}
