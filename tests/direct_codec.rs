//! Encoding of messages between gateways: compact for peers that read this form, JSON for all
//! others.

mod directenv;

use directenv::gateway::{gossip, serving};
use directenv::{job, route};
use stackmast::direct::peers::codec::{FORM, Outgoing, Unreadable, read};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::model::Repeat;

/// Encodes a message for a peer that reads this build's form, and for any other peer.
fn both_forms(message: &PeerMessage) -> [bytes::Bytes; 2] {
    let outgoing = Outgoing::new(message.clone());
    [Some(FORM), None].map(|form| outgoing.encode_for(form))
}

fn heartbeat(members: u16) -> PeerMessage {
    let member = |port| stackmast::direct::peers::members::Member {
        incarnation: 1_790_000_000_000_000 + u64::from(port),
        heartbeat: 300,
        ..serving(port)
    };
    gossip((1..=members).map(member).collect())
}

fn messages() -> Vec<PeerMessage> {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let job = job(1, &route, 3);
    vec![
        heartbeat(103),
        PeerMessage::Ready(job.id),
        PeerMessage::Release(job.id),
        PeerMessage::NoConfiguration,
        PeerMessage::Submit(Box::new(job)),
    ]
}

#[test]
fn messages_round_trip_in_both_encodings() {
    for message in messages() {
        for frame in both_forms(&message) {
            assert_eq!(read(&frame, FORM).as_ref(), Ok(&message));
        }
    }
}

#[test]
fn a_peer_that_reads_another_form_or_has_not_greeted_gets_json() {
    let outgoing = Outgoing::new(heartbeat(3));
    for form in [None, Some(0), Some(FORM - 1), Some(FORM + 1)] {
        assert_eq!(outgoing.encode_for(form)[0], b'{');
    }
    assert_ne!(outgoing.encode_for(Some(FORM))[0], b'{');
}

#[test]
fn invalid_frames_are_unreadable() {
    let unread = Err(Unreadable::Message { job: None });
    for frame in [&b""[..], b"{", b"\"Nonsense\"", &[200, 1, 2], &[0, 255], &[0xc1], &[0xc1, 4]] {
        assert_eq!(read(frame, FORM), unread, "{frame:?}");
    }
}

#[test]
fn frames_of_unknown_forms_are_rejected() {
    let [compact, _] = both_forms(&heartbeat(3));
    // The same bytes marked as a later form, or unmarked after a greeting of an earlier one.
    let mut later = compact.to_vec();
    later[1] = (FORM + 1) as u8;
    assert_eq!(read(&later, FORM), Err(Unreadable::Form(FORM + 1)));
    assert_eq!(read(&compact[2..], 2), Err(Unreadable::Form(2)));
    assert_eq!(read(&compact[2..], FORM), Err(Unreadable::Message { job: None }), "it has no mark");
}

#[test]
fn builds_before_the_form_mark_reject_marked_frames() {
    for message in messages() {
        let [compact, _] = both_forms(&message);
        assert!(postcard::from_bytes::<PeerMessage>(&compact).is_err());
    }
}

#[test]
fn an_unreadable_submission_yields_its_job_id() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let job = job(1, &route, 3);
    let mut written =
        serde_json::to_value(PeerMessage::Submit(Box::new(job.clone()))).expect("JSON");
    written["Submit"]["stages"] = "of a later build".into();
    let frame = serde_json::to_vec(&written).expect("JSON");
    assert_eq!(read(&frame, FORM), Err(Unreadable::Message { job: Some(job.id) }));
}

#[test]
fn a_compact_heartbeat_is_at_most_a_fifth_of_json() {
    let [compact, json] = both_forms(&heartbeat(103)).map(|frame| frame.len());
    println!("{compact} bytes compact, {json} as JSON");
    assert!(compact * 5 <= json, "{compact} and {json}");
}
