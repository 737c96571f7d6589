//! A request passes all stages, each at its endpoint, and the caller gets the complete answer.

mod testenv;

use hyper::Method;
use serde_json::json;
use stackmast_testbed::client::{Ask, Client};
use stackmast_testbed::runs::expected_text;
use test_case::test_case;

#[tokio::test]
async fn a_request_runs_each_stage_once_and_gets_its_complete_answer() {
    let fleet = testenv::fleet(testenv::small()).await;
    let ask = Ask::new("guest-reply", "keepers-0", "guest");

    let reply = testenv::ask(&fleet, &ask).await;

    testenv::assert_whole(&ask, &reply);
    let stages: Vec<_> = fleet.runs.of_key("guest").into_iter().map(|r| r.stage).collect();
    assert_eq!(stages, ["encode", "retrieve", "rerank", "generate"]);
}

#[tokio::test]
async fn a_streamed_answer_ends_with_its_length_and_digest() {
    let fleet = testenv::fleet(testenv::small()).await;
    let mut ask = Ask::new("guest-reply", "keepers-0", "guest");
    ask.more = json!({ "stream": true });

    let events = testenv::ask(&fleet, &ask).await.events();

    let chunks = events.iter().filter(|(name, _)| name == "chunk");
    let text: String = chunks.filter_map(|(_, data)| data["text"].as_str()).collect();
    assert_eq!(text, expected_text("guest", ask.tokens));
    let (last, data) = events.last().expect("a last event");
    assert_eq!(last, "done");
    assert_eq!(data["length"], text.len());
    let digest = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
    assert_eq!(data["digest"], format!("{digest:016x}"));
}

#[tokio::test]
async fn any_gateway_explains_a_request_in_the_operators_labels() {
    let fleet = testenv::fleet(testenv::small()).await;
    let mut ask = Ask::new("guest-reply", "keepers-0", "guest");
    ask.more = json!({ "labels": { "caller": "guest" } });
    let request = testenv::ask(&fleet, &ask).await.request();

    let path = format!("/v1/requests/{request}/explain");
    let explained = fleet.admin(&fleet.gateways[1], Method::GET, &path).await.expect("known");

    let text = explained.to_string();
    assert!(text.contains("by rule \\\"guests-first\\\""), "{text}");
    assert!(text.contains("service=encoder"), "{text}");
    assert!(text.contains("the whole answer went to the caller"), "{text}");
}

#[test_case("guest-reply", "nobody", json!({}), 403, "unknown_organisation"; "an unknown organisation")]
#[test_case("no-such", "keepers-0", json!({}), 404, "unknown_pipeline"; "an unknown pipeline")]
#[test_case("guest-reply", "keepers-0", json!({"deadline_ms": 1}), 503, "would_be_late"; "a deadline that can not be met")]
#[test_case("guest-reply", "keepers-0", json!({"deadline_ms": 0}), 400, "out_of_range"; "a deadline of nothing")]
#[test_case("guest-reply", "keepers-0", json!({"colour": "red"}), 400, "body_syntax"; "an unknown field")]
#[test_case("guest-reply", "keepers-0", json!({"labels": {"a b": "c"}}), 400, "out_of_range"; "a label that no selector names")]
#[test_case("guest-reply", "keepers-0", json!({"ticket": "x"}), 410, "ticket_void"; "a ticket that is none")]
fn refused_before_anything_ran(
    pipeline: &str,
    organisation: &str,
    more: serde_json::Value,
    status: u16,
    title: &str,
) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let fleet = testenv::fleet(testenv::small()).await;
        let mut ask = Ask::new(pipeline, organisation, "refused");
        ask.more = more;

        let reply = testenv::ask(&fleet, &ask).await;

        assert_eq!(reply.status, status, "{}", reply.text());
        let problem = reply.json();
        assert_eq!(problem["title"], title);
        assert_eq!(problem["type"], format!("urn:stackmast:problem:{title}"));
        assert!(fleet.runs.of_key("refused").is_empty());
    });
}

#[tokio::test]
async fn an_oversized_body_is_refused_and_the_next_request_served() {
    let fleet = testenv::fleet(testenv::small()).await;
    let mut ask = Ask::new("guest-reply", "keepers-0", "large");
    ask.padding = 2 << 20;

    let reply = Client::default().ask(fleet.callers(0), &ask).await;

    if let Ok(reply) = reply {
        assert_eq!(reply.status, 413);
    }
    let small = Ask::new("guest-reply", "keepers-0", "small");
    testenv::assert_whole(&small, &testenv::ask(&fleet, &small).await);
}

#[tokio::test]
async fn admin_requests_without_the_token_are_refused() {
    let fleet = testenv::fleet(testenv::small()).await;
    let admin = fleet.gateways[0].admin;

    let reply = Client::default().call(Method::GET, admin, "/v1/status", "wrong", "").await;

    assert_eq!(reply.expect("an answer").status, 401);
}
