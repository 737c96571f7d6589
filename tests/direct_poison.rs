//! Requests that crash the endpoints that run them.

mod directenv;

use directenv::{ms, table};
use proptest::prelude::*;
use stackmast::direct::poison::fingerprint::Fingerprint;
use stackmast::direct::poison::successes::Successes;
use stackmast::direct::poison::suspects::{RETENTION, Suspects};
use stackmast::direct::poison::unanswered::{UnansweredCalls, Verdict};
use stackmast::direct::poison::{Run, SubjectKind, Unanswered};
use test_case::test_case;

#[test_case("POST", "/a", b"b" => true; "the same")]
#[test_case("PUT", "/a", b"b" => false; "another method")]
#[test_case("POST", "/a?c=d", b"b" => false; "another query")]
#[test_case("POST", "/ab", b"" => false; "the same bytes, split elsewhere")]
#[test_case("POST", "/a", b"c" => false; "another body")]
fn the_fingerprint_depends_on_the_content(method: &str, target: &str, body: &[u8]) -> bool {
    Fingerprint::of_content(method, target, body) == Fingerprint::of_content("POST", "/a", b"b")
}

#[test]
fn the_fingerprint_depends_on_the_organisation() {
    let content = Fingerprint::of_content("POST", "/a", b"b");
    let callers = [None, Some("guild"), Some("other")];
    let told: std::collections::BTreeSet<_> = callers.map(|c| content.for_organisation(c)).into();
    assert_eq!(told.len(), callers.len());
}

fn content(number: u64) -> Fingerprint {
    Fingerprint::of_content("POST", "/a", &number.to_le_bytes())
}

fn run(number: u64, round: u8, alone: bool) -> Run {
    Run { kind: SubjectKind::Content, fingerprint: content(number), depth: 0, round, alone }
}

fn end(suspects: &mut Suspects, endpoint: &str, runs: &[Run]) -> Vec<Fingerprint> {
    let quarantined = suspects.record_crash(&endpoint.into(), 1, runs, ms(0));
    quarantined.into_iter().map(|c| c.fingerprint).collect()
}

#[test]
fn three_successive_crashes_quarantine_but_three_at_once_do_not() {
    let mut suspects = Suspects::default();
    for endpoint in ["a", "b", "c", "d"] {
        assert_eq!(end(&mut suspects, endpoint, &[run(1, 1, true)]), []);
    }
    assert_eq!(end(&mut suspects, "e", &[run(1, 2, true)]), [content(1)]);
    assert!(suspects.is_poison(content(1)));
    suspects.clear(content(1), ms(0));
    assert!(!suspects.is_poison(content(1)), "what runs well is none");
}

#[test]
fn requests_sharing_calls_with_the_poison_are_isolated_and_not_refused() {
    let mut suspects = Suspects::default();
    let shared = |round| [run(1, round, false), run(2, round, false)];
    end(&mut suspects, "a", &shared(1));
    assert!(!suspects.is_isolated(content(2)));
    end(&mut suspects, "b", &shared(2));
    assert!(suspects.is_isolated(content(1)) && suspects.is_isolated(content(2)));
    assert_eq!(end(&mut suspects, "c", &shared(3)), [], "two calls may be out at once");
    assert_eq!(end(&mut suspects, "d", &[run(1, 3, true)]), [content(1)]);
    assert!(!suspects.is_poison(content(2)));
}

#[test]
fn one_more_crash_separates_the_poison_from_its_companion() {
    let mut suspects = Suspects::default();
    let both = |round| [run(1, round, true), run(2, round, true)];
    end(&mut suspects, "a", &both(1));
    end(&mut suspects, "b", &both(2));
    assert_eq!(end(&mut suspects, "c", &both(3)), [], "it may be either");
    assert_eq!(end(&mut suspects, "d", &[run(1, 4, true)]), [content(1)]);
    assert!(!suspects.is_poison(content(2)));
    let quarantined = suspects.clear(content(1), ms(0));
    assert_eq!(
        quarantined.first().map(|c| c.fingerprint),
        Some(content(2)),
        "then it was the other"
    );
}

#[test]
fn suspects_are_bounded_and_expire() {
    let mut suspects = Suspects::default();
    for endpoint in ["a", "b", "c"] {
        let round = 1 + suspects.rounds(content(0));
        end(&mut suspects, endpoint, &[run(0, round, true)]);
    }
    for number in 1..5_000 {
        end(&mut suspects, &format!("endpoint-{number}"), &[run(number, 1, true)]);
    }
    assert!(suspects.len() <= 512, "{}", suspects.len());
    assert!(suspects.is_poison(content(0)), "the one with most crashes stays");
    assert!(suspects.take_changes(SubjectKind::Content, ms(0)).len() <= 16);
    assert!(!suspects.has_expired(RETENTION - ms(1)) && suspects.has_expired(RETENTION));
    suspects.expire(RETENTION);
    assert!(suspects.is_empty() && !suspects.has_poison());
}

