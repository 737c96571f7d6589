//! Places in streams, as the ids of their events state them, and the order of events.

mod directenv;

use directenv::gateway::{
    begins, broken_behind, calls, configured, incoming, listed, resumable, submit,
};
use directenv::{endpoint, ms, position};
use stackmast::actor::Core;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::event_order::{EventOrder, Place};
use stackmast::direct::log_events::{LogEvent, StreamEvent};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::Route;
use test_case::test_case;

/// Guards against a place that is read otherwise than the specification of server-sent events says.
#[test_case("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Some("2"), true; "ids")]
#[test_case("id:1\rdata: a\r\rid:2\r\ndata: b\r\n\r\n", Some("2"), true; "line ends of all kinds")]
#[test_case("id: 1\nid: 2\ndata: a\n\n", Some("2"), true; "the last id of an event counts")]
#[test_case("id: 2\nid: \0\ndata: a\n\n", Some("2"), true; "one with NUL is ignored")]
#[test_case("id: 2\n\n", Some("2"), true; "an id alone")]
#[test_case("id: 2\ndata: a\n\n: b\n\nretry: 5\n\n\n", Some("2"), true; "what readers don't see")]
#[test_case("idle: 3\nid : 4\nid: 2\ndata: id: 5\n\n", Some("2"), true; "other fields")]
#[test_case("id: 2\ndata: a\n\ndata: b\n\n", Some("2"), false; "an event without an id")]
#[test_case("id: 2\ndata: a\n\nid\ndata: b\n\n", Some("2"), false; "an id is reset")]
#[test_case("id: 2\ndata: a\n\nid:\ndata: b\n\n", Some("2"), false; "an empty id")]
#[test_case("data: a\n\nid: 2\ndata: b\n\n", Some("2"), true; "an event without an id before")]
#[test_case("data: a\n\n", None, false; "no id at all")]
#[test_case(": a\n\n", None, true; "no event")]
#[test_case("id: \u{e9}\n\n", Some("\u{e9}"), true; "an accent")]
#[test_case("id: 1\u{7}\n\n", Some("1\u{7}"), false; "a control character")]
#[test_case("id:  1\n\n", Some(" 1"), false; "spaces, which headers lose")]
fn place_of_a_stream(events: &str, last: Option<&str>, may_resume: bool) {
    let mut order = EventOrder::new(Place::default());
    order.check(events.as_bytes()).expect("in order");
    let place = order.into_parts().0;
    assert_eq!((place.last_id(), place.may_resume()), (last, may_resume));
}

#[test]
fn id_that_is_no_text_is_no_place() {
    let mut order = EventOrder::new(Place::default());
    order.check(b"id: \xff\ndata: a\n\n").expect("in order");
    assert!(!order.into_parts().0.may_resume());
}

/// Ids after which a broken stream is resumed, call by call, and whether it is aborted in the end.
fn resumed_after(events: &str) -> (Vec<Option<String>>, bool) {
    let mut core = configured(vec![resumable()]);
    let attempt = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].0;
    core.handle(begins(1, attempt), ms(50));
    let actions = core.handle(broken_behind(1, attempt, Place::default(), events), ms(90));
    let calls = calls(&actions).into_iter().map(|(_, call)| call.after_event).collect();
    (calls, actions.iter().any(|action| matches!(action, Action::AbortStream { .. })))
}

/// Guards against a resumption after an id behind which events without one were forwarded: the next
/// run sends them again.
#[test_case("id: 7\ndata: a\n\n", Some(Some("7")); "resumed after the last event")]
#[test_case("", Some(None); "begun anew if nothing was forwarded")]
#[test_case("id: 7\ndata: a\n\ndata: b\n\n", None; "aborted behind an event without an id")]
#[test_case("data: a\n\n", None; "aborted if no event has an id")]
fn a_broken_stream_is(events: &str, call: Option<Option<&str>>) {
    let expected = call.map(|after| after.map(ToOwned::to_owned));
    let expected = (expected.into_iter().collect::<Vec<_>>(), call.is_none());
    assert_eq!(resumed_after(events), expected);
}

