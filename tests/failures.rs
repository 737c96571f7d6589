//! The guarantees under failure, with real processes and the fault proxy between them.

mod testenv;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;
use stackmast_testbed::client::{Ask, Client, Reply};
use stackmast_testbed::fleet::Fleet;
use stackmast_testbed::proxy::Link;
use stackmast_testbed::service::Fault;
use test_case::test_case;
use tokio::task::JoinHandle;

/// Length of a request that a failure can hit in the middle: 100 steps of 3 ms.
const LONG: usize = 100;

fn long(key: &str) -> Ask {
    let mut ask = Ask::new("guest-reply", "keepers-0", key);
    ask.tokens = LONG;
    ask
}

fn repeatable(mut ask: Ask) -> Ask {
    ask.more["may_repeat"] = json!(true);
    ask
}

/// Sends a request without waiting for its answer.
fn send(fleet: &Fleet, gateway: usize, ask: &Ask) -> JoinHandle<Reply> {
    let (address, ask) = (fleet.callers(gateway), ask.clone());
    tokio::spawn(async move { Client::default().ask(address, &ask).await.expect("an answer") })
}

/// Waits until a stage of a request runs, and returns the endpoint that runs it.
async fn running(fleet: &Fleet, key: &str, stage: &str) -> String {
    let find = || fleet.runs.of_key(key).into_iter().find(|r| r.stage == stage);
    testenv::until("the stage runs", || async { find().is_some() }).await;
    find().expect("it runs").endpoint
}

fn times(fleet: &Fleet, key: &str, stage: &str) -> usize {
    fleet.runs.of_key(key).iter().filter(|r| r.stage == stage).count()
}

async fn no_violations(fleet: &Fleet) {
    for process in fleet.processes() {
        let count = fleet.metric(process, "stackmast_invariant_violations_total", "").await;
        assert_eq!(count, 0.0, "{}", process.name);
    }
}

#[derive(Clone, Copy)]
enum Break {
    KillAgent,
    FreezeAgent,
    CutAgent,
    FreezeLink,
    OneWay,
    Trickle,
    CutEngine,
    EngineFails,
    EngineStalls,
}

async fn break_it(fleet: &mut Fleet, endpoint: &str, what: Break) {
    match what {
        Break::KillAgent => fleet.agents.get_mut(endpoint).expect("an agent").kill(),
        Break::FreezeAgent => fleet.agents[endpoint].signal(Signal::SIGSTOP),
        Break::CutAgent => cut_shortly(&fleet.agent_proxies[endpoint]).await,
        Break::FreezeLink => fleet.agent_proxies[endpoint].set(Link::Frozen),
        Break::OneWay => fleet.agent_proxies[endpoint].set(Link::OneWay),
        Break::Trickle => fleet.agent_proxies[endpoint].set(Link::Trickling),
        Break::CutEngine => cut_shortly(&fleet.stand_ins[endpoint].proxy).await,
        Break::EngineFails => fleet.stand_ins[endpoint].faults.set(Fault::Fails),
        Break::EngineStalls => fleet.stand_ins[endpoint].faults.set(Fault::Stalls),
    }
}

async fn cut_shortly(proxy: &stackmast_testbed::proxy::Proxy) {
    proxy.set(Link::Cut);
    tokio::time::sleep(Duration::from_millis(30)).await;
    proxy.set(Link::Up);
}

