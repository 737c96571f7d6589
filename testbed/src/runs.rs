//! What the stand-ins ran: the truth that histories are checked against.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// One stage that an endpoint began to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The endpoint.
    pub endpoint: String,
    /// The stage.
    pub stage: String,
    /// The request, as the gateway named it.
    pub request: String,
    /// The attempt, as the gateway named it.
    pub attempt: String,
    /// The caller's own key, found in the input; it goes through all stages.
    pub key: String,
}

/// The runs of all stand-ins of one process.
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

    /// Runs with a caller's key.
    pub fn of_key(&self, key: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.iter().filter(|r| r.key == key).cloned().collect()
    }
}

/// What goes from stage to stage in the test bench: the caller's key and the tokens to generate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Passed {
    /// The caller's own key.
    pub key: String,
    /// Tokens that the model is to generate.
    #[serde(default)]
    pub tokens: usize,
    /// The stages that have run, in order.
    #[serde(default)]
    pub stages: Vec<String>,
    /// Makes the input as long as a brief is.
    #[serde(default)]
    pub padding: String,
}

impl Passed {
    /// Reads what a stage got; anything else has an empty key.
    pub fn read(input: &[u8]) -> Self {
        serde_json::from_slice(input).unwrap_or_default()
    }
}

/// The whole answer that a caller with this key must get.
pub fn expected_text(key: &str, tokens: usize) -> String {
    (0..tokens.max(1)).map(|i| token(key, i)).collect()
}

/// The i-th token of an answer; the same at every engine.
pub fn token(key: &str, i: usize) -> String {
    match i {
        0 => format!("[{key}]"),
        _ => format!(
            " {:04x}",
            xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), i as u64) as u16
        ),
    }
}
