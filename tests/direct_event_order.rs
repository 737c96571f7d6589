//! Places in streams, as the ids of their events state them.

mod directenv;

use directenv::gateway::{begins, broken_behind, calls, configured, incoming, resumable, submit};
use directenv::ms;
use stackmast::actor::Core;
use stackmast::direct::event::Action;
use stackmast::direct::event_order::{EventOrder, Place};
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
    order.check(events.as_bytes());
    let place = order.into_parts().0;
    assert_eq!((place.last_id(), place.may_resume()), (last, may_resume));
}

#[test]
fn id_that_is_no_text_is_no_place() {
    let mut order = EventOrder::new(Place::default());
    order.check(b"id: \xff\ndata: a\n\n");
    assert!(!order.into_parts().0.may_resume());
}

/// Ids after which a broken stream is resumed, call by call, and whether it is aborted in the end.
fn resumed_after(events: &str) -> (Vec<Option<String>>, bool) {
    let mut core = configured(vec![resumable()]);
    let attempt = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].0;
    core.handle(begins(1, attempt), ms(50));
    let actions = core.handle(broken_behind(1, attempt, events), ms(90));
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