#[test_case(Break::KillAgent; "its agent is killed")]
#[test_case(Break::FreezeAgent; "its agent is frozen")]
#[test_case(Break::CutAgent; "the link to its agent is cut")]
#[test_case(Break::FreezeLink; "the link to its agent is frozen")]
#[test_case(Break::OneWay; "the link from its agent is lost one way")]
#[test_case(Break::Trickle; "the link to its agent trickles")]
#[test_case(Break::CutEngine; "the link to its engine is cut")]
#[test_case(Break::EngineFails; "its engine fails in the middle")]
#[test_case(Break::EngineStalls; "its engine stalls")]
fn a_repeatable_request_gets_its_complete_answer_when(what: Break) {
    run(async move {
        let mut fleet = testenv::fleet(testenv::small()).await;
        let mut ask = repeatable(long("long"));
        ask.more["deadline_ms"] = json!(4_000);
        let reply = send(&fleet, 0, &ask);
        let endpoint = running(&fleet, "long", "generate").await;

        break_it(&mut fleet, &endpoint, what).await;

        testenv::assert_whole(&ask, &reply.await.expect("no panic"));
        fleet.agents[&endpoint].signal(Signal::SIGCONT);
    });
}

#[test_case(Break::CutAgent; "the link to its agent is cut")]
#[test_case(Break::CutEngine; "the link to its engine is cut")]
fn a_stream_is_resumed_and_run_once_when(what: Break) {
    run(async move {
        let mut fleet = testenv::fleet(testenv::small()).await;
        let ask = long("once");
        let reply = send(&fleet, 0, &ask);
        let endpoint = running(&fleet, "once", "generate").await;

        break_it(&mut fleet, &endpoint, what).await;

        testenv::assert_whole(&ask, &reply.await.expect("no panic"));
        assert_eq!(times(&fleet, "once", "generate"), 1);
        no_violations(&fleet).await;
    });
}

#[test]
fn a_stream_is_resumed_through_an_agent_that_restarted() {
    run(async {
        let mut fleet = testenv::fleet(testenv::small()).await;
        let mut ask = long("once");
        ask.more["deadline_ms"] = json!(10_000);
        ask.tokens = 1_000;
        let reply = send(&fleet, 0, &ask);
        let endpoint = running(&fleet, "once", "generate").await;

        let agent = fleet.agents.get_mut(&endpoint).expect("an agent");
        agent.kill();
        agent.restart().expect("it starts");

        testenv::assert_whole(&ask, &reply.await.expect("no panic"));
        assert_eq!(times(&fleet, "once", "generate"), 1);
    });
}

#[test_case(Break::KillAgent; "its agent is killed")]
#[test_case(Break::FreezeAgent; "its agent is frozen")]
#[test_case(Break::FreezeLink; "the link to its agent is frozen")]
#[test_case(Break::EngineFails; "its service fails")]
#[test_case(Break::EngineStalls; "its service stalls")]
fn a_call_that_may_not_be_repeated_runs_at_most_once_when(what: Break) {
    run(async move {
        let mut fleet = testenv::fleet(testenv::small()).await;
        for name in ["notifier-0", "notifier-1"] {
            fleet.stand_ins[name].faults.set(Fault::Slow(100));
        }
        let ask = repeatable(Ask::new("refund-notice", "keepers-0", "notice"));
        let reply = send(&fleet, 0, &ask);
        let endpoint = running(&fleet, "notice", "send").await;

        break_it(&mut fleet, &endpoint, what).await;

        let problem = reply.await.expect("no panic").json();
        assert_eq!(problem["ran"], "unknown", "{problem}");
        assert!(problem["retry_after_ms"].as_u64().is_some());
        fleet.agents[&endpoint].signal(Signal::SIGCONT);
        fleet.agent_proxies[&endpoint].set(Link::Up);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(times(&fleet, "notice", "send"), 1);
    });
}

