//! Answers that have neither a length nor chunks and end with their connection, which a crash ends
//! as well: a part of such an answer must not be taken for the whole.

mod testenv;

use hyper::Method;
use serde_json::json;
use stackmast_testbed::client::{Ask, Client, ClientError};
use stackmast_testbed::fleet::Fleet;
use stackmast_testbed::proxy::Link;
use stackmast_testbed::service::Fault;
use test_case::test_case;

/// Tokens of a stream that a failure can hit in the middle: 100 steps of 3 ms.
const LONG: usize = 100;
/// Requests after which each of two endpoints has been called.
const MANY: usize = 20;

fn times(fleet: &Fleet, key: &str, stage: &str) -> usize {
    fleet.runs.of_key(key).iter().filter(|r| r.stage == stage).count()
}

/// Guards against a part of a result that is delivered to the caller as the complete answer.
#[test_case(0; "nothing of it")]
#[test_case(50; "half of it")]
#[test_case(100; "all of it")]
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_result_is_an_unknown_outcome_after(percentage: u32) {
    let fleet = testenv::fleet(testenv::small()).await;
    for name in ["notifier-0", "notifier-1"] {
        fleet.stand_ins[name].faults.set(Fault::Unframed(percentage));
    }

    let reply = testenv::ask(&fleet, &Ask::new("refund-notice", "keepers-0", "notice")).await;

    assert_eq!(reply.status, 502, "{}", reply.text());
    assert_eq!(reply.json()["ran"], "unknown", "{}", reply.text());
    let path = format!("/v1/requests/{}/explain", reply.request());
    let explanation = fleet.admin(&fleet.gateways[0], Method::GET, &path).await.expect("one");
    assert!(explanation.to_string().contains("endpoint_misbehaved"), "{explanation}");
    assert_eq!(times(&fleet, "notice", "send"), 1);
    let logs: String = fleet.agents.values().map(|agent| agent.log()).collect();
    assert!(logs.contains("answer without a length or chunks"), "{logs}");
}

/// Guards against a part of a result that the next stage gets as its input.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_result_is_not_the_input_of_the_next_stage() {
    let fleet = testenv::fleet(testenv::small()).await;
    fleet.stand_ins["encoder-0"].faults.set(Fault::Unframed(50));

    for i in 0..MANY {
        let mut ask = Ask::new("guest-reply", "keepers-0", &format!("k{i}"));
        ask.more = json!({ "may_repeat": true });
        testenv::assert_whole(&ask, &testenv::ask(&fleet, &ask).await);
    }

    let cut = fleet.runs.of_key("");
    assert!(cut.is_empty(), "stages that ran on a cut input: {cut:?}");
}

/// Guards against a client of the tests that takes a part of an answer for the whole.
#[test_case(0; "nothing of it")]
#[test_case(50; "half of it")]
#[tokio::test(flavor = "multi_thread")]
async fn a_client_refuses_an_unframed_answer_after(percentage: u32) {
    let fleet = testenv::fleet(testenv::small()).await;
    let stand_in = &fleet.stand_ins["notifier-0"];
    stand_in.faults.set(Fault::Unframed(percentage));

    let client = Client::default();
    let reply = client.call(Method::POST, stand_in.address, "/v1/stages/send", "", "{}").await;

    assert!(matches!(reply, Err(ClientError::Unframed)), "{reply:?}");
}

/// Guards against a stream of an engine that ends as complete with its connection.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_of_an_engine_is_resumed_when_it_is_cut() {
    let fleet = testenv::fleet(testenv::small()).await;
    for name in ["llm-0", "llm-1"] {
        fleet.stand_ins[name].faults.set(Fault::Unframed(100));
    }
    let mut ask = Ask::new("guest-reply", "keepers-0", "long");
    ask.tokens = LONG;
    let (gateway, sent) = (fleet.callers(0), ask.clone());
    let reply = tokio::spawn(async move { Client::default().ask(gateway, &sent).await });
    testenv::until("it runs", || async { times(&fleet, "long", "generate") == 1 }).await;

    for name in ["llm-0", "llm-1"] {
        fleet.stand_ins[name].proxy.set(Link::Cut);
        tokio::time::sleep(std::time::Duration::from_millis(30)).await;
        fleet.stand_ins[name].proxy.set(Link::Up);
    }

    testenv::assert_whole(&ask, &reply.await.expect("no panic").expect("an answer"));
    assert_eq!(times(&fleet, "long", "generate"), 1);
}
