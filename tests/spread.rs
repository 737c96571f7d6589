//! A new configuration is in force everywhere within seconds, and is never reverted.

mod testenv;

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use stackmast::config::Config;
use stackmast_testbed::client::Ask;
use stackmast_testbed::fleet::Fleet;
use stackmast_testbed::platform::Mode;
use stackmast_testbed::proxy::Link;
use test_case::test_case;

/// Calls to the platform after which each process has polled it.
const MANY_CALLS: u64 = 100;

async fn versions(fleet: &Fleet) -> Vec<u64> {
    let mut versions = Vec::new();
    for process in fleet.processes() {
        let status = fleet.status(process).await.unwrap_or_default();
        versions.push(status["config_version"].as_u64().unwrap_or_default());
    }
    versions
}

async fn audit(fleet: &Fleet, gateway: usize) -> Vec<Value> {
    let entries = fleet.admin(&fleet.gateways[gateway], Method::GET, "/v1/audit").await;
    entries.and_then(|e| e.as_array().cloned()).unwrap_or_default()
}

async fn has_audited(fleet: &Fleet, gateway: usize, kind: &str) -> bool {
    audit(fleet, gateway).await.iter().any(|e| e["change"]["type"] == kind)
}

fn lower_priority(config: &mut Config) {
    config.pipelines[0].priority = 1;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_within_seconds() {
    let mut fleet = testenv::fleet(testenv::small()).await;
    let mut longest = Duration::ZERO;
    for _ in 0..3 {
        let version = fleet.publish(lower_priority).expect("published");
        longest = longest.max(fleet.wait_version(version).await.expect("everywhere"));
    }
    println!("in force everywhere after at most {} ms", longest.as_millis());
    assert!(longest < Duration::from_secs(6), "{longest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_spreads_among_peers_when_few_reach_the_platform() {
    let mut fleet = testenv::fleet(testenv::small()).await;
    let version = fleet.publish(lower_priority).expect("published");
    testenv::until("one process has it", || async { versions(&fleet).await.contains(&version) })
        .await;
    fleet.platform_proxy.set(Link::Cut);
    fleet.wait_version(version).await.expect("everywhere");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_platform_is_down() {
    let fleet = testenv::fleet(testenv::small()).await;
    fleet.platform.set_mode(Mode::Down);
    for i in 0..5 {
        let ask = Ask::new("guest-reply", "keepers-0", &format!("k{i}"));
        testenv::assert_whole(&ask, &testenv::ask(&fleet, &ask).await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stale_platform_reverts_nothing_even_in_a_restarted_process() {
    let mut fleet = testenv::fleet(testenv::small()).await;
    let version = fleet.publish(lower_priority).expect("published");
    fleet.wait_version(version).await.expect("everywhere");

    fleet.platform.set_mode(Mode::Stale);
    fleet.gateways[1].kill();
    fleet.gateways[1].restart().expect("it starts");

    let status = |fleet: &Fleet| {
        let client = fleet.client.clone();
        let address = fleet.callers(1);
        async move { client.call(Method::GET, address, "/readyz", "", "").await }
    };
    testenv::until("it is ready", || async { status(&fleet).await.is_ok_and(|r| r.status == 200) })
        .await;
    assert!(versions(&fleet).await.iter().all(|v| *v == version));
    let entries = audit(&fleet, 1).await;
    let accepted = entries.iter().filter(|e| e["change"]["type"] == "config_accepted");
    for entry in accepted {
        assert_eq!(entry["change"]["version"], version, "it served nothing older");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_configuration_leaves_the_old_one_in_force() {
    let mut fleet = testenv::fleet(testenv::small()).await;
    fleet.publish(|config| config.pipelines[0].deadline_ms = 0).expect("published");
    testenv::until("it is audited", || has_audited(&fleet, 0, "config_rejected")).await;
    assert!(versions(&fleet).await.iter().all(|v| *v == 1));

    let next = fleet.publish(|config| config.pipelines[0].deadline_ms = 1_000).expect("published");
    fleet.wait_version(next).await.expect("a good one is taken");
}

/// Guards against a configuration that is rejected for good since a part of it was cut once.
#[test_case("manifest"; "the manifest")]
#[test_case("part/"; "a part")]
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_after_the_platform_cut(document: &'static str) {
    let mut fleet = testenv::fleet(testenv::small()).await;
    fleet.platform.set_mode(Mode::CutUnframed(document));
    let version = fleet.publish(lower_priority).expect("published");
    let before = fleet.platform.calls();
    testenv::until("polls", || async { fleet.platform.calls() > before + MANY_CALLS }).await;

    fleet.platform.set_mode(Mode::Up);

    fleet.wait_version(version).await.expect("in force everywhere");
    for process in fleet.processes() {
        let audit = fleet.admin(process, Method::GET, "/v1/audit?count=100").await.expect("one");
        assert!(!audit.to_string().contains("config_rejected"), "{audit}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_configurations_of_one_version_are_a_conflict() {
    let mut fleet = testenv::fleet(testenv::small()).await;
    let version = fleet.publish(lower_priority).expect("published");
    fleet.wait_version(version).await.expect("everywhere");
    let mut other = fleet.config.clone();
    other.pipelines[0].priority = 7;
    fleet.platform.publish(&other).expect("published");

    testenv::until("it is audited", || has_audited(&fleet, 0, "config_conflict")).await;

    let config = fleet.admin(&fleet.gateways[0], Method::GET, "/v1/config").await.expect("one");
    assert_eq!(config["pipelines"][0]["priority"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn both_sides_of_a_partition_keep_serving() {
    let fleet = testenv::fleet(testenv::small()).await;
    fleet.platform_proxy.set(Link::Cut);
    for name in ["encoder-0", "retriever-0", "reranker-0", "llm-0"] {
        fleet.agent_proxies[name].set(Link::Frozen);
    }
    for i in 0..10 {
        let mut ask = Ask::new("guest-reply", "keepers-0", &format!("k{i}"));
        ask.more = serde_json::json!({ "may_repeat": true });
        testenv::assert_whole(&ask, &testenv::ask(&fleet, &ask).await);
    }
}
