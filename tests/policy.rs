//! Parts of scheduling decisions: limits, budgets, estimates, the agent's queue.

use std::time::Duration;

use stackmast::agent::queue::{Queue, QueueEntry};
use stackmast::config::Limit;
use stackmast::message::{AttemptId, Incarnation};
use stackmast::policy::budget::RetryBudget;
use stackmast::policy::limit::Limiter;
use stackmast::policy::predict::{Estimate, SizeClass};
use stackmast_testbed::deployment::selector;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(per_second: f64, burst: f64) -> Limit {
    let (organisations, requests) = (selector(""), selector(""));
    Limit { name: "l".to_owned(), organisations, requests, per_second, burst }
}

#[test]
fn a_limit_allows_its_burst_and_then_its_rate() {
    let (limit, mut limiter) = (limit(10.0, 3.0), Limiter::default());
    let mut pass = |at| limiter.take(&limit, "o", 1, ms(at)).is_ok();
    assert!(pass(0) && pass(0) && pass(0) && !pass(0));
    assert!(!pass(99) && pass(101) && !pass(102));
}

#[test]
fn an_exhausted_limit_has_a_retry_time() {
    let (limit, mut limiter) = (limit(10.0, 1.0), Limiter::default());
    limiter.take(&limit, "o", 1, ms(0)).expect("the first passes");
    let empty = limiter.take(&limit, "o", 1, ms(40)).expect_err("the second does not");
    assert_eq!(empty.retry_after, ms(60));
}

#[test]
fn gateways_share_a_limit_and_organisations_do_not() {
    let (limit, mut limiter) = (limit(10.0, 10.0), Limiter::default());
    let passed = (0..20).filter(|_| limiter.take(&limit, "a", 5, ms(0)).is_ok()).count();
    assert_eq!(passed, 2);
    assert!(limiter.take(&limit, "b", 5, ms(0)).is_ok());
}

#[test]
fn retries_are_a_fraction_of_first_attempts() {
    let mut budget = RetryBudget::default();
    while budget.spend() {}
    for _ in 0..100 {
        budget.earn(0.1);
    }
    let retries = (0..100).filter(|_| budget.spend()).count();
    assert!((9..=10).contains(&retries), "{retries}");
}

#[test]
fn an_estimate_follows_changes_and_its_high_value_is_above_the_typical() {
    let mut estimate = Estimate::default();
    for _ in 0..200 {
        estimate.add(ms(10));
    }
    assert!(estimate.typical().abs_diff(ms(10)) < ms(1));
    for i in 0..200 {
        estimate.add(ms(if i % 10 == 0 { 300 } else { 100 }));
    }
    assert!(estimate.typical() > ms(90) && estimate.typical() < ms(160));
    assert!(estimate.high() >= estimate.typical());
}

#[test]
fn similar_sizes_share_a_class() {
    assert_eq!(SizeClass::of(0), SizeClass::of(1_023));
    assert_eq!(SizeClass::of(65 << 10), SizeClass::of(100 << 10));
    assert_ne!(SizeClass::of(1 << 10), SizeClass::of(64 << 10));
}

fn ticket(sequence: u64, priority: u8, organisation: &str, deadline: u64) -> QueueEntry {
    let attempt = AttemptId { gateway: Incarnation(1), sequence };
    let organisation = organisation.to_owned();
    QueueEntry { attempt, priority, organisation, deadline: ms(deadline) }
}

fn order(queue: &mut Queue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop()).map(|t| t.attempt.sequence).collect()
}

#[test]
fn a_higher_priority_goes_first_and_then_the_least_slack() {
    let mut queue = Queue::default();
    for t in [ticket(1, 0, "o", 10), ticket(2, 5, "o", 90), ticket(3, 5, "o", 20)] {
        queue.push(t);
    }
    assert_eq!(order(&mut queue), [3, 2, 1]);
}

#[test]
fn a_large_organisation_does_not_starve_a_small_one() {
    let mut queue = Queue::default();
    for i in 0..100 {
        queue.push(ticket(i, 0, "large", 10));
    }
    for i in 100..105 {
        queue.push(ticket(i, 0, "small", 1_000));
    }
    let first: Vec<_> = order(&mut queue).into_iter().take(20).collect();
    let small = first.iter().filter(|i| **i >= 100).count();
    assert_eq!(small, 5, "{first:?}");
}

#[test]
fn a_removed_ticket_is_not_served() {
    let mut queue = Queue::default();
    queue.push(ticket(1, 0, "o", 10));
    queue.push(ticket(2, 0, "o", 20));
    assert!(queue.remove(ticket(1, 0, "o", 10).attempt));
    assert_eq!(queue.pop_expired(ms(15)), None);
    assert_eq!(queue.pop_expired(ms(20)), Some(ticket(2, 0, "o", 20).attempt));
    assert!(queue.is_empty());
}
