//! Connections between gateways: one in each direction, with length-prefixed messages. A
//! configuration is sent over a connection of its own ([`crate::direct::peers::bulk`]), so that no
//! other message waits behind it.
//!
//! `tonic` is not used here: a message is a few hundred bytes without a response of its own, and
//! the framing of HTTP/2 would cost more than the rest of the path.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::actor::{Core, Handle, Stopped};
use crate::direct::caller_budget::{CallerBudget, CallerConnection};
use crate::direct::event::Event;
use crate::direct::peers::build::Build;
use crate::direct::peers::bulk::{BulkReceiver, BulkSender};
use crate::direct::peers::codec::{FORM, Outgoing, Unreadable, json, read};
use crate::direct::peers::message::PeerMessage;
use crate::direct::published::position::Position;

/// Time limit for establishing a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a message after which a connection is considered silent. Each gateway sends every
/// heartbeat, one in 200 ms, to a random member of its data centre: with 150 members, a connection
/// carries one every 30 s on average.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which a long message waits for the peer's greeting: JSON, which all builds read, is
/// several times as long as the compact form.
const GREETING_TIMEOUT: Duration = Duration::from_millis(100);
/// Capacity of the queue for one peer; messages beyond it are dropped.
const QUEUE_CAPACITY: usize = 1_024;
/// Time limit for receiving a greeting.
const RECEIVED_GREETING_TIMEOUT: Duration = Duration::from_secs(5);
/// Size limit of a greeting in bytes.
const MAX_GREETING: usize = 16 << 10;
/// Size limit of a message in bytes; the largest is a complete configuration or list.
pub(super) const MAX_FRAME: usize = 16 << 20;

/// The greeting: first message on a connection, and the response to it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// Address at which the sender's peers connect to it.
    pub address: SocketAddr,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Whether the connection carries one configuration and nothing else.
    #[serde(default)]
    pub bulk: bool,
    /// Number of the pull that the configuration responds to.
    #[serde(default)]
    pub pull: u64,
    /// Size of the configuration in bytes.
    #[serde(default)]
    pub bytes: Option<u64>,
    /// Whether the sender reads the first compact form of messages; this build never does.
    #[serde(default)]
    pub compact: bool,
    /// The compact form of messages that the sender reads.
    #[serde(default)]
    pub form: u32,
    /// Whether the sender waits for the receiver's greeting on this connection, and writes JSON
    /// until it arrives. Builds without this field treat any data in the reverse direction as the
    /// connection's end.
    #[serde(default)]
    #[serde(rename = "answers")]
    pub awaits_greeting: bool,
    /// The sender's build.
    #[serde(default)]
    pub build: Build,
}

impl Hello {
    /// Creates the greeting for connections that carry all messages but configurations.
    fn new(address: SocketAddr, incarnation: u64) -> Self {
        Self {
            address,
            incarnation,
            bulk: false,
            pull: 0,
            bytes: None,
            compact: false,
            form: FORM,
            awaits_greeting: true,
            build: Build::own(),
        }
    }

    /// The event that reports this greeting to the core.
    fn greeting_event(&self) -> Event {
        let (address, incarnation) = (self.address, self.incarnation);
        let build = Build { form: self.form, ..self.build.clone() };
        Event::PeerGreeted { address, incarnation, build }
    }
}

/// The queue of messages for a peer, and the task that sends them.
#[derive(Debug)]
struct Link {
    queue: mpsc::Sender<Arc<Outgoing>>,
    task: AbortHandle,
}

type Queues = Arc<Mutex<HashMap<SocketAddr, Link>>>;

/// The connections to other gateways and to witnesses.
pub struct PeerLinks<C: Core> {
    hello: Hello,
    core: Handle<C>,
    queues: Queues,
    bulk: BulkSender,
}

impl<C: Core<Event = Event>> PeerLinks<C> {
    /// Creates the set of connections, which is empty at first.
    pub fn new(own: SocketAddr, incarnation: u64, core: Handle<C>) -> Self {
        let hello = Hello::new(own, incarnation);
        let bulk = BulkSender::new(Hello { awaits_greeting: false, ..hello.clone() });
        Self { hello, core, queues: Queues::default(), bulk }
    }

    /// The greeting with which [`accept`] responds to other gateways.
    pub fn greeting(&self) -> Hello {
        self.hello.clone()
    }

