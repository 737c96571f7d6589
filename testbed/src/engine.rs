//! Stand-in for a model engine: continuous batching in steps, resumable streams, a prefix cache,
//! fenced orders.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use stackmast::agent::endpoint::{ATTEMPT_HEADER, PRIORITY_HEADER, REQUEST_HEADER};
use stackmast::agent::orders::Order;
use tokio::sync::{mpsc, watch};

use crate::runs::{Run, Runs, StageData, token};
use crate::serve::{Answer, Call, Handler, header, json, streamed, whole, without_framing};
use crate::service::{Fault, Faults};

/// Number of finished streams that are kept for resumption.
const KEPT_STREAMS: usize = 4_096;
/// Number of steps by which the reported load lags.
const LOAD_LAG_STEPS: u64 = 100;
/// One in this many cache events is dropped.
const EVENT_GAP: u64 = 7;
/// Maximum number of buffered pieces of a response.
const BUFFERED_PIECES: usize = 64;

/// Speed and capacity of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Duration of a step; each running stream produces one token per step.
    pub step: Duration,
    /// Maximum number of streams that run concurrently.
    pub batch: usize,
    /// Steps before the first token per KiB of uncached prompt.
    pub prefill_steps_per_kib: usize,
    /// Number of prefixes that the cache holds.
    pub cached_prefixes: usize,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(3),
            batch: 16,
            prefill_steps_per_kib: 1,
            cached_prefixes: 256,
        }
    }
}

#[derive(Debug)]
struct Stream {
    key: String,
    tokens: usize,
    prefill: usize,
    priority: u8,
    text: String,
    ended: bool,
    progress: watch::Sender<usize>,
}

#[derive(Debug, Default)]
struct State {
    streams: HashMap<String, Stream>,
    waiting: Vec<String>,
    running: Vec<String>,
    ended: VecDeque<String>,
    prefixes: VecDeque<u64>,
    events: Vec<(u64, u64)>,
    event_number: u64,
    steps: u64,
    loads: VecDeque<(u64, usize)>,
    order: Option<Order>,
    refused_orders: u64,
}

/// A stand-in for a model engine.
pub struct Engine {
    name: String,
    speed: Speed,
    runs: Runs,
    state: Mutex<State>,
    /// Injected fault.
    pub faults: Faults,
}

