//! Record of the stages that the stand-ins ran, against which callers' outcomes are checked.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// One stage that an endpoint started to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Name of the stage.
    pub stage: String,
    /// Request id from the gateway.
    pub request: String,
    /// Attempt id from the gateway.
    pub attempt: String,
    /// Unique key of the request, taken from the input and passed through all stages.
    pub key: String,
}

/// Shared record of the runs of all stand-ins in one process.
#[derive(Debug, Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    /// Records a run.
    pub fn add(&self, run: Run) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }

    /// All runs so far.
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Runs with a request key.
    pub fn of_key(&self, key: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.iter().filter(|r| r.key == key).cloned().collect()
    }
}

/// Data passed between stages in the test bench.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct StageData {
    /// Unique key of the request.
    pub key: String,
    /// Number of tokens that the model generates.
    #[serde(default)]
    pub tokens: usize,
    /// Stages that have run, in order.
    #[serde(default)]
    pub stages: Vec<String>,
    /// Padding, to reach the size of a long brief.
    #[serde(default)]
    pub padding: String,
}

impl StageData {
    /// Parses the input of a stage; the key is empty if it is invalid.
    pub fn read(input: &[u8]) -> Self {
        serde_json::from_slice(input).unwrap_or_default()
    }
}

/// Complete response that is expected for this key.
pub fn expected_text(key: &str, tokens: usize) -> String {
    (0..tokens.max(1)).map(|i| token(key, i)).collect()
}

/// The i-th token of a response; identical at every engine.
pub fn token(key: &str, i: usize) -> String {
    match i {
        0 => format!("[{key}]"),
        _ => format!(
            " {:04x}",
            xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), i as u64) as u16
        ),
    }
}
