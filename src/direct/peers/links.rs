//! Connections between gateways: one in each direction, length-prefixed messages; a configuration
//! goes over one of its own ([`crate::direct::peers::bulk`]), so that nothing waits behind it.
//!
//! `tonic` is not used here: a message is a few hundred bytes with no answer of its own, and HTTP/2's
//! framing would cost more than the rest of the path.

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

use crate::actor::{Handle, Stopped};
use crate::direct::core::GatewayCore;
use crate::direct::event::Event;
use crate::direct::peers::build::Build;
use crate::direct::peers::bulk::{Bulk, Receives};
use crate::direct::peers::codec::{FORM, Outgoing, Unread, json, read};
use crate::direct::peers::message::PeerMessage;
use crate::direct::published::position::Position;

/// A connection must come up within that.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A peer that acknowledges nothing for so long is cut off.
const SILENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A connection over which no heartbeat came for so long has fallen silent: at 580 gateways, each of
/// which tells eight at random every 200 ms, a connection has one every 14 s on average.
const IDLE: Duration = Duration::from_secs(120);
/// Messages that wait for one peer; what comes beyond that is dropped.
const QUEUE: usize = 1_024;
/// The longest message: a whole configuration and list.
pub(super) const MAX_FRAME: usize = 16 << 20;

/// The first message on a connection, and the answer to it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// Where the sender's peers connect.
    pub address: SocketAddr,
    /// The sender's life.
    pub incarnation: u64,
    /// Whether the connection carries one configuration and nothing else.
    #[serde(default)]
    pub bulk: bool,
    /// The number of the pull that it answers.
    #[serde(default)]
    pub pull: u64,
    /// How many bytes the configuration has.
    #[serde(default)]
    pub bytes: Option<u64>,
    /// Whether the sender reads the first compact form of messages; it does not any more.
    #[serde(default)]
    pub compact: bool,
    /// The compact form of messages that the sender reads.
    #[serde(default)]
    pub form: u32,
    /// Whether the sender waits for the receiver's greeting on this connection: it writes JSON until then. Builds
    /// before that take whatever comes back for the connection's end.
    #[serde(default)]
    pub answers: bool,
    /// The sender's build.
    #[serde(default)]
    pub build: Build,
}

impl Hello {
    /// On the connection for all messages but configurations.
    fn new(address: SocketAddr, incarnation: u64) -> Self {
        Self {
            address,
            incarnation,
            bulk: false,
            pull: 0,
            bytes: None,
            compact: false,
            form: FORM,
            answers: true,
            build: Build::own(),
        }
    }

    /// What the core hears of it.
    fn greeted(&self) -> Event {
        let (address, incarnation) = (self.address, self.incarnation);
        let build = Build { form: self.form, ..self.build.clone() };
        Event::PeerGreeted { address, incarnation, build }
    }
}

/// What waits for a peer, and the task that sends it.
#[derive(Debug)]
struct Link {
    queue: mpsc::Sender<Arc<Outgoing>>,
    task: AbortHandle,
}

type Queues = Arc<Mutex<HashMap<SocketAddr, Link>>>;

/// The connections to other gateways.
pub struct Peers {
    hello: Hello,
    core: Handle<GatewayCore>,
    queues: Queues,
    bulk: Bulk,
}

impl Peers {
    /// None yet.
    pub fn new(own: SocketAddr, incarnation: u64, core: Handle<GatewayCore>) -> Self {
        let hello = Hello::new(own, incarnation);
        let bulk = Bulk::new(Hello { answers: false, ..hello.clone() });
        Self { hello, core, queues: Queues::default(), bulk }
    }

    /// What [`accept`] answers to other gateways' greetings.
    pub fn greeting(&self) -> Hello {
        self.hello.clone()
    }

    /// Queues a message; a connection is made where there is none.
    pub fn tell(&self, to: SocketAddr, message: PeerMessage) {
        match message {
            PeerMessage::Configuration { revision, ref deployment, pull, era } => {
                let which = (Position::new(era, revision), deployment.version);
                if !self.bulk.send(to, pull, which, &message) {
                    self.spread(&[to], PeerMessage::NoConfiguration);
                }
            }
            message => self.spread(&[to], message),
        }
    }

    /// Queues one message for several, written once.
    pub fn spread(&self, to: &[SocketAddr], message: PeerMessage) {
        let outgoing = Arc::new(Outgoing::new(message));
        for &to in to {
            self.queue(to, outgoing.clone());
        }
    }