impl Engine {
    /// Starts an engine that runs steps until it is dropped.
    pub fn start(name: &str, speed: Speed, runs: Runs) -> Arc<Self> {
        let engine = Arc::new(Self {
            name: name.to_owned(),
            speed,
            runs,
            state: Mutex::default(),
            faults: Faults::default(),
        });
        let weak = Arc::downgrade(&engine);
        tokio::spawn(async move {
            loop {
                let Some(engine) = weak.upgrade() else {
                    return;
                };
                let pause = engine.speed.step * engine.faults.slowness();
                if engine.faults.get() != Fault::Stalls {
                    engine.step();
                }
                drop(engine);
                tokio::time::sleep(pause).await;
            }
        });
        engine
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The order in force and the number of refused orders.
    pub fn order(&self) -> (Option<Order>, u64) {
        let state = self.state();
        (state.order.clone(), state.refused_orders)
    }

    /// Number of running streams.
    pub fn running(&self) -> usize {
        self.state().running.len()
    }

    fn step(&self) {
        let mut state = self.state();
        let state = &mut *state;
        state.steps += 1;
        let load = state.running.len() + state.waiting.len();
        state.loads.push_back((state.steps, load));
        while state.loads.front().is_some_and(|(at, _)| at + LOAD_LAG_STEPS < state.steps) {
            state.loads.pop_front();
        }
        let streams = &state.streams;
        state
            .waiting
            .sort_by_key(|id| std::cmp::Reverse(streams.get(id).map_or(0, |s| s.priority)));
        let free = self.speed.batch.saturating_sub(state.running.len()).min(state.waiting.len());
        state.running.extend(state.waiting.drain(..free));
        let mut still = Vec::with_capacity(state.running.len());
        for id in std::mem::take(&mut state.running) {
            let Some(stream) = state.streams.get_mut(&id) else {
                continue;
            };
            advance(stream);
            if stream.ended {
                state.ended.push_back(id);
            } else {
                still.push(id);
            }
        }
        state.running = still;
        while state.ended.len() > KEPT_STREAMS {
            if let Some(oldest) = state.ended.pop_front() {
                state.streams.remove(&oldest);
            }
        }
    }

    fn begin(&self, attempt: &str, call: &Call) -> bool {
        let data = StageData::read(call.body());
        let mut state = self.state();
        if state.streams.contains_key(attempt) {
            return false;
        }
        self.runs.add(Run {
            endpoint: self.name.clone(),
            stage: "generate".to_owned(),
            request: header(call, REQUEST_HEADER).to_owned(),
            attempt: attempt.to_owned(),
            key: data.key.clone(),
        });
        let prefix = xxhash_rust::xxh3::xxh3_64(&call.body()[..call.body().len().min(256)]);
        let cached = self.touch_prefix(&mut state, prefix);
        let kib = call.body().len() / 1024;
        let stream = Stream {
            key: data.key,
            tokens: data.tokens.max(1),
            prefill: if cached { 0 } else { kib * self.speed.prefill_steps_per_kib },
            priority: header(call, PRIORITY_HEADER).parse().unwrap_or(0),
            text: String::new(),
            ended: false,
            progress: watch::Sender::new(0),
        };
        state.streams.insert(attempt.to_owned(), stream);
        state.waiting.push(attempt.to_owned());
        true
    }

    /// Adds a prefix to the cache, which may evict the oldest one. Returns whether it was cached
    /// before.
    fn touch_prefix(&self, state: &mut State, prefix: u64) -> bool {
        let cached = state.prefixes.contains(&prefix);
        if !cached {
            state.prefixes.push_back(prefix);
            if state.prefixes.len() > self.speed.cached_prefixes {
                state.prefixes.pop_front();
            }
            state.event_number += 1;
            if !state.event_number.is_multiple_of(EVENT_GAP) {
                let number = state.event_number;
                state.events.push((number, prefix));
            }
        }
        cached
    }

    fn follow(self: &Arc<Self>, attempt: &str, offset: usize) -> Option<Answer> {
        let mut progress = self.state().streams.get(attempt)?.progress.subscribe();
        let (sender, receiver) = mpsc::channel(BUFFERED_PIECES);
        let (weak, id) = (Arc::downgrade(self), attempt.to_owned());
        tokio::spawn(async move {
            let mut sent = offset;
            loop {
                progress.borrow_and_update();
                let Some(engine) = weak.upgrade() else {
                    return;
                };
                if engine.faults.get() == Fault::Fails {
                    return;
                }
                let Some((text, ended)) = engine.text_from(&id, sent) else {
                    return;
                };
                drop(engine);
                let mut lines = String::new();
                if !text.is_empty() {
                    let line = serde_json::json!({ "offset": sent, "text": text });
                    lines.push_str(&format!("{line}\n"));
                    sent += text.len();
                }
                if ended {
                    lines.push_str(&format!("{{\"done\":true,\"length\":{sent}}}\n"));
                }
                if !lines.is_empty() && sender.send(Bytes::from(lines)).await.is_err() {
                    return;
                }
                if ended || progress.changed().await.is_err() {
                    return;
                }
            }
        });
        let mut answer = match self.faults.get() {
            Fault::Unframed(_) => without_framing(streamed(receiver)),
            _ => streamed(receiver),
        };
        let named = match self.faults.get() {
            Fault::WrongAttempt => "0000000000000000-0",
            _ => attempt,
        };
        answer.headers_mut().insert(ATTEMPT_HEADER, HeaderValue::from_str(named).ok()?);
        Some(answer)
    }

    fn text_from(&self, attempt: &str, offset: usize) -> Option<(String, bool)> {
        let state = self.state();
        let stream = state.streams.get(attempt)?;
        let text = stream.text.get(offset..).unwrap_or_default().to_owned();
        Some((text, stream.ended))
    }

    fn cancel(&self, attempt: &str) {
        let mut state = self.state();
        if state.streams.get(attempt).is_some_and(|s| !s.ended) {
            state.streams.remove(attempt);
            state.waiting.retain(|id| id != attempt);
            state.running.retain(|id| id != attempt);
        }
    }

    fn take_order(&self, order: Order) -> Answer {
        let mut state = self.state();
        let older = state.order.as_ref().is_some_and(|o| {
            order.version < o.version
                || order.version == o.version
                    && order.incarnation != o.incarnation
                    && order.load != o.load
        });
        if older {
            state.refused_orders += 1;
            return whole(StatusCode::CONFLICT, "an older order");
        }
        state.order = Some(order);
        whole(StatusCode::OK, "")
    }

    fn lagged_load(&self) -> usize {
        self.state().loads.front().map_or(0, |(_, load)| *load)
    }
}

fn advance(stream: &mut Stream) {
    if stream.prefill > 0 {
        stream.prefill -= 1;
        return;
    }
    let produced = *stream.progress.borrow();
    stream.text.push_str(&token(&stream.key, produced));
    stream.ended = produced + 1 >= stream.tokens;
    stream.progress.send_replace(produced + 1);
}

fn offset_of(call: &Call) -> usize {
    let query = call.uri().query().unwrap_or_default();
    query.strip_prefix("offset=").and_then(|o| o.parse().ok()).unwrap_or(0)
}

/// HTTP handler of an engine.
pub struct EngineHandler(pub Arc<Engine>);

impl Handler for EngineHandler {
    async fn handle(&self, call: Call) -> Answer {
        let engine = &self.0;
        let path = call.uri().path().to_owned();
        let not_found = || whole(StatusCode::NOT_FOUND, "");
        if let Some(attempt) = path.strip_prefix("/v1/streams/") {
            match *call.method() {
                Method::POST if !engine.begin(attempt, &call) => {
                    return whole(StatusCode::CONFLICT, "this attempt has begun");
                }
                Method::DELETE => {
                    engine.cancel(attempt);
                    return whole(StatusCode::OK, "");
                }
                _ => {}
            }
            return engine.follow(attempt, offset_of(&call)).unwrap_or_else(not_found);
        }
        match path.as_str() {
            "/v1/load" => json(&engine.lagged_load()),
            "/v1/cache-events" => json(&engine.state().events),
            "/v1/orders" => match serde_json::from_slice(call.body()) {
                Ok(order) => engine.take_order(order),
                Err(_) => whole(StatusCode::BAD_REQUEST, ""),
            },
            _ => not_found(),
        }
    }
}
