//! Stand-in for the platform's store: keys, ranges and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};
use crate::record::Record;

struct Item {
    revision: u64,
    made: u64,
    value: Option<String>,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
}

#[derive(Clone)]
pub struct Store {
    contents: Arc<(Mutex<Contents>, Condvar)>,
    pub address: SocketAddr,
    /// Items on a page of a range.
    page: usize,
    record: Record,
}

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let bits = (u32::from(three[0]) << 16)
            | (u32::from(*three.get(1).unwrap_or(&0)) << 8)
            | u32::from(*three.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= three.len() {
                out.push(char::from(SIGNS[(bits >> (18 - 6 * place)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

impl Store {
    pub fn start(page: usize, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let record = record.clone();
        let store = Self { contents: Arc::default(), address, page, record };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a key and returns the revision.
    pub fn put(&self, key: &str, text: &str) -> u64 {
        self.change(key, Some(base64(text.as_bytes())))
    }

    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().expect("contents");
        contents.revision += 1;
        let revision = contents.revision;
        let before = contents.items.get(key).filter(|item| item.value.is_some());
        let made = before.map_or(revision, |item| item.made);
        contents.items.insert(key.to_owned(), Item { revision, made, value });
        changed.notify_all();
        revision
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.message() {
            let answer = self.answer(&request);
            if !connection.write(&answer) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let number =
            |name: &str| request.query(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().expect("contents");
        let headers = [("content-type", "application/json")];
        match request.path() {
            "/kv-range" => {
                let after = request.query("since_rev").unwrap_or_default();
                let found = contents
                    .items
                    .iter()
                    .filter(|(k, i)| k.starts_with(&prefix) && **k > after && i.value.is_some());
                let mut found = found.peekable();
                let items: Vec<String> =
                    found.by_ref().take(self.page).map(|(k, i)| written(k, i)).collect();
                let more = found.peek().is_some();
                let at = contents.revision;
                if prefix == "servers/" {
                    self.record.line(&format!("store: page after {after:?} as of revision {at}"));
                }
                let body = format!(r#"{{"items":[{}],"more":{more},"at":{at}}}"#, items.join(","));
                drop(contents);
                std::thread::sleep(ANSWER_TIME);
                response(200, &headers, body.as_bytes())
            }
            "/kv-watch" => {
                let since = number("since_rev");
                let until = Instant::now() + Duration::from_millis(number("wait_ms"));
                loop {
                    let found = contents
                        .items
                        .iter()
                        .filter(|(k, i)| k.starts_with(&prefix) && i.revision > since);
                    let events: Vec<String> = found.map(|(k, i)| written(k, i)).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            r#"{{"events":[{}],"at":{}}}"#,
                            events.join(","),
                            contents.revision
                        );
                        drop(contents);
                        std::thread::sleep(ANSWER_TIME);
                        return response(200, &headers, body.as_bytes());
                    }
                    contents = changed.wait_timeout(contents, left).expect("contents").0;
                }
            }
            _ => response(404, &[], b""),
        }
    }
}

fn written(key: &str, item: &Item) -> String {
    let Item { revision, made, value } = item;
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"made":{made},"lease":0}}"#
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"gone":true}}"#),
    }
}
