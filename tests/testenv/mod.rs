//! Runs the real daemon with fake endpoints, for integration tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::future::Future;
use std::time::{Duration, Instant};

use stackmast_testbed::client::{Ask, Client, Reply};
use stackmast_testbed::deployment::{Deployment, SERVICE_TIMES, Sizes, campsites};
use stackmast_testbed::engine::Speed;
use stackmast_testbed::fleet::{Fleet, Program};
use stackmast_testbed::runs::expected_text;

/// How long a condition may take to become true.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The daemon built together with these tests.
pub fn daemon() -> Program {
    Program { path: env!("CARGO_BIN_EXE_stackmastd").into(), before: Vec::new() }
}

/// A small deployment of the campsites example.
pub fn small() -> Deployment {
    let sizes = Sizes { service: 2, model: 2, data_centres: 1 };
    campsites(sizes, SERVICE_TIMES, Speed::default())
}

/// Starts a deployment with two gateways.
pub async fn fleet(deployment: Deployment) -> Fleet {
    Fleet::start(&daemon(), deployment, 2).await.expect("the fleet starts")
}

/// Waits until a condition holds; fails with `what` when it does not hold in time.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < WAIT_LIMIT, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a request to the first gateway.
pub async fn ask(fleet: &Fleet, ask: &Ask) -> Reply {
    Client::default().ask(fleet.callers(0), ask).await.expect("an answer")
}

/// Fails unless the reply is the complete answer to this request.
pub fn assert_whole(ask: &Ask, reply: &Reply) {
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.text(), expected_text(&ask.key, ask.tokens));
}
