//! Targets of requests: text from outside reaches a server as it is, whatever it holds.

use std::net::SocketAddr;

use percent_encoding::percent_decode_str;
use proptest::prelude::*;
use stackmast::request_target::RequestTarget;
use test_case::test_case;

/// Value of a field as a server reads it that decodes a plus as a blank, and as one that doesn't.
fn values(target: &str, name: &str) -> [String; 2] {
    let query = target.split_once('?').expect("a query").1;
    let pairs = query.split('&').map(|pair| pair.split_once('=').expect("a value"));
    let found: Vec<&str> = pairs.filter(|(n, _)| *n == name).map(|(_, value)| value).collect();
    assert_eq!(found.len(), 1, "{target}");
    [found[0].replace('+', " "), found[0].to_owned()]
        .map(|value| percent_decode_str(&value).decode_utf8().expect("text").into_owned())
}

fn sent(target: &RequestTarget) -> String {
    target.path_and_query().expect("a target").as_str().to_owned()
}

proptest! {
    /// Guards against a text in a query that reaches the server as another one, or ends the query.
    #[test]
    fn field_reaches_each_server_as_it_is(text in any::<String>(), bytes in any::<Vec<u8>>()) {
        for text in [text, String::from_utf8_lossy(&bytes).into_owned()] {
            let target = RequestTarget::new("/range").field("prefix", "a/").field("since", &text);
            let target = sent(&target.field("last", 7));
            prop_assert_eq!(values(&target, "since"), [text.clone(), text]);
            prop_assert_eq!(values(&target, "last"), ["7", "7"]);
        }
    }

    /// Guards against a segment that reaches the server as another one, or as several.
    #[test]
    fn segment_reaches_the_server_as_it_is(text in any::<String>()) {
        let target = sent(&RequestTarget::new("/values").segment(&text).segment("end"));
        let segments: Vec<&str> = target.split('/').collect();
        prop_assert_eq!(segments.len(), 4);
        let decoded = percent_decode_str(segments[2]).decode_utf8().expect("text");
        prop_assert_eq!(decoded.as_ref(), text.as_str());
    }

    /// Guards against a path from outside that makes no request.
    #[test]
    fn path_from_outside_is_a_target(text in any::<String>()) {
        let target = sent(&RequestTarget::from_path(&text));
        prop_assert!(target.starts_with('/'));
        let decoded = percent_decode_str(&target).decode_utf8_lossy().into_owned();
        let expected = percent_decode_str(&text).decode_utf8_lossy().into_owned();
        prop_assert!(decoded.ends_with(&expected));
    }
}

#[test_case("a b", "since=a%20b"; "blank")]
#[test_case("a+b", "since=a%2Bb"; "plus")]
#[test_case("a&b=c", "since=a%26b%3Dc"; "separators")]
#[test_case("a#b%00", "since=a%23b%2500"; "fragment and percent")]
#[test_case("\0\r\n\x7f", "since=%00%0D%0A%7F"; "control characters")]
#[test_case("servers/i-7f3a.91_c2~", "since=servers/i-7f3a.91_c2~"; "usual key")]
fn field_is_encoded(text: &str, expected: &str) {
    assert_eq!(sent(&RequestTarget::new("/r").field("since", text)), format!("/r?{expected}"));
}

#[test_case("..", "/v/%2E%2E"; "parent")]
#[test_case(".", "/v/%2E"; "same folder")]
#[test_case("...", "/v/..."; "three dots")]
#[test_case("a/b?c", "/v/a%2Fb%3Fc"; "separators")]
#[test_case("", "/v/"; "empty")]
fn segment_is_encoded(text: &str, expected: &str) {
    assert_eq!(sent(&RequestTarget::new("/v").segment(text)), expected);
}

#[test_case("/health", "/health"; "usual path")]
#[test_case("health", "/health"; "no slash")]
#[test_case("/he alth#x", "/he%20alth%23x"; "blank and hash")]
#[test_case("/a%20b?c=d&e=%2B", "/a%20b?c=d&e=%2B"; "encoded path with a query")]
#[test_case("/caf\u{e9}", "/caf%C3%A9"; "text that is not ASCII")]
#[test_case("", "/"; "empty")]
fn path_from_outside_is_kept(path: &str, expected: &str) {
    assert_eq!(sent(&RequestTarget::from_path(path)), expected);
}

#[test]
fn address_of_a_target_names_the_server() {
    let server: SocketAddr = "[::1]:80".parse().expect("an address");
    let uri = RequestTarget::new("/v").field("since", "a b").at(server).expect("a URI");
    assert_eq!(uri.to_string(), "http://[::1]:80/v?since=a%20b");
}

#[test]
fn target_that_is_too_long_is_an_error() {
    let target = RequestTarget::new("/v").field("since", "x".repeat(1 << 16));
    assert!(target.path_and_query().is_err());
}
