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
fn unknown_routes_and_spans_have_no_expected_duration() {
    let experience = experience();
    assert_eq!(experience.expected(&"other".into(), Span::Run, 100, Confidence::UpperBound), None);
    assert_eq!(experience.expected(&route(), Span::Total, 100, Confidence::UpperBound), None);
}

#[test_case(100, Confidence::UpperBound, 3_600; "small, the longest plus a fifth")]
#[test_case(1_000, Confidence::UpperBound, 6_000; "large, the longest plus a fifth")]
#[test_case(1_000, Confidence::Typical, 5_000; "large, typical")]
#[test_case(100_000, Confidence::Typical, 5_000; "an unknown size, typical of the whole route")]
#[test_case(2_000, Confidence::UpperBound, 12_000; "larger than any recorded size, in proportion")]
fn expected_durations_depend_on_the_size(size: u64, sure: Confidence, expected: u64) {
    assert_eq!(experience().expected(&route(), Span::Run, size, sure), Some(ms(expected)));
}

#[test_case(100, 1_100; "a known size")]
#[test_case(100_000, 3_050; "an unknown size, of the whole route")]
fn the_mean_includes_all_durations(size: u64, expected: u64) {
    assert_eq!(experience().mean(&route(), Span::Run, size), Some(ms(expected)));
    assert_eq!(experience().mean(&"other".into(), Span::Run, size), None);
}

// Regression test (issue 18): much smaller requests, or a single one, counted as evidence for every
// size.
#[test_case(100_000; "much larger than any recorded size")]
#[test_case(1; "much smaller")]
fn sizes_far_from_all_recorded_ones_have_no_upper_bound(size: u64) {
    assert_eq!(experience().expected(&route(), Span::Run, size, Confidence::UpperBound), None);
}

#[test_case(7, false; "too few")]
#[test_case(8, true; "enough")]
fn an_upper_bound_needs_eight_durations(seen: u64, is_sure: bool) {
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
fn durations_of_one_size_do_not_evict_those_of_another() {
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
fn a_lower_bound_counts_only_above_the_longest_duration() {
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
fn only_the_newest_durations_count_and_removed_routes_are_forgotten() {
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

#[test_case(500, true, false, true, Confidence::UpperBound; "other gateways accept a new one at once")]
#[test_case(500, true, false, false, Confidence::Typical; "no other gateway serves")]
#[test_case(500, true, true, false, Confidence::Typical; "a stream of a caller who could not know of the stop")]
#[test_case(500, false, false, true, Confidence::Typical; "stages partly produced")]
#[test_case(2_600, true, false, false, Confidence::UpperBound; "a caller who could know of the stop")]
#[test_case(2_600, true, true, false, Confidence::Deadline; "a stream of a caller who could know of the stop")]
#[test_case(2_600, false, true, false, Confidence::UpperBound; "late for its run")]
fn later_requests_need_more_confidence(
    age: u64,
    is_new: bool,
    streams: bool,
    others_serve: bool,
    expected: Confidence,
) {
    assert_eq!(required_confidence(ms(age), is_new, streams, others_serve), expected);
}
