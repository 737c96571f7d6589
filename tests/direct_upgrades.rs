//! Gateways of two builds side by side: each reads the messages of the other, or the sender learns
//! at once that a message could not be read.
//!
//! Compact messages used to carry no form. A gateway remembered by address what a peer reads, and
//! kept this after the peer had been replaced in place by another build, until the first connection
//! of the new one. Its messages in between were dropped, or could have been misread, and a gateway
//! waited in vain for jobs on their way.

mod directenv;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use directenv::gateway::{
    Idle, announced_state, configured, incoming, new_core, receive_gossip, serving, setup, submit,
};
use directenv::{address, endpoint, job, job_id, ms, position, route};
use futures_util::{SinkExt, StreamExt};
use stackmast::actor::{Core, Handle, mailbox, run};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::peers::build::Build;
use stackmast::direct::peers::codec::{FORM, Unreadable, read};
use stackmast::direct::peers::links::{PeerLinks, accept, unknown_peers};
use stackmast::direct::peers::message::{JobReason, PeerMessage};
use stackmast::direct::published::evacuations::EvacuationChange;
use stackmast::direct::published::model::Repeat;
use stackmast::direct::statement::{CallKind, Statement};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const WITHIN: Duration = Duration::from_secs(2);
/// Connections that may be open without a greeting.
const UNKNOWN_PEERS: usize = 64;

type Connection = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Connection {
    LengthDelimitedCodec::builder().new_framed(stream)
}

/// A gateway: the address for its peers, its outgoing links and its core.
async fn gateway() -> (SocketAddr, PeerLinks<GatewayCore>, Handle<GatewayCore>) {
    let listener = TcpListener::bind(address(0)).await.expect("a port");
    let at = listener.local_addr().expect("its address");
    let (core, waiting) = mailbox();
    tokio::spawn(run(new_core(), Idle, waiting));
    let peers = PeerLinks::new(at, 1, core.clone());
    let unknown = unknown_peers(UNKNOWN_PEERS);
    tokio::spawn(accept(listener, core.clone(), peers.greeting(), unknown));
    (at, peers, core)
}

fn submission(number: u64) -> PeerMessage {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    PeerMessage::Submit(Box::new(job(number, &route, 1)))
}

/// Accepts the next connection, and reads its first message.
async fn taken(listener: &TcpListener) -> (Connection, serde_json::Value) {
    let (stream, _) = timeout(WITHIN, listener.accept()).await.expect("in time").expect("one");
    let mut connection = framed(stream);
    let hello = connection.next().await.expect("a message").expect("whole");
    (connection, serde_json::from_slice(&hello).expect("a greeting"))
}

/// Whether an older build reads a message that it receives over a connection: it reads JSON only.
fn is_read_by_older(frame: &[u8]) -> bool {
    serde_json::from_slice::<PeerMessage>(frame).is_ok()
}

async fn next(connection: &mut Connection) -> bytes::BytesMut {
    timeout(WITHIN, connection.next()).await.expect("in time").expect("a message").expect("whole")
}

// An owner is replaced in place by an older build while jobs are on their way to it.
#[tokio::test]
async fn a_peer_replaced_in_place_by_another_build_gets_json() {
    let (at, peers, _core) = gateway().await;
    let owner = TcpListener::bind(address(0)).await.expect("a port");
    let owner_at = owner.local_addr().expect("its address");
    // The owner sends the greeting of this build, so it reads this build's form.
    peers.send(owner_at, PeerMessage::NoConfiguration);
    let (connection, hello) = taken(&owner).await;
    let mut greeting = hello;
    greeting["address"] = owner_at.to_string().into();
    let mut to_gateway = framed(TcpStream::connect(at).await.expect("a connection"));
    let greeting = serde_json::to_vec(&greeting).expect("a greeting");
    to_gateway.send(bytes::Bytes::from(greeting)).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(50)).await;
    // The owner is replaced: its connections end, and its successor hasn't connected yet.
    drop(connection);
    drop(to_gateway);
    tokio::time::sleep(Duration::from_millis(50)).await;
    peers.send(owner_at, submission(1));
    let (mut connection, _) = taken(&owner).await;
    let frame = next(&mut connection).await;
    assert!(is_read_by_older(&frame), "an older build reads no {:?}", &frame[..frame.len().min(8)]);
}

/// A greeting of a peer at an address that reads a form.
fn greeting(at: SocketAddr, form: u32) -> bytes::Bytes {
    let address = at.to_string();
    let hello = serde_json::json!({ "address": address, "incarnation": 7, "form": form });
    serde_json::to_vec(&hello).expect("a greeting").into()
}