    /// Queues a message for a peer; connects to the peer if there is no connection.
    pub fn send(&self, to: SocketAddr, message: PeerMessage) {
        match message {
            PeerMessage::Configuration { revision, ref deployment, pull, era, .. } => {
                let key = (Position::new(era, revision), deployment.version);
                if !self.bulk.send(to, pull, key, &message) {
                    self.broadcast(&[to], PeerMessage::NoConfiguration);
                }
            }
            message => self.broadcast(&[to], message),
        }
    }

    /// Queues one message for several peers; it is encoded once.
    pub fn broadcast(&self, to: &[SocketAddr], message: PeerMessage) {
        let outgoing = Arc::new(Outgoing::new(message));
        for &to in to {
            self.queue(to, outgoing.clone());
        }
    }

    /// Closes the connection to a peer and drops its queued messages.
    pub fn disconnect(&self, from: SocketAddr) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = queues.remove(&from) {
            link.task.abort();
        }
    }

    fn queue(&self, to: SocketAddr, message: Arc<Outgoing>) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let link = queues.entry(to).or_insert_with(|| self.connect(to));
        if link.queue.try_send(message).is_err() {
            metrics::counter!(crate::metrics::PEER_DROPPED).increment(1);
        }
    }

    fn connect(&self, to: SocketAddr) -> Link {
        let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let hello = self.hello.clone();
        let (core, queues, own_queue) = (self.core.clone(), self.queues.clone(), queue.clone());
        let task = tokio::spawn(async move {
            let was_established = run_link(to, &hello, receiver, &core).await;
            remove_link(&queues, to, &own_queue);
            let event = if was_established {
                Event::PeerOutboundFailed { address: to }
            } else {
                Event::PeerUnreachable { address: to }
            };
            core.send(event).await.ok();
        });
        Link { queue, task: task.abort_handle() }
    }
}

fn remove_link(queues: &Queues, to: SocketAddr, queue: &mpsc::Sender<Arc<Outgoing>>) {
    let mut queues = queues.lock().unwrap_or_else(PoisonError::into_inner);
    if queues.get(&to).is_some_and(|link| link.queue.same_channel(queue)) {
        queues.remove(&to);
    }
}

pub(super) type Connection = Framed<TcpStream, LengthDelimitedCodec>;

pub(super) fn framed(stream: TcpStream) -> Connection {
    stream.set_nodelay(true).ok();
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)).ok();
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_framed(stream)
}

/// Sends queued messages until the connection fails; returns whether it was established.
async fn run_link<C: Core<Event = Event>>(
    to: SocketAddr,
    hello: &Hello,
    queue: mpsc::Receiver<Arc<Outgoing>>,
    core: &Handle<C>,
) -> bool {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await else {
        return false;
    };
    let mut connection = framed(stream);
    if connection.send(json(hello)).await.is_ok() {
        send_all(connection, queue, core).await;
    }
    true
}

fn parse_greeting(frame: &[u8]) -> Option<Hello> {
    serde_json::from_slice(frame).ok()
}

/// Returns the first message, if it is still unsent, or the next one of the queue.
async fn next_message(
    first: &mut Option<Arc<Outgoing>>,
    queue: &mut mpsc::Receiver<Arc<Outgoing>>,
) -> Option<Arc<Outgoing>> {
    match first.take() {
        Some(message) => Some(message),
        None => queue.recv().await,
    }
}

async fn send_all<C: Core<Event = Event>>(
    mut connection: Connection,
    mut queue: mpsc::Receiver<Arc<Outgoing>>,
    core: &Handle<C>,
) {
    // The form that the peer reads, once its greeting has arrived on this connection.
    let mut form = None;
    let mut first = queue.recv().await;
    if first.as_ref().is_some_and(|message| message.is_long())
        && let Ok(answer) = timeout(GREETING_TIMEOUT, connection.next()).await
    {
        let Some(greeting) = answer.and_then(Result::ok).and_then(|a| parse_greeting(&a)) else {
            return;
        };
        form = Some(greeting.form);
        core.send(greeting.greeting_event()).await.ok();
    }
    loop {
        tokio::select! {
            message = next_message(&mut first, &mut queue) => {
                let Some(message) = message else { return };
                if connection.feed(message.encode_for(form)).await.is_err() {
                    return;
                }
                while let Ok(message) = queue.try_recv() {
                    if connection.feed(message.encode_for(form)).await.is_err() {
                        return;
                    }
                }
                if SinkExt::<Bytes>::flush(&mut connection).await.is_err() {
                    return;
                }
            }
            // A peer sends nothing but its greeting in this direction; any other data or an error
            // ends the connection.
            answer = connection.next() => {
                let greeting = answer.and_then(Result::ok).filter(|_| form.is_none());
                let Some(greeting) = greeting.and_then(|a| parse_greeting(&a)) else { return };
                form = Some(greeting.form);
                core.send(greeting.greeting_event()).await.ok();
            }
        }
    }
}

