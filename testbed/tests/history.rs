//! The checker reports violated guarantees, and only those.

use stackmast_testbed::history::{Breach, ReportedRun, Request, Seen, check};
use stackmast_testbed::runs::Run;
use test_case::test_case;

fn request(seen: Seen) -> Request {
    Request {
        key: "k".to_owned(),
        may_repeat: false,
        stages: vec![("a".to_owned(), true), ("b".to_owned(), true)],
        expected: "answer".to_owned(),
        seen: vec![seen],
    }
}

fn runs(stages: &[&str]) -> Vec<Run> {
    let run = |stage: &&str| Run {
        endpoint: "e".to_owned(),
        stage: (*stage).to_owned(),
        request: "r".to_owned(),
        attempt: "1".to_owned(),
        key: "k".to_owned(),
    };
    stages.iter().map(run).collect()
}

fn refused(ran: ReportedRun, stages: &[&str]) -> Seen {
    Seen::Refused { ran, stages_run: stages.iter().map(|s| (*s).to_owned()).collect() }
}

#[test_case(Seen::Whole("answer".to_owned()), &["a", "b"]; "a complete response")]
#[test_case(refused(ReportedRun::NotRun, &[]), &[]; "correctly reported as not run")]
#[test_case(refused(ReportedRun::InPart, &["a"]), &["a"]; "correctly reported as run in part")]
#[test_case(refused(ReportedRun::Unknown, &[]), &["a", "b"]; "unknown, and it ran")]
#[test_case(refused(ReportedRun::Unknown, &[]), &[]; "unknown, and it did not run")]
#[test_case(Seen::Nothing, &["a"]; "no response observed")]
fn good(seen: Seen, ran: &[&str]) {
    assert_eq!(check(&[request(seen)], &runs(ran)), []);
}

#[test_case(Seen::Whole("other".to_owned()), &["a", "b"] => matches Breach::WrongAnswer { .. }; "a response to another request")]
#[test_case(Seen::Whole("answ".to_owned()), &["a", "b"] => matches Breach::WrongAnswer { .. }; "a truncated response")]
#[test_case(Seen::Whole("answer".to_owned()), &["b"] => matches Breach::NeverRan { .. }; "a stage that never ran")]
#[test_case(refused(ReportedRun::NotRun, &[]), &["a"] => matches Breach::FalseNotRun { .. }; "falsely reported as not run")]
#[test_case(refused(ReportedRun::InPart, &["a"]), &["a", "b"] => matches Breach::FalseInPart { .. }; "more ran than was reported")]
#[test_case(refused(ReportedRun::InPart, &["a"]), &[] => matches Breach::FalseInPart { .. }; "less ran than was reported")]
#[test_case(Seen::Nothing, &["a", "a"] => matches Breach::RanTwice { .. }; "a duplicate run")]
fn bad(seen: Seen, ran: &[&str]) -> Breach {
    let breaches = check(&[request(seen)], &runs(ran));
    assert_eq!(breaches.len(), 1, "{breaches:?}");
    breaches[0].clone()
}

#[test]
fn run_without_a_sent_request_is_reported() {
    let breaches = check(&[], &runs(&["a"]));
    assert_eq!(breaches, [Breach::Stranger { key: "k".to_owned() }]);
}

#[test]
fn repeat_is_valid_if_request_and_stage_allow_it() {
    let mut request = request(Seen::Whole("answer".to_owned()));
    request.may_repeat = true;
    assert_eq!(check(&[request], &runs(&["a", "a", "b"])), []);
}