/// Checks runs of a stream one after the other; returns the bytes that are forwarded, and what the
/// id of the first event that is not forwarded should have been.
fn check(place: Place, runs: &[&str]) -> (String, Option<String>) {
    let mut place = place;
    let mut forwarded = String::new();
    for run in runs {
        let mut order = EventOrder::new(place);
        if let Err(violation) = order.check(run.as_bytes()) {
            forwarded += &run[..violation.at];
            return (forwarded, Some(violation.expected));
        }
        forwarded += run;
        place = order.into_parts().0;
    }
    (forwarded, None)
}

/// Events with these ids, separated by spaces.
fn events(ids: &str) -> String {
    ids.split_whitespace().map(|id| format!("id: {id}\ndata: x\n\n")).collect()
}

/// Guards against events that are forwarded twice, or are missing.
#[test_case(&["1 2 3 5 9 10 11 12 13 15"], None; "rising, with an uneven step early")]
#[test_case(&["1 2 3 4 6"], Some("5"); "skips after three steps by one")]
#[test_case(&["10 20 30 40 60"], None; "in tens")]
#[test_case(&["a 1 2 3 4 6"], None; "not all are numbers")]
#[test_case(&["1 2", "4"], Some("3"); "a run begins too late")]
#[test_case(&["1 2 3", "4", "6"], Some("5"); "a third run begins too late")]
#[test_case(&["1", "3"], None; "too early to tell")]
#[test_case(&["1 2", "3 5"], None; "too early to tell within a run")]
#[test_case(&["1 2", "3 4 6"], Some("5"); "steps count over runs")]
#[test_case(&["10 20", "40"], None; "a run begins later, in tens")]
#[test_case(&["1 2 1"], Some("above 2"); "goes back")]
#[test_case(&["1 2 2"], Some("above 2"); "repeats")]
#[test_case(&["10 9"], Some("above 10"); "compared as numbers")]
#[test_case(&["7 007"], Some("above 7"); "leading zeros")]
#[test_case(&["18446744073709551615 0"], Some("above 18446744073709551615"); "the largest number")]
#[test_case(&["18446744073709551616 18446744073709551617"], None; "larger ones")]
#[test_case(&["18446744073709551617 18446744073709551617"], Some("other than 18446744073709551617"); "a larger one repeats")]
#[test_case(&["+5 4 -3"], None; "signs are no numbers")]
#[test_case(&["a a"], Some("other than a"); "text repeats")]
#[test_case(&["c a b"], None; "text has no order")]
#[test_case(&["5 a 4"], None; "nor has text between numbers")]
#[test_case(&["1 2", "1 2 3"], Some("above 2"); "a run begins anew")]
#[test_case(&["1 2", "2 3"], Some("above 2"); "a run begins with the last event")]
#[test_case(&["1 2", "3 4"], None; "a run goes on")]
#[test_case(&["a b", "a b c"], Some("other than a"); "a run begins anew without numbers")]
#[test_case(&["a b", "b c"], Some("other than b"); "a run begins with the last event without numbers")]
#[test_case(&["a b", "c d"], None; "a run goes on without numbers")]
#[test_case(&["a b c", "b c d"], Some("other than c"); "a run comes to the last event again")]
fn order_of_events(runs: &[&str], expected: Option<&str>) {
    let runs: Vec<String> = runs.iter().map(|ids| events(ids)).collect();
    let runs: Vec<&str> = runs.iter().map(String::as_str).collect();
    let (forwarded, violated) = check(Place::default(), &runs);
    assert_eq!(violated.as_deref(), expected);
    assert_eq!(forwarded == runs.concat(), expected.is_none());
    assert!(runs.concat().starts_with(&forwarded) && !forwarded.is_empty());
}

