//! How messages between gateways are written: compactly to those that read it, as JSON to all others.

mod directenv;

use directenv::gateway::{gossip, serving};
use directenv::{address, job, route};
use stackmast::direct::peers::codec::{Outgoing, Readers, read};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::model::Repeat;

/// A message as a gateway that reads compactly gets it, and as one of an earlier version does.
fn both_forms(message: &PeerMessage) -> [bytes::Bytes; 2] {
    let readers = Readers::default();
    readers.told(address(2), true);
    let mut outgoing = Outgoing::new(message.clone());
    [address(2), address(3)].map(|to| outgoing.for_reader(to, &readers))
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
fn both_forms_are_read_as_what_was_written() {
    for message in messages() {
        for frame in both_forms(&message) {
            assert_eq!(read(&frame).as_ref(), Some(&message));
        }
    }
}

#[test]
fn a_gateway_that_reads_compactly_no_more_gets_json() {
    let readers = Readers::default();
    for (compact, begins) in [(true, 0), (false, b'{')] {
        readers.told(address(2), compact);
        let frame = Outgoing::new(heartbeat(3)).for_reader(address(2), &readers);
        assert_eq!(frame[0], begins);
    }
}

#[test]
fn what_is_neither_is_passed_over() {
    for frame in [&b""[..], b"{", b"\"Nonsense\"", &[200, 1, 2], &[0, 255]] {
        assert_eq!(read(frame), None);
    }
}

#[test]
fn a_compact_heartbeat_has_a_fifth_of_the_bytes() {
    let [compact, json] = both_forms(&heartbeat(103)).map(|frame| frame.len());
    println!("{compact} bytes compact, {json} as JSON");
    assert!(compact * 5 <= json, "{compact} and {json}");
}
