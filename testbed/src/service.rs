//! Stand-in for a plain service. It records each run, so that duplicate calls are detected.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use stackmast::agent::endpoint::{ATTEMPT_HEADER, REQUEST_HEADER};
use tokio::sync::Semaphore;

use crate::runs::{Run, Runs, StageData};
use crate::serve::{Answer, Call, Handler, header, unframed, whole};

/// Fault of a stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Runs the call and responds with an error.
    Fails,
    /// Runs the call and never responds.
    Stalls,
    /// Responds with the id of another attempt.
    WrongAttempt,
    /// Responds without a length or chunks, and closes the connection after this percentage of the
    /// result, like a process that crashes there. An engine sends its complete stream.
    Unframed(u32),
    /// Multiplies the duration of calls by this factor.
    Slow(u32),
}

/// Current fault of a running stand-in; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Faults(Arc<Mutex<Fault>>);

impl Faults {
    /// Sets the fault.
    pub fn set(&self, fault: Fault) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Current fault.
    pub fn get(&self) -> Fault {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Factor by which durations are multiplied.
    pub fn slowness(&self) -> u32 {
        match self.get() {
            Fault::Slow(times) => times,
            _ => 1,
        }
    }
}

/// Durations and concurrency of calls.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// Base duration of a call.
    pub base: Duration,
    /// Additional duration per KiB of input.
    pub per_kib: Duration,
    /// Maximum number of concurrent calls; others wait.
    pub concurrency: usize,
}

/// A stand-in for a plain service.
pub struct PlainService {
    name: String,
    times: Times,
    permits: Semaphore,
    runs: Runs,
    /// Injected fault.
    pub faults: Faults,
}

impl PlainService {
    /// Creates a service that records its runs in `runs`.
    pub fn new(name: &str, times: Times, runs: Runs) -> Self {
        let permits = Semaphore::new(times.concurrency);
        Self { name: name.to_owned(), times, permits, runs, faults: Faults::default() }
    }

    async fn run(&self, call: &Call, stage: &str) -> Vec<u8> {
        let mut data = StageData::read(call.body());
        self.runs.add(Run {
            endpoint: self.name.clone(),
            stage: stage.to_owned(),
            request: header(call, REQUEST_HEADER).to_owned(),
            attempt: header(call, ATTEMPT_HEADER).to_owned(),
            key: data.key.clone(),
        });
        let _permit = self.permits.acquire().await;
        let kib = (call.body().len() / 1024) as u32;
        let took = (self.times.base + self.times.per_kib * kib) * self.faults.slowness();
        if !took.is_zero() {
            tokio::time::sleep(took).await;
        }
        if self.faults.get() == Fault::Stalls {
            std::future::pending::<()>().await;
        }
        data.stages.push(stage.to_owned());
        data.padding.clear();
        serde_json::to_vec(&data).unwrap_or_default()
    }
}

fn first_part(mut result: Vec<u8>, percentage: u32) -> Bytes {
    result.truncate(result.len() * percentage as usize / 100);
    Bytes::from(result)
}

impl Handler for PlainService {
    async fn handle(&self, call: Call) -> Answer {
        let path = call.uri().path().to_owned();
        let Some(stage) = path.strip_prefix("/v1/stages/") else {
            return whole(StatusCode::NOT_FOUND, "");
        };
        let result = self.run(&call, stage).await;
        if self.faults.get() == Fault::Fails {
            return whole(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        let mut answer = match self.faults.get() {
            Fault::Unframed(percentage) => unframed(first_part(result, percentage)),
            _ => whole(StatusCode::OK, result),
        };
        let attempt = match self.faults.get() {
            Fault::WrongAttempt => "0000000000000000-0",
            _ => header(&call, ATTEMPT_HEADER),
        };
        if let Ok(attempt) = HeaderValue::from_str(attempt) {
            answer.headers_mut().insert(ATTEMPT_HEADER, attempt);
        }
        answer
    }
}