/// Budget of the connections that have not sent their greeting.
pub fn unknown_peers(connections: usize) -> CallerBudget {
    CallerBudget::of_connections(connections, MAX_GREETING)
}

/// Accepts connections of other gateways and responds with the greeting. Beyond the budget
/// `unknown`, the oldest connection that has not sent its greeting is closed.
pub async fn accept<C: Core<Event = Event>>(
    listener: TcpListener,
    core: Handle<C>,
    greeting: Hello,
    unknown: CallerBudget,
) {
    let bulk_receiver = BulkReceiver::default();
    let greeting = json(&greeting);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(sender) = unknown.open(MAX_GREETING).await else {
                    metrics::counter!(crate::metrics::PEER_UNREADABLE).increment(1);
                    continue;
                };
                let (bulk_receiver, core) = (bulk_receiver.clone(), core.clone());
                tokio::spawn(receive(stream, sender, bulk_receiver, core, greeting.clone()));
            }
            Err(_) => tokio::time::sleep(CONNECT_TIMEOUT).await,
        }
    }
}

/// Reads the greeting of a connection; `None` if none arrives.
async fn receive_greeting(connection: &mut Connection, sender: CallerConnection) -> Option<Hello> {
    // Anyone can connect, so only a greeting raises the limit.
    connection.codec_mut().set_max_frame_length(MAX_GREETING);
    let first = tokio::select! {
        first = timeout(RECEIVED_GREETING_TIMEOUT, connection.next()) => first,
        () = sender.gives_way() => Ok(Some(Err(std::io::ErrorKind::QuotaExceeded.into()))),
    };
    let greeting = match first {
        Ok(Some(Ok(first))) => serde_json::from_slice(&first).ok(),
        // The sender closed the connection, as a probe does.
        Ok(None) => return None,
        Ok(Some(Err(_))) | Err(_) => None,
    };
    if greeting.is_none() {
        metrics::counter!(crate::metrics::PEER_UNREADABLE).increment(1);
    }
    connection.codec_mut().set_max_frame_length(MAX_FRAME);
    greeting
}

async fn receive<C: Core<Event = Event>>(
    stream: TcpStream,
    sender: CallerConnection,
    bulk_receiver: BulkReceiver,
    core: Handle<C>,
    greeting: Bytes,
) {
    let mut connection = framed(stream);
    let Some(hello) = receive_greeting(&mut connection, sender).await else {
        return;
    };
    if hello.bulk {
        bulk_receiver.start(connection, hello, core);
        return;
    }
    core.send(hello.greeting_event()).await.ok();
    let is_answered = !hello.awaits_greeting || connection.send(greeting).await.is_ok();
    let (address, incarnation) = (hello.address, hello.incarnation);
    if is_answered && receive_all(connection, &hello, &core).await.is_err() {
        return;
    }
    core.send(Event::PeerInboundFailed { address, incarnation }).await.ok();
}

/// Forwards messages from a peer to the core until the connection ends, or until a message is in an
/// unknown form. In that case the connection is closed, so that the peer notices at once and sends
/// its state again.
async fn receive_all<C: Core<Event = Event>>(
    mut connection: Connection,
    hello: &Hello,
    core: &Handle<C>,
) -> Result<(), Stopped> {
    let from = hello.address;
    while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, connection.next()).await {
        match read(&frame, hello.form) {
            Ok(message) => core.send(Event::PeerMessage { from, message }).await?,
            Err(unread) => {
                metrics::counter!(crate::metrics::PEER_UNREADABLE).increment(1);
                core.send(Event::PeerMessageUnreadable {
                    from,
                    announced_form: hello.form,
                    unread,
                })
                .await?;
                if matches!(unread, Unreadable::Form(_)) {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}
