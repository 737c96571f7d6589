//! What a caller sees of an answer that its gateway breaks off: an HTTP/1.1 answer states its
//! length or comes in chunks, so a part of it is visibly incomplete.

mod testenv;

use std::net::SocketAddr;
use std::time::Duration;

use stackmast_testbed::client::{Ask, Client, ClientError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Tokens of a stream that a failure can hit in the middle: 1,000 steps of 3 ms.
const LONG: usize = 1_000;
/// Events after which a stream is in its middle.
const SOME_EVENTS: usize = 10;
/// End of a chunked body.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";
/// How long an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a request as text and reads until `is_enough` or the end of the connection.
async fn read(stream: &mut TcpStream, is_enough: impl Fn(&str) -> bool) -> String {
    let mut answer = Vec::new();
    let reading = async {
        while !is_enough(&String::from_utf8_lossy(&answer)) {
            // A reset is an end of the connection as well.
            if stream.read_buf(&mut answer).await.unwrap_or(0) == 0 {
                break;
            }
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, reading).await.expect("it ends");
    String::from_utf8_lossy(&answer).into_owned()
}

async fn send(gateway: SocketAddr, tokens: usize, stream: bool) -> TcpStream {
    let input = serde_json::json!({ "key": "k", "tokens": tokens });
    let body = serde_json::json!({
        "organisation": "keepers-0", "input": input, "stream": stream, "deadline_ms": 10_000,
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/pipelines/guest-reply HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut connection = TcpStream::connect(gateway).await.expect("a connection");
    connection.write_all(format!("{head}{body}").as_bytes()).await.expect("sent");
    connection
}

/// Guards against a part of a stream that its caller takes for a complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_has_no_regular_end_when_its_gateway_is_killed() {
    let mut fleet = testenv::fleet(testenv::small()).await;
    let mut connection = send(fleet.callers(0), LONG, true).await;
    let begun = |answer: &str| answer.matches("event: chunk").count() > SOME_EVENTS;
    let first = read(&mut connection, begun).await;
    assert!(first.to_lowercase().contains("transfer-encoding: chunked"), "{first}");

    fleet.gateways[0].kill();

    let answer = first + &read(&mut connection, |_| false).await;
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
    assert!(!answer.contains("event: done"), "{answer}");
}

/// Guards against a client of the tests that takes a part of an answer for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_fails_when_its_gateway_is_killed() {
    let mut fleet = testenv::fleet(testenv::small()).await;
    let mut ask = Ask::new("guest-reply", "keepers-0", "k");
    ask.tokens = LONG;
    ask.more = serde_json::json!({ "stream": true, "deadline_ms": 10_000 });
    let gateway = fleet.callers(0);
    let reply = tokio::spawn(async move { Client::default().ask(gateway, &ask).await });
    testenv::until("it runs", || async {
        fleet.runs.of_key("k").iter().any(|run| run.stage == "generate")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    fleet.gateways[0].kill();

    let reply = reply.await.expect("no panic");
    assert!(matches!(reply, Err(ClientError::Cut { .. })), "{reply:?}");
}

/// Guards against a buffered answer whose end only its connection states.
#[tokio::test(flavor = "multi_thread")]
async fn a_buffered_answer_states_its_length() {
    let fleet = testenv::fleet(testenv::small()).await;
    let mut connection = send(fleet.callers(0), 4, false).await;
    let answer = read(&mut connection, |_| false).await;
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let length = format!("content-length: {}", body.len());
    assert!(head.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(head.to_lowercase().contains(&length), "{answer}");
}