    /// Gives up the connection to a peer, and what waits for it.
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
        let (queue, receiver) = mpsc::channel(QUEUE);
        let hello = self.hello.clone();
        let (core, queues, own_queue) = (self.core.clone(), self.queues.clone(), queue.clone());
        let task = tokio::spawn(async move {
            let was_connected = run(to, &hello, receiver, &core).await;
            forget(&queues, to, &own_queue);
            let event = if was_connected {
                Event::PeerOutboundFailed { address: to }
            } else {
                Event::PeerUnreachable { address: to }
            };
            core.send(event).await.ok();
        });
        Link { queue, task: task.abort_handle() }
    }
}

fn forget(queues: &Queues, to: SocketAddr, queue: &mpsc::Sender<Arc<Outgoing>>) {
    let mut queues = queues.lock().unwrap_or_else(PoisonError::into_inner);
    if queues.get(&to).is_some_and(|link| link.queue.same_channel(queue)) {
        queues.remove(&to);
    }
}

pub(super) type Connection = Framed<TcpStream, LengthDelimitedCodec>;

pub(super) fn framed(stream: TcpStream) -> Connection {
    stream.set_nodelay(true).ok();
    SockRef::from(&stream).set_tcp_user_timeout(Some(SILENT_TIMEOUT)).ok();
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_framed(stream)
}

/// Sends what is queued until the connection breaks; says whether there was one.
async fn run(
    to: SocketAddr,
    hello: &Hello,
    queue: mpsc::Receiver<Arc<Outgoing>>,
    core: &Handle<GatewayCore>,
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

async fn send_all(
    mut connection: Connection,
    mut queue: mpsc::Receiver<Arc<Outgoing>>,
    core: &Handle<GatewayCore>,
) {
    // What the peer reads, once it has greeted on this connection.
    let mut form = None;
    loop {
        tokio::select! {
            message = queue.recv() => {
                let Some(message) = message else { return };
                if connection.feed(message.for_reader(form)).await.is_err() {
                    return;
                }
                while let Ok(message) = queue.try_recv() {
                    if connection.feed(message.for_reader(form)).await.is_err() {
                        return;
                    }
                }
                if SinkExt::<Bytes>::flush(&mut connection).await.is_err() {
                    return;
                }
            }
            // Peers send nothing more this way: whatever else comes is the end.
            answer = connection.next() => {
                let greeting = answer.and_then(Result::ok).filter(|_| form.is_none());
                let greeting = greeting.and_then(|a| serde_json::from_slice::<Hello>(&a).ok());
                let Some(greeting) = greeting else { return };
                form = Some(greeting.form);
                core.send(greeting.greeted()).await.ok();
            }
        }
    }
}

/// Takes connections of other gateways, which are answered with a greeting.
pub async fn accept(listener: TcpListener, core: Handle<GatewayCore>, greeting: Hello) {
    let receives = Receives::default();
    let greeting = json(&greeting);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (receives, core) = (receives.clone(), core.clone());
                tokio::spawn(receive(stream, receives, core, greeting.clone()));
            }
            Err(_) => tokio::time::sleep(CONNECT_TIMEOUT).await,
        }
    }
}

async fn receive(
    stream: TcpStream,
    receives: Receives,
    core: Handle<GatewayCore>,
    greeting: Bytes,
) {
    let mut connection = framed(stream);
    let Some(Ok(first)) = connection.next().await else {
        return;
    };
    let Ok(hello) = serde_json::from_slice::<Hello>(&first) else {
        return;
    };
    if hello.bulk {
        receives.start(connection, hello, core);
        return;
    }
    core.send(hello.greeted()).await.ok();
    let is_answered = !hello.answers || connection.send(greeting).await.is_ok();
    let (address, incarnation) = (hello.address, hello.incarnation);
    if is_answered && receive_all(connection, &hello, &core).await.is_err() {
        return;
    }
    core.send(Event::PeerInboundFailed { address, incarnation }).await.ok();
}

/// Hands on what a peer sends until its connection ends, or until it sends what is in a form that is not known: its
/// end tells the peer at once that this was not read, and it says anew what it had to say.
async fn receive_all(
    mut connection: Connection,
    hello: &Hello,
    core: &Handle<GatewayCore>,
) -> Result<(), Stopped> {
    let from = hello.address;
    while let Ok(Some(Ok(frame))) = timeout(IDLE, connection.next()).await {
        match read(&frame, hello.form) {
            Ok(message) => core.send(Event::PeerMessage { from, message }).await?,
            Err(unread) => {
                metrics::counter!(crate::metrics::PEER_BAD).increment(1);
                core.send(Event::PeerMessageUnreadable {
                    from,
                    announced_form: hello.form,
                    unread,
                })
                .await?;
                if matches!(unread, Unread::Form(_)) {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}