#[tokio::test]
async fn the_compact_form_is_used_only_on_a_connection_with_a_greeting() {
    let (_at, peers, _core) = gateway().await;
    let other = TcpListener::bind(address(0)).await.expect("a port");
    let other_at = other.local_addr().expect("its address");
    for _ in 0..2 {
        peers.send(other_at, submission(1));
        let (mut connection, hello) = taken(&other).await;
        assert_eq!(hello["answers"], true);
        assert!(is_read_by_older(&next(&mut connection).await), "nothing is known of it yet");
        connection.send(greeting(other_at, FORM)).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(50)).await;
        peers.send(other_at, submission(2));
        let frame = next(&mut connection).await;
        assert_eq!(read(&frame, FORM), Ok(submission(2)));
        assert!(!is_read_by_older(&frame), "it is compact");
        // The connection ends, and another peer takes the address.
        drop(connection);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_peer_that_greets_in_another_form_gets_json() {
    let (_at, peers, _core) = gateway().await;
    let other = TcpListener::bind(address(0)).await.expect("a port");
    let other_at = other.local_addr().expect("its address");
    peers.send(other_at, submission(1));
    let (mut connection, _) = taken(&other).await;
    connection.send(greeting(other_at, FORM + 1)).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(50)).await;
    peers.send(other_at, submission(2));
    for _ in 0..2 {
        assert!(is_read_by_older(&next(&mut connection).await));
    }
}

#[tokio::test]
async fn two_gateways_of_this_build_recognise_each_other() {
    let (first, peers, _core) = gateway().await;
    let (second, _, core) = gateway().await;
    assert_ne!(first, second);
    for _ in 0..3 {
        peers.send(second, PeerMessage::NoConfiguration);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let own = core.inspect(|core, _| core.peers_of_other_builds()).await.expect("a core");
    assert_eq!(own, 0, "each recognises the other's build");
}

#[tokio::test]
async fn a_frame_of_an_unknown_form_ends_its_connection() {
    let (at, _peers, core) = gateway().await;
    let mut older = framed(TcpStream::connect(at).await.expect("a connection"));
    older.send(greeting(address(9), 2)).await.expect("sent");
    // A submission in the compact form of an earlier release, with arbitrary content.
    older.send(bytes::Bytes::from_static(&[5, 0, 1, 2, 3])).await.expect("sent");
    let sent_messages = Instant::now();
    let end = timeout(WITHIN, older.next()).await.expect("in time");
    assert!(end.is_none_or(|end| end.is_err()), "it ends");
    assert!(sent_messages.elapsed() < Duration::from_millis(100), "{:?}", sent_messages.elapsed());
    let others = core.inspect(|core, _| core.peers_of_other_builds()).await.expect("a core");
    assert_eq!(others, 1);
}

#[tokio::test]
async fn an_unknown_message_does_not_end_its_connection() {
    let (at, _peers, _core) = gateway().await;
    let mut later = framed(TcpStream::connect(at).await.expect("a connection"));
    later.send(greeting(address(9), FORM + 1)).await.expect("sent");
    later.send(bytes::Bytes::from_static(b"{\"OfALaterBuild\":{}}")).await.expect("sent");
    let end = timeout(Duration::from_millis(300), later.next()).await;
    assert!(end.is_err(), "the next one may be read: {end:?}");
}

/// Messages that a core sends, except heartbeats.
fn sent_messages(actions: &[Action]) -> Vec<(SocketAddr, PeerMessage)> {
    let sent_messages = actions.iter().filter_map(|a| match a {
        Action::Send { to, message } => Some((*to, message.clone())),
        _ => None,
    });
    sent_messages.filter(|(_, m)| announced_state(m).is_none()).collect()
}

#[test]
fn an_unreadable_submission_is_refused_at_once() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[("first", &[], 10)])]);
    let (from, job) = (address(5), job_id(3));
    let unread = Unreadable::Message { job: Some(job) };
    let event = || Event::PeerMessageUnreadable { from, announced_form: 9, unread };
    let actions = core.handle(event(), ms(10));
    let refused = matches!(
        sent_messages(&actions).as_slice(),
        [(to, PeerMessage::Cancelled { reason: JobReason::NotOwner, not_started: true, .. })]
            if *to == from
    );
    assert!(refused, "{actions:?}");
    let noted = |actions: &[Action]| {
        actions.iter().filter(|a| matches!(a, Action::Log(LogEvent::PeerUnread { .. }))).count()
    };
    assert_eq!(noted(&actions), 1);
    assert_eq!(noted(&core.handle(event(), ms(20))), 0, "logged once");
}

