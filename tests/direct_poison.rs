//! Requests that end the endpoints which run them.

use stackmast::direct::poison::fingerprint::Fingerprint;
use test_case::test_case;

#[test_case("POST", "/a", b"b" => true; "the same")]
#[test_case("PUT", "/a", b"b" => false; "another method")]
#[test_case("POST", "/a?c=d", b"b" => false; "another query")]
#[test_case("POST", "/ab", b"" => false; "the same bytes, cut elsewhere")]
#[test_case("POST", "/a", b"c" => false; "another body")]
fn a_request_is_told_by_its_content(method: &str, target: &str, body: &[u8]) -> bool {
    Fingerprint::of_content(method, target, body) == Fingerprint::of_content("POST", "/a", b"b")
}

#[test]
fn callers_are_told_apart() {
    let content = Fingerprint::of_content("POST", "/a", b"b");
    let callers = [None, Some("guild"), Some("other")];
    let told: std::collections::BTreeSet<_> = callers.map(|c| content.asked_by(c)).into();
    assert_eq!(told.len(), callers.len());
}