/// Guards against events that a caller which resumes gets again.
#[test_case("4", "5 6", "5 6"; "goes on")]
#[test_case("4", "9 10", "9 10"; "a later event can be the next one")]
#[test_case("4", "5 6 7 9", "5 6 7"; "skips")]
#[test_case("4", "9 10 11 12 14", "9 10 11 12"; "begins later and skips")]
#[test_case("4", "10 20 30 40 60", "10 20 30 40 60"; "in tens")]
#[test_case("4", "4 5", ""; "begins with the last event")]
#[test_case("4", "1 2", ""; "begins anew")]
#[test_case("b", "b c", ""; "begins with the last event without numbers")]
#[test_case("b", "a b", "a"; "comes to the last event again")]
#[test_case("", "1 2", "1 2"; "an empty id is the beginning")]
fn events_after_that_of_a_resuming_caller(after: &str, ids: &str, expected: &str) {
    assert_eq!(check(Place::after(after), &[&events(ids)]).0, events(expected));
}

#[test]
fn events_in_order_before_the_one_out_of_order_are_forwarded() {
    let run = ": a\n\nid: 3\r\ndata: b\r\n\r\ndata: c\n\nretry: 1\nid: 3\ndata: d\n\nid: 4\n\n";
    let (forwarded, expected) = check(Place::default(), &[run]);
    assert_eq!(forwarded, ": a\n\nid: 3\r\ndata: b\r\n\r\ndata: c\n\n");
    assert_eq!(expected.as_deref(), Some("above 3"));
}

/// Guards against a resumption of a run that had repeated events before this showed.
#[test_case("a b c", "b c", false; "some were forwarded again")]
#[test_case("a b c", "c d", true; "none was")]
#[test_case("1 2 3", "1 2 3", true; "none was, with numbers")]
#[test_case("1 2 3", "4 5 5", true; "the run had gone on")]
#[test_case("1 2 3", "4 5 7", true; "the run had gone on until it skipped an event")]
#[test_case("1 2 3", "5", true; "the run began too late")]
fn stream_may_be_resumed_behind_events(first: &str, second: &str, may_resume: bool) {
    let mut order = EventOrder::new(Place::default());
    order.check(events(first).as_bytes()).expect("in order");
    let mut order = EventOrder::new(order.into_parts().0);
    order.check(events(second).as_bytes()).expect_err("out of order");
    assert_eq!(order.into_parts().0.may_resume(), may_resume);
}

fn logged_stream_end(action: &Action) -> Option<&LogEvent> {
    match action {
        Action::Log(event @ LogEvent::Stream(StreamEvent::StreamEnded { .. })) => Some(event),
        _ => None,
    }
}

/// Guards against a run that is no continuation being taken for one, or for the end of the stream.
#[test]
fn run_that_is_no_continuation_is_retried_after_the_same_event() {
    let route = Route { max_attempts: 3, ..resumable() };
    let mut core = configured(vec![route]);
    let engines: Vec<_> = (1..=3).map(|number| endpoint("engine", number)).collect();
    let extent = Extent::Complete { at: position(3) };
    core.handle(Event::Published { documents: listed(&engines, 3), extent }, ms(0));
    let attempt = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].0;
    core.handle(begins(1, attempt), ms(50));
    let broken = broken_behind(1, attempt, Place::default(), &events("1 2"));
    let (attempt, _) = calls(&core.handle(broken, ms(90)))[0].clone();
    let actions = core.handle(begins(1, attempt), ms(100));
    let place = actions.iter().find_map(|action| match action {
        Action::Deliver { place, .. } => Some(place.clone()),
        _ => None,
    });
    let place = place.expect("delivered");
    assert_eq!(place.last_id(), Some("2"));
    let actions = core.handle(broken_behind(1, attempt, place, &events("1 2 3")), ms(110));
    let logged = actions.iter().find_map(logged_stream_end);
    let logged = serde_json::to_string(&logged).expect("a line");
    for field in [r#""end":"out of order""#, r#""expected_id":"above 2""#, r#""received_id":"1""#] {
        assert!(logged.contains(field), "{logged}");
    }
    let (attempt, call) = calls(&actions)[0].clone();
    assert_eq!(call.after_event.as_deref(), Some("2"));
    core.handle(begins(1, attempt), ms(120));
    let actions = core.handle(broken_behind(1, attempt, Place::after("2"), &events("2")), ms(130));
    assert!(calls(&actions).is_empty(), "no attempt is left");
    assert!(actions.iter().any(|action| matches!(action, Action::AbortStream { .. })));
}