#[test]
fn a_job_refused_as_unreadable_goes_to_another_owner() {
    let routes = vec![route("r", Repeat::AtMostOnce, &[("first", &[], 10)])];
    let mut core = configured(routes);
    receive_gossip(&mut core, (2..=4).map(serving).collect(), ms(10));
    // One of the other gateways owns some of these jobs.
    for caller in 1..=40 {
        let actions = submit(&mut core, caller, incoming("r", vec![1]), ms(20 + caller));
        let submitted =
            sent_messages(&actions).into_iter().find_map(|(to, message)| match message {
                PeerMessage::Submit(job) => Some((to, job.id)),
                _ => None,
            });
        let Some((owner, job)) = submitted else { continue };
        let (reason, not_started, retry_after) = (JobReason::NotOwner, true, Duration::ZERO);
        let message = PeerMessage::Cancelled { job, reason, not_started, retry_after };
        let actions = core.handle(Event::PeerMessage { from: owner, message }, ms(22 + caller));
        let again = sent_messages(&actions).into_iter().find_map(|(to, message)| match message {
            PeerMessage::Submit(_) => Some(to),
            _ => None,
        });
        assert_ne!(again, Some(owner));
        return;
    }
    panic!("no job went to another gateway");
}

#[test]
fn peers_of_another_build_are_logged_when_first_and_last_seen() {
    let mut core = configured(Vec::new());
    let build = Build { version: "0.0.9".to_owned(), commit: None, form: 3 };
    let greet = |core: &mut GatewayCore, incarnation, build: &Build| {
        let event = Event::PeerGreeted { address: address(5), incarnation, build: build.clone() };
        core.handle(event, ms(10))
    };
    let heard = |actions: &[Action]| {
        let heard = actions.iter().filter_map(|a| match a {
            Action::Log(LogEvent::PeerBuild { heard, version, .. }) => {
                Some((*heard, version.clone()))
            }
            _ => None,
        });
        heard.collect::<Vec<_>>()
    };
    assert_eq!(heard(&greet(&mut core, 1, &build)), [("first", "0.0.9".to_owned())]);
    assert!(heard(&greet(&mut core, 1, &build)).is_empty(), "only with its first connection");
    assert_eq!(heard(&greet(&mut core, 2, &Build::own())), [("last", "0.0.9".to_owned())]);
    assert!(heard(&greet(&mut core, 2, &Build::own())).is_empty());
    let started = GatewayCore::new(setup()).handle(Event::Tick, ms(0));
    let is_named = |a: &Action| matches!(a, Action::Log(LogEvent::Started { form: FORM, .. }));
    assert!(started.iter().any(is_named));
}

#[test]
fn fields_missing_from_an_older_build_change_nothing() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let statement = Statement { leaving: true, ..Statement::default() };
    let (leaving, asked) = (endpoint("engine", 1), CallKind::Request);
    let stated = Event::EndpointStatus {
        endpoint: leaving.clone(),
        asked,
        statement,
        sent: ms(1),
        at: ms(1),
    };
    core.handle(stated, ms(1));
    let order =
        EvacuationChange { data_centre: "hall-9".into(), position: position(9), in_force: true };
    core.handle(Event::Evacuations { changes: vec![order], snapshot_at: Some(position(9)) }, ms(2));
    // A heartbeat with the fields of the first release only.
    let member = serde_json::to_value(serving(5)).expect("JSON");
    let heartbeat = serde_json::json!({ "Gossip": {
        "members": [member], "seen": { "version": 1, "endpoints": 2 }, "complete": true, "usage": [],
    }});
    let message = read(&serde_json::to_vec(&heartbeat).expect("JSON"), 0).expect("it is read");
    let actions = core.handle(Event::PeerMessage { from: address(5), message }, ms(10));
    let sent_messages = actions.iter().find_map(|a| match a {
        Action::Send { message: PeerMessage::Gossip { evacuations, departures, .. }, .. } => {
            Some((evacuations.evacuated(), departures.len()))
        }
        _ => None,
    });
    assert_eq!(sent_messages, Some((["hall-9".into()].into_iter().collect(), 1)));
    for caller in 1..=20 {
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(20 + caller));
        let goes_there = |a: &Action| matches!(a, Action::Call { params, .. } if params.endpoint.id == leaving.id);
        assert!(!actions.iter().any(goes_there));
    }
}
