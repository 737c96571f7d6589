//! A TCP proxy that injects faults between two processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Buffer size in bytes.
const BUFFER: usize = 16 << 10;
/// Buffer size of a trickling link in bytes.
const TRICKLE_BUFFER: usize = 16;
/// Pause between two writes of a trickling link.
const TRICKLE_PAUSE: Duration = Duration::from_millis(2);

/// Behaviour of the proxy for the data that it relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Link {
    /// Forwards data immediately.
    #[default]
    Up,
    /// Forwards data after this delay.
    Delayed(Duration),
    /// Forwards a few bytes at a time.
    Trickling,
    /// Forwards no data and keeps connections open.
    Frozen,
    /// Forwards data from the client only.
    OneWay,
    /// Closes connections and refuses new ones.
    Cut,
}

/// A running proxy; stopped on drop.
#[derive(Debug)]
pub struct Proxy {
    /// Address for clients.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
    task: AbortHandle,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy on `listen` that forwards to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (link, watched) = watch::channel(Link::Up);
        let task = tokio::spawn(accept(listener, target, watched));
        Ok(Self { address, link, task: task.abort_handle() })
    }

    /// Sets the behaviour, also for open connections.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, link: watch::Receiver<Link>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        if *link.borrow() == Link::Cut {
            continue;
        }
        connections.spawn(connect(client, target, link.clone()));
    }
}

async fn connect(client: TcpStream, target: SocketAddr, link: watch::Receiver<Link>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let link = Arc::new(link);
    let up = pump(client_in, server_out, (*link).clone(), Direction::FromClient);
    let down = pump(server_in, client_out, (*link).clone(), Direction::FromServer);
    // The connection is closed when either direction ends.
    tokio::select! {
        () = up => {}
        () = down => {}
        () = cut((*link).clone()) => {}
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    FromClient,
    FromServer,
}

async fn cut(mut link: watch::Receiver<Link>) {
    link.wait_for(|l| *l == Link::Cut).await.ok();
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let holds = |l: &Link| {
            *l == Link::Frozen || *l == Link::OneWay && direction == Direction::FromServer
        };
        if link.wait_for(|l| !holds(l)).await.is_err() {
            return;
        }
        let now = *link.borrow();
        let limit = if now == Link::Trickling { TRICKLE_BUFFER } else { BUFFER };
        let Ok(len @ 1..) = from.read(&mut buffer[..limit]).await else {
            return;
        };
        match now {
            Link::Delayed(time) => tokio::time::sleep(time).await,
            Link::Trickling => tokio::time::sleep(TRICKLE_PAUSE).await,
            Link::Up | Link::Frozen | Link::OneWay | Link::Cut => {}
        }
        if link.wait_for(|l| !holds(l)).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}
