//! Retry times of requests that are refused because the process stops.

mod directenv;

use std::time::Duration;

use directenv::{address, ms};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stackmast::direct::peers::member::Location;
use stackmast::direct::peers::members::{Member, MemberState, Members};
use stackmast::direct::stop::{MIN_DURATION, Stop, retry_after};
use test_case::test_case;

/// Time of the stop signal in these tests; the process is killed `GRACE` after it.
const SIGNAL: Duration = Duration::from_secs(20);
const GRACE: Duration = Duration::from_secs(8);
/// Time from the end of a process until its successor serves.
const RESTART: Duration = Duration::from_millis(1_200);
/// Shortest retry time.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// State of another gateway, with the time of its last change in milliseconds after the signal.
#[derive(Debug, Clone, Copy)]
enum Other {
    Serving(i64),
    Starting(i64),
    Leaving(i64),
    /// The gateway served and is down.
    Dead(i64),
}

fn at(from_signal: i64) -> Duration {
    ms((SIGNAL.as_millis() as i64 + from_signal) as u64)
}

fn members(others: &[Other]) -> Members {
    let mut members = Members::new(address(1), 1, 1_000, Location::default(), Vec::new());
    for (number, other) in others.iter().enumerate() {
        let (state, since) = match other {
            Other::Serving(since) | Other::Dead(since) => (MemberState::Serving, *since),
            Other::Starting(since) => (MemberState::Starting, *since),
            Other::Leaving(since) => (MemberState::Leaving, *since),
        };
        let address = address(2 + number as u16);
        let member = Member { address, incarnation: 5, heartbeat: 1, state, capacity: 1_000 };
        members.merge(&[member], at(since));
        if matches!(other, Other::Dead(_)) {
            assert!(members.mark_unreachable(address, 5, at(since)));
        }
    }
    members
}

fn retry_time(others: &[Other], now: i64) -> Duration {
    retry_after(&Stop::new(SIGNAL, GRACE), &members(others), at(now))
}

#[test_case(&[], 0, 4_600; "alone: when the process serves again itself")]
#[test_case(&[], 1_000, 3_600; "alone, a second later")]
#[test_case(&[], 6_000, 1_200; "alone, and delayed")]
#[test_case(&[Other::Serving(-5_000)], 1_000, 100; "another one serves")]
#[test_case(&[Other::Serving(700)], 1_000, 700; "another one serves, not yet seen by a balancer")]
#[test_case(&[Other::Starting(500)], 1_000, 1_000; "another one starts")]
#[test_case(&[Other::Leaving(500)], 1_000, 3_600; "another one was signalled later")]
#[test_case(&[Other::Leaving(-1_000)], 1_000, 2_600; "another one was signalled before")]
#[test_case(&[Other::Leaving(-1_000), Other::Leaving(-2_000), Other::Leaving(800)], 1_000, 1_600; "all leave: when the first serves again")]
#[test_case(&[Other::Leaving(-6_000)], 1_000, 1_200; "another one is delayed and may end now")]
#[test_case(&[Other::Dead(500)], 1_000, 700; "another one has just ended")]
#[test_case(&[Other::Leaving(-1_000), Other::Dead(900)], 1_000, 1_100; "one ended and one leaves")]
#[test_case(&[Other::Leaving(-1_000), Other::Serving(-5_000)], 1_000, 100; "one leaves and one serves")]
fn callers_retry_when_a_gateway_is_expected_to_serve(others: &[Other], now: i64, expected: u64) {
    assert_eq!(retry_time(others, now), ms(expected));
}

// A host that failed long before the stop doesn't show that a gateway serves again soon.
#[test_case(10_000; "ten seconds ago")]
#[test_case(50_000; "fifty seconds ago")]
fn a_gateway_that_failed_long_ago_is_not_expected_back_soon(ago: i64) {
    let signal = Duration::from_secs(100);
    let mut members = Members::new(address(1), 1, 1_000, Location::default(), Vec::new());
    let lost = signal - ms(ago as u64);
    let state = MemberState::Serving;
    let member =
        Member { address: address(2), incarnation: 5, heartbeat: 1, state, capacity: 1_000 };
    members.merge(&[member], lost);
    members.mark_unreachable(address(2), 5, lost);
    let after = retry_after(&Stop::new(signal, GRACE), &members, signal + ms(1_000));
    assert!(after >= RESTART, "{after:?}, while no gateway serves for the next {:?}", ms(3_600));
}

fn any_other(rng: &mut StdRng) -> Other {
    let since = rng.random_range(-9_000..8_000);
    match rng.random_range(0..4) {
        0 => Other::Serving(since),
        1 => Other::Starting(since),
        2 => Other::Leaving(since),
        _ => Other::Dead(since),
    }
}

#[test]
fn retry_times_are_bounded_by_the_restart_of_the_process_itself() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..5_000 {
        let others: Vec<Other> = (0..rng.random_range(0..6)).map(|_| any_other(&mut rng)).collect();
        let now = rng.random_range(0..8_000);
        let after = retry_time(&others, now);
        let own = MIN_DURATION.saturating_sub(ms(now as u64)) + RESTART;
        assert!((MIN_RETRY..=own).contains(&after), "{after:?} at {now} with {others:?}");
        assert!(
            retry_time(&[], now) >= after,
            "one more gateway does not make the retry time longer"
        );
    }
}

#[test]
fn when_all_gateways_leave_callers_wait_for_a_restart() {
    let mut rng = StdRng::seed_from_u64(2);
    for _ in 0..2_000 {
        let now = rng.random_range(0..8_000);
        let leaving = |_| Other::Leaving(rng.random_range(-8_000..=now));
        let others: Vec<Other> = (0..4).map(leaving).collect();
        assert!(retry_time(&others, now) >= RESTART, "at {now} with {others:?}");
    }
}