#[test]
fn a_stopped_gateway_completes_its_requests_and_refuses_new_ones_as_not_run() {
    run(async {
        let mut fleet = testenv::fleet(testenv::small()).await;
        let mut streamed = long("streamed");
        streamed.more = json!({ "stream": true });
        let stream = send(&fleet, 0, &streamed);
        let whole = send(&fleet, 0, &long("whole"));
        running(&fleet, "streamed", "generate").await;
        running(&fleet, "whole", "generate").await;

        fleet.gateways[0].signal(Signal::SIGTERM);
        fleet.gateways[0].signal(Signal::SIGTERM);
        testenv::until("new requests are refused", || {
            let late = send(&fleet, 0, &Ask::new("guest-reply", "keepers-0", "late"));
            async move { late.await.is_ok_and(|r| r.json()["title"] == "draining") }
        })
        .await;

        testenv::assert_whole(&long("whole"), &whole.await.expect("no panic"));
        let events = stream.await.expect("no panic").events();
        assert_eq!(events.last().expect("events").0, "done");
        let gateway = &mut fleet.gateways[0];
        let start = Instant::now();
        while gateway.exit_code().is_none() {
            assert!(start.elapsed() < Duration::from_secs(5), "it ends");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(gateway.exit_code(), Some(0));
    });
}

#[test_case(false; "while all is well")]
#[test_case(true; "while the platform is down")]
fn a_stopped_agent_completes_its_work_and_accepts_no_new_work(platform_down: bool) {
    run(async move {
        let mut fleet = testenv::fleet(testenv::small()).await;
        let ask = long("long");
        let reply = send(&fleet, 0, &ask);
        let endpoint = running(&fleet, "long", "generate").await;
        if platform_down {
            fleet.platform.set_mode(stackmast_testbed::platform::Mode::Down);
        }

        fleet.agents[&endpoint].signal(Signal::SIGTERM);
        for i in 0..10 {
            let next = Ask::new("guest-reply", "keepers-0", &format!("next-{i}"));
            testenv::assert_whole(&next, &testenv::ask(&fleet, &next).await);
        }

        testenv::assert_whole(&ask, &reply.await.expect("no panic"));
        let agent = fleet.agents.get_mut(&endpoint).expect("an agent");
        let start = Instant::now();
        while agent.exit_code().is_none() {
            assert!(start.elapsed() < Duration::from_secs(5), "it ends");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(agent.exit_code(), Some(0));
    });
}

#[derive(Clone, Copy)]
enum LeaveBy {
    HostList,
    Configuration,
    Signal,
}

#[test_case(LeaveBy::HostList; "the host list")]
#[test_case(LeaveBy::Configuration; "the configuration")]
#[test_case(LeaveBy::Signal; "its own signal")]
fn no_new_work_within_seconds_after_leaving_by(source: LeaveBy) {
    run(async move {
        let mut fleet = testenv::fleet(testenv::small()).await;
        for i in 0.. {
            let ask = Ask::new("guest-reply", "keepers-0", &format!("before-{i}"));
            testenv::assert_whole(&ask, &testenv::ask(&fleet, &ask).await);
            if running(&fleet, &ask.key, "generate").await == "llm-0" {
                break;
            }
            assert!(i < 100, "it had work before");
        }
        let ordered = Instant::now();
        match source {
            LeaveBy::HostList => fleet.list_hosts(&["llm-0-host"]),
            LeaveBy::Configuration => {
                let leave = |config: &mut stackmast::config::Config| {
                    let llm = config.endpoints.iter_mut().find(|e| e.name == "llm-0");
                    std::sync::Arc::make_mut(llm.expect("it is there")).leaving = true;
                };
                fleet.publish(leave).expect("published");
            }
            LeaveBy::Signal => fleet.agents["llm-0"].signal(Signal::SIGTERM),
        }

        let mut last = Duration::ZERO;
        for i in 0.. {
            let sent = ordered.elapsed();
            if sent > Duration::from_secs(5) {
                break;
            }
            let ask = Ask::new("guest-reply", "keepers-0", &format!("k{i}"));
            testenv::assert_whole(&ask, &testenv::ask(&fleet, &ask).await);
            if running(&fleet, &ask.key, "generate").await == "llm-0" {
                last = sent;
            }
        }

        println!("last new work {} ms after the order", last.as_millis());
        assert!(last < Duration::from_secs(4), "new work after {last:?}");
    });
}

#[test]
fn two_gateways_that_race_for_a_ticket_run_it_once() {
    run(async {
        let fleet = testenv::fleet(testenv::small()).await;
        for round in 0..5 {
            let key = format!("ticket-{round}");
            let ask = with_ticket(&fleet, &key).await;
            let replies = [send(&fleet, 0, &ask), send(&fleet, 1, &ask), send(&fleet, 0, &ask)];
            let mut whole = 0;
            for reply in replies {
                let reply = reply.await.expect("no panic");
                match reply.status.as_u16() {
                    200 => whole += 1,
                    409 => assert_eq!(reply.json()["ran"], "unknown"),
                    status => panic!("{status}: {}", reply.text()),
                }
            }
            assert!(whole >= 1);
            assert_eq!(times(&fleet, &key, "send"), 1);
            let again = send(&fleet, 1, &ask).await.expect("no panic");
            assert_eq!(again.status, 200, "a repeat gets the answer: {}", again.text());
            assert_eq!(times(&fleet, &key, "send"), 1);
        }
    });
}

#[test]
fn a_repeat_right_after_an_answer_gets_the_same_answer() {
    run(async {
        let fleet = testenv::fleet(testenv::small()).await;
        for round in 0..100 {
            let ask = with_ticket(&fleet, &format!("behind-{round}")).await;
            let first = send(&fleet, 0, &ask).await.expect("no panic");
            assert_eq!(first.status, 200, "{}", first.text());
            let again = send(&fleet, 1, &ask).await.expect("no panic");
            assert_eq!(again.status, 200, "round {round}: {}", again.text());
        }
    });
}

async fn with_ticket(fleet: &Fleet, key: &str) -> Ask {
    let client = Client::default();
    let call = client.call(hyper::Method::POST, fleet.callers(0), "/v1/tickets", "", "").await;
    let issued = call.expect("a ticket").json();
    let mut ask = Ask::new("refund-notice", "keepers-0", key);
    ask.more = json!({ "ticket": issued["ticket"] });
    ask
}

#[test]
fn a_ticket_is_void_after_its_agent_restarted() {
    run(async {
        let mut fleet = testenv::fleet(testenv::small()).await;
        let ask = with_ticket(&fleet, "void").await;
        for agent in fleet.agents.values_mut() {
            agent.kill();
            agent.restart().expect("it starts");
        }
        fleet.wait_version(1).await.expect("they are back");

        let reply = testenv::ask(&fleet, &ask).await;

        assert_eq!(reply.status, 410, "{}", reply.text());
        assert_eq!(reply.json()["ran"], "unknown");
        assert!(fleet.runs.of_key("void").is_empty());
    });
}

#[test]
fn a_forged_ticket_is_refused() {
    run(async {
        let fleet = testenv::fleet(testenv::small()).await;
        let mut ask = with_ticket(&fleet, "forged").await;
        let ticket = ask.more["ticket"].as_str().expect("a text");
        let (payload, _) = ticket.rsplit_once('|').expect("a signature");
        ask.more["ticket"] = json!(format!("{payload}|{}", "00".repeat(32)));

        let reply = testenv::ask(&fleet, &ask).await;

        assert_eq!(reply.status, 410);
        assert!(fleet.runs.of_key("forged").is_empty());
    });
}

#[test]
fn a_gateway_resumed_late_repeats_nothing() {
    run(async {
        let fleet = testenv::fleet(testenv::small()).await;
        for name in ["notifier-0", "notifier-1"] {
            fleet.stand_ins[name].faults.set(Fault::Slow(40));
        }
        let ask = Ask::new("refund-notice", "keepers-0", "notice");
        let reply = send(&fleet, 0, &ask);
        running(&fleet, "notice", "send").await;

        fleet.gateways[0].signal(Signal::SIGSTOP);
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.gateways[0].signal(Signal::SIGCONT);

        reply.await.expect("an answer comes");
        assert_eq!(times(&fleet, "notice", "send"), 1);
        no_violations(&fleet).await;
        let next = Ask::new("guest-reply", "keepers-0", "next");
        testenv::assert_whole(&next, &testenv::ask(&fleet, &next).await);
    });
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}
