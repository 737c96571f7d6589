//! Stand-in for the platform's store: keys, ranges and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};

/// Revision and value of an item; `None` if it was removed.
type Written = (u64, Option<String>);

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Written>,
}

/// The store; clones share its contents.
#[derive(Clone)]
pub struct Store {
    contents: Arc<(Mutex<Contents>, Condvar)>,
    /// Open connections, which are closed with the store.
    connections: Arc<Mutex<Vec<TcpStream>>>,
    is_closed: Arc<AtomicBool>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            contents: Arc::default(),
            connections: Arc::default(),
            is_closed: Arc::default(),
            address: listener.local_addr()?,
        };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.is_closed.load(Ordering::Relaxed) {
                    return;
                }
                let store = server.clone();
                if let Ok(stream) = stream.try_clone() {
                    server.connections.lock().expect("connections").push(stream);
                }
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.contents.0.lock().expect("contents");
        contents.revision += 1;
        let written = (contents.revision, Some(base64(value.as_bytes())));
        contents.items.insert(key.to_owned(), written);
        self.contents.1.notify_all();
    }

    /// Takes over the contents of another store, with their revisions.
    pub fn copy_from(&self, other: &Self) {
        let other = other.contents.0.lock().expect("contents");
        let mut contents = self.contents.0.lock().expect("contents");
        contents.revision = other.revision;
        contents.items = other.items.clone();
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        // The listener is closed once it has accepted this connection.
        TcpStream::connect(self.address).ok();
        for stream in self.connections.lock().expect("connections").drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            if connection.write(self.answer(&request).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let since = request.query("since_rev").unwrap_or_default();
        let json = "Content-Type: application/json\r\n";
        if request.target().starts_with("/kv-range") {
            let contents = self.contents.0.lock().expect("contents");
            let items: Vec<String> = contents
                .items
                .iter()
                .filter(|(key, written)| key.starts_with(prefix) && written.1.is_some())
                .filter(|(key, _)| since.is_empty() || key.as_str() > since)
                .map(|(key, written)| item(key, written))
                .collect();
            let (items, at) = (items.join(","), contents.revision);
            let body = format!("{{\"items\":[{items}],\"more\":false,\"at\":{at}}}");
            return response("200 OK", json, &body);
        }
        if request.target().starts_with("/kv-watch") {
            let since: u64 = since.parse().unwrap_or(0);
            let wait = request.query("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            let mut contents = self.contents.0.lock().expect("contents");
            loop {
                let is_new = |(key, written): &(&String, &Written)| {
                    key.starts_with(prefix) && written.0 > since
                };
                let events: Vec<String> =
                    contents.items.iter().filter(is_new).map(|(k, w)| item(k, w)).collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let (events, at) = (events.join(","), contents.revision);
                    let body = format!("{{\"events\":[{events}],\"at\":{at}}}");
                    return response("200 OK", json, &body);
                }
                contents = self.contents.1.wait_timeout(contents, left).expect("contents").0;
            }
        }
        response("404 Not Found", "", "")
    }
}

fn item(key: &str, (revision, value): &Written) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= group.len() {
                text.push(SIGNS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
