//! A plain service: one call, one answer; it records each run, so that doubled calls show.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderValue;
use stackmast::agent::endpoint::{ATTEMPT_HEADER, REQUEST_HEADER};
use tokio::sync::Semaphore;

use crate::runs::{Passed, Run, Runs};
use crate::serve::{Answer, Call, Handler, header, whole};

/// How a stand-in misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Not at all.
    #[default]
    None,
    /// It runs the call and answers with an error.
    Fails,
    /// It runs the call and never answers.
    Stalls,
    /// It answers in another attempt's name.
    WrongAttempt,
    /// It takes this many times as long.
    Slow(u32),
}

/// What can be changed while a stand-in runs; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Faults(Arc<Mutex<Fault>>);

impl Faults {
    /// From here on, this.
    pub fn set(&self, fault: Fault) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// What holds now.
    pub fn get(&self) -> Fault {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many times as long things take.
    pub fn slowness(&self) -> u32 {
        match self.get() {
            Fault::Slow(times) => times,
            _ => 1,
        }
    }
}

/// How long calls take.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// Every call.
    pub base: Duration,
    /// In addition for each KiB of input.
    pub per_kib: Duration,
    /// Calls at once; others wait.
    pub concurrency: usize,
}

/// A stand-in for a plain service.
pub struct PlainService {
    name: String,
    times: Times,
    permits: Semaphore,
    runs: Runs,
    /// How it misbehaves.
    pub faults: Faults,
}

impl PlainService {
    /// A service that records its runs in `runs`.
    pub fn new(name: &str, times: Times, runs: Runs) -> Self {
        let permits = Semaphore::new(times.concurrency);
        Self { name: name.to_owned(), times, permits, runs, faults: Faults::default() }
    }

    async fn run(&self, call: &Call, stage: &str) -> Vec<u8> {
        let mut passed = Passed::read(call.body());
        self.runs.add(Run {
            endpoint: self.name.clone(),
            stage: stage.to_owned(),
            request: header(call, REQUEST_HEADER).to_owned(),
            attempt: header(call, ATTEMPT_HEADER).to_owned(),
            key: passed.key.clone(),
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
        passed.stages.push(stage.to_owned());
        passed.padding.clear();
        serde_json::to_vec(&passed).unwrap_or_default()
    }
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
        let mut answer = whole(StatusCode::OK, result);
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
