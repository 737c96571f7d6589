//! Responses that are not well-formed to calls of `stackmastd`: those of endpoints and of the platform.

use std::net::SocketAddr;

use stackmast::agent::endpoint::{EndpointClient, OrderOutcome};
use stackmast::agent::orders::Order;
use stackmast::logging;
use stackmast::platform::Platform;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Fields that make a response with the body `{"revision":1,"hosts":[]}` malformed.
const SPOILT: [&str; 6] = [
    "Transfer-Encoding: gzip",
    "Transfer-Encoding: \"chunked\"",
    "Content-Length: +25",
    "Content-Length: 25\r\nA B: c",
    "Content-Length: 25\r\nContent-Length: 25",
    "Content-Length: 24",
];

/// Answers each request with these fields, and closes the connection.
async fn serve(fields: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = Vec::new();
            while !request.ends_with(b"}") && !request.ends_with(b"\r\n\r\n") {
                if !matches!(stream.read_buf(&mut request).await, Ok(1..)) {
                    break;
                }
            }
            let body = r#"{"revision":1,"hosts":[]}"#;
            let answer = format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n{body}");
            stream.write_all(answer.as_bytes()).await.ok();
        }
    });
    address
}

fn order() -> Order {
    Order { version: 1, incarnation: "1".to_owned(), load: Vec::new() }
}

/// Guards against a spoilt list of hosts that is used.
#[tokio::test]
async fn malformed_list_of_hosts_is_not_used() {
    for fields in SPOILT {
        let platform = Platform::new(serve(fields).await);
        assert!(platform.hosts().await.is_err(), "{fields}");
    }
}

/// Guards against a spoilt response to an order that is taken for its acceptance.
#[tokio::test]
async fn malformed_response_to_an_order_is_no_acceptance() {
    for fields in SPOILT {
        let client = EndpointClient::new(serve(fields).await, logging::silent());
        assert_eq!(client.order(&order()).await, OrderOutcome::Failed, "{fields}");
    }
}

/// Guards against a sound response that is refused.
#[tokio::test]
async fn sound_responses_are_used() {
    let address = serve("Content-Length: 25").await;
    assert_eq!(Platform::new(address).hosts().await.expect("a list").revision, 1);
    let client = EndpointClient::new(address, logging::silent());
    assert_eq!(client.order(&order()).await, OrderOutcome::Accepted);
}
