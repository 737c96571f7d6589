//! Durations of past requests, and the durations expected for new ones.

use std::time::Duration;

use stackmast::direct::published::model::Name;
use stackmast::direct::requests::durations::{
    Confidence, DurationHistory, Span, required_confidence,
};
use test_case::test_case;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn route() -> Name {
    "r".into()
}

/// Twenty requests of size 100 that took 1 s, except one of 3 s, and twenty of size 1,000 that took
/// 5 s.
fn experience() -> DurationHistory {
    let mut experience = DurationHistory::default();
    for number in 0..20 {
        let small = if number == 3 { ms(3_000) } else { ms(1_000) };
        experience.record(&route(), Span::Run, 100, small);
        experience.record(&route(), Span::Run, 1_000, ms(5_000));
    }
    experience
}

#[test]
fn nothing_is_expected_without_experience() {
    let experience = experience();
    assert_eq!(experience.expected(&"other".into(), Span::Run, 100, Confidence::UpperBound), None);
    assert_eq!(experience.expected(&route(), Span::Total, 100, Confidence::UpperBound), None);
}

#[test_case(100, Confidence::UpperBound, 3_600; "small, the worst and a fifth")]
#[test_case(1_000, Confidence::UpperBound, 6_000; "large, the worst and a fifth")]
#[test_case(1_000, Confidence::Typical, 5_000; "large, as usual")]
#[test_case(100_000, Confidence::Typical, 5_000; "a size that was never seen, as the whole route")]
#[test_case(2_000, Confidence::UpperBound, 12_000; "larger than any that was seen, in proportion")]
fn sizes_are_told_apart(size: u64, sure: Confidence, expected: u64) {
    assert_eq!(experience().expected(&route(), Span::Run, size, sure), Some(ms(expected)));
}

// Regression test (issue 18): much smaller requests, or a single one, counted as evidence for every
// size.
#[test_case(100_000; "much larger than any that was seen")]
#[test_case(1; "much smaller")]
fn nothing_is_sure_of_a_size_that_was_not_seen(size: u64) {
    assert_eq!(experience().expected(&route(), Span::Run, size, Confidence::UpperBound), None);
}

#[test_case(7, false; "too few")]
#[test_case(8, true; "enough")]
fn a_few_are_needed_to_be_sure(seen: u64, is_sure: bool) {
    let mut experience = DurationHistory::default();
    for _ in 0..seen {
        experience.record(&route(), Span::Run, 100, ms(60));
    }
    assert_eq!(
        experience.expected(&route(), Span::Run, 100, Confidence::UpperBound).is_some(),
        is_sure
    );
}

#[test]
fn many_of_another_size_push_nothing_out() {
    let mut experience = experience();
    for _ in 0..200 {
        experience.record(&route(), Span::Run, 10, ms(5));
    }
    assert_eq!(
        experience.expected(&route(), Span::Run, 1_000, Confidence::UpperBound),
        Some(ms(6_000))
    );
}

#[test]
fn what_did_not_end_counts_only_beyond_the_worst() {
    let mut experience = experience();
    experience.record_lower_bound(&route(), Span::Run, 100, ms(2_000));
    assert_eq!(
        experience.expected(&route(), Span::Run, 100, Confidence::UpperBound),
        Some(ms(3_600))
    );
    experience.record_lower_bound(&route(), Span::Run, 100, ms(10_000));
    assert_eq!(
        experience.expected(&route(), Span::Run, 100, Confidence::UpperBound),
        Some(ms(12_000))
    );
}

#[test]
fn the_newest_count_and_routes_that_are_gone_are_forgotten() {
    let mut experience = experience();
    for _ in 0..200 {
        experience.record(&route(), Span::Run, 100, ms(500));
    }
    assert_eq!(
        experience.expected(&route(), Span::Run, 100, Confidence::UpperBound),
        Some(ms(600))
    );
    experience.retain([&"other".into()].into_iter());
    assert_eq!(experience.expected(&route(), Span::Run, 100, Confidence::UpperBound), None);
}

#[test_case(500, true, false, true, Confidence::UpperBound; "others take a new one at once")]
#[test_case(500, true, false, false, Confidence::Typical; "nobody else serves")]
#[test_case(500, true, true, false, Confidence::Typical; "a stream of a caller who could not know")]
#[test_case(500, false, false, true, Confidence::Typical; "half made already")]
#[test_case(2_600, true, false, false, Confidence::UpperBound; "callers who could know")]
#[test_case(2_600, true, true, false, Confidence::Deadline; "a stream of a caller who could know")]
#[test_case(2_600, false, true, false, Confidence::UpperBound; "late for its run")]
fn the_later_the_surer(
    age: u64,
    is_new: bool,
    streams: bool,
    others_serve: bool,
    expected: Confidence,
) {
    assert_eq!(required_confidence(ms(age), is_new, streams, others_serve), expected);
}
