//! Streams that go on without events.

use stackmast::direct::stream_progress::{MAX_BYTES_WITHOUT_EVENT, StreamProgress};
use test_case::test_case;

/// Adds `part` until it makes up more than the limit several times; returns whether the stream
/// still makes progress.
fn makes_progress(part: &str) -> bool {
    let mut progress = StreamProgress::default();
    for _ in 0..=3 * MAX_BYTES_WITHOUT_EVENT / part.len() {
        progress.add(part.as_bytes());
    }
    !progress.is_missing()
}

/// Guards against streams that are forwarded without end although they have no more events.
#[test_case("\n\n", false; "blank lines")]
#[test_case("\r\n\r\n", false; "blank lines with carriage returns")]
#[test_case(": ping\n\n", false; "comments")]
#[test_case("event: ping\n\n", false; "events without data and id")]
#[test_case("idle: 1\n\n", false; "unknown fields")]
#[test_case("id: 1\n\n", true; "ids")]
#[test_case("id\n\n", true; "empty ids")]
#[test_case("data: a\r\n\r\n", true; "data with carriage returns")]
#[test_case("data: a\n\n: ping\n\n: ping\n\n", true; "comments between events")]
fn stream_makes_progress_by_ids_and_data(part: &str, expected: bool) {
    assert_eq!(makes_progress(part), expected);
}

/// Guards against sound streams that are broken off because of comments in a long pause.
#[test]
fn comments_of_hours_are_no_lack_of_progress() {
    let mut progress = StreamProgress::default();
    progress.add(b"id: 1\ndata: a\n\n");
    for _ in 0..8_000 {
        progress.add(b": ping\n\n");
    }
    assert!(!progress.is_missing());
}