#[test]
fn suspects_are_sent_with_four_heartbeats_and_then_only_compared() {
    let mut suspects = Suspects::default();
    end(&mut suspects, "a", &[run(1, 1, true)]);
    end(&mut suspects, "b", &[run(1, 2, true)]);
    let told =
        (0..10).filter(|_| !suspects.take_changes(SubjectKind::Content, ms(0)).is_empty()).count();
    assert_eq!(told, 4);
    let mut late = Suspects::default();
    assert_ne!(late.digest(SubjectKind::Content), suspects.digest(SubjectKind::Content));
    late.merge(SubjectKind::Content, &suspects.announcements(SubjectKind::Content, ms(0)), ms(50));
    assert_eq!(late.digest(SubjectKind::Content), suspects.digest(SubjectKind::Content));
    assert!(late.has_changes(), "received suspects are passed on");
    late.merge(SubjectKind::Content, &suspects.announcements(SubjectKind::Content, ms(0)), ms(60));
    for _ in 0..4 {
        late.take_changes(SubjectKind::Content, ms(0));
    }
    late.merge(SubjectKind::Content, &suspects.announcements(SubjectKind::Content, ms(0)), ms(70));
    assert!(!late.has_changes(), "what is known is no news");
}

#[test]
fn expired_suspects_are_not_learnt_again() {
    let mut suspects = Suspects::default();
    end(&mut suspects, "a", &[run(1, 1, true)]);
    end(&mut suspects, "b", &[run(1, 2, true)]);
    let told = suspects.announcements(SubjectKind::Content, RETENTION);
    let mut other = Suspects::default();
    other.merge(SubjectKind::Content, &told, ms(0));
    assert!(other.is_empty(), "or two gateways would keep it alive for ever");
}

#[test]
fn successes_count_for_a_minute_and_are_bounded() {
    let mut successes = Successes::default();
    successes.record(content(1), ms(0));
    assert!(
        successes.contains(content(1), ms(59_999)) && !successes.contains(content(1), ms(60_000))
    );
    successes.record(content(1), ms(30_000));
    for number in 2..6_000 {
        successes.record(content(number), ms(40_000));
    }
    assert!(!successes.contains(content(1), ms(40_000)), "the oldest give way");
    assert!(successes.contains(content(5_999), ms(40_000)));
}

fn crashes() -> impl Strategy<Value = Vec<(u64, u8, u8, bool, bool)>> {
    let crash = (0..4u64, 0..6u8, 1..5u8, any::<bool>(), proptest::bool::weighted(0.1));
    proptest::collection::vec(crash, 0..30)
}

proptest! {
    #[test]
    fn gateways_that_exchange_suspects_agree(first in crashes(), second in crashes()) {
        let know = |crashes: &[(u64, u8, u8, bool, bool)]| {
            let mut suspects = Suspects::default();
            for (number, endpoint, round, alone, is_cleared) in crashes {
                end(&mut suspects, &endpoint.to_string(), &[run(*number, *round, *alone)]);
                if *is_cleared {
                    suspects.clear(content(*number), ms(0));
                }
            }
            suspects
        };
        let (mut one, mut other) = (know(&first), know(&second));
        let (told_one, told_other) = (one.take_changes(SubjectKind::Content, ms(0)), other.take_changes(SubjectKind::Content, ms(0)));
        one.merge(SubjectKind::Content, &told_other, ms(0));
        other.merge(SubjectKind::Content, &told_one, ms(0));
        prop_assert_eq!(one.digest(SubjectKind::Content), other.digest(SubjectKind::Content));
        for number in 0..4 {
            prop_assert_eq!(one.is_poison(content(number)), other.is_poison(content(number)));
        }
        let before = one.digest(SubjectKind::Content);
        one.merge(SubjectKind::Content, &told_other, ms(0));
        prop_assert_eq!(one.digest(SubjectKind::Content), before, "merging twice changes nothing");
    }
}

/// Verdicts on calls of one endpoint that break one after the other, with the result of a probe
/// before each but the first.
#[test]
fn an_endpoint_is_probed_again_with_the_next_broken_call() {
    let table = table(Vec::new());
    let endpoint = table.endpoint("engine-1").expect("an endpoint").clone();
    let mut broken = UnansweredCalls::default();
    let runs = [run(1, 1, true)];
    let mut breaks = |now| broken.record(&endpoint, &runs, Unanswered::Broken, &table, ms(now));
    assert!(matches!(breaks(0), Verdict::Probe(_)));
    assert!(matches!(breaks(1), Verdict::Wait), "one probe at a time");
    let mut probed =
        |is_closed, now| broken.probed(&endpoint.id, endpoint.incarnation, is_closed, ms(now));
    assert!(
        matches!(probed(false, 2), Verdict::Probe(_)),
        "the second call broke after it went out"
    );
    assert!(matches!(probed(false, 4), Verdict::Wait));
    let verdict = broken.record(&endpoint, &runs, Unanswered::Broken, &table, ms(500));
    assert!(matches!(verdict, Verdict::Probe(_)));
    let Verdict::Crashed(ended) = broken.probed(&endpoint.id, endpoint.incarnation, true, ms(502))
    else {
        panic!("a closed port is proof");
    };
    assert_eq!(ended.runs.len(), 3);
}

#[test]
fn known_announcements_are_not_new() {
    let mut suspects = Suspects::default();
    end(&mut suspects, "a", &[run(1, 1, true)]);
    end(&mut suspects, "b", &[run(1, 2, true)]);
    let told = suspects.announcements(SubjectKind::Content, ms(0));
    let is_news = |suspects: &Suspects| suspects.is_new(&told[0].suspect, ms(0));
    assert!(!is_news(&suspects) && is_news(&Suspects::default()));
    let mut less = Suspects::default();
    end(&mut less, "b", &[run(1, 1, true)]);
    assert!(is_news(&less));
    less.merge(SubjectKind::Content, &told, ms(0));
    assert!(!is_news(&less));
    less.clear(content(1), ms(0));
    assert!(!is_news(&less), "what was cleared since is older");
}
