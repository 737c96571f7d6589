//! Some streams of model replicas have neither a length nor chunks, and model replicas crash. The
//! clients check that no stream that was cut short looks complete.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::gateways::{self, Bounds};
use crate::http::{Connection, response};
use crate::record::{Dose, Folder, Random, Record};
use crate::store::Store;

const GATEWAYS: usize = 3;
const BOUNDS: Bounds =
    Bounds { contact_ms: 3_000, drain_ms: 2_000, config_ms: 2_000, retry_slack: 52 };
const REPLICAS: usize = 18;
const EVENTS: u64 = 60;
const EVENT_GAP: Duration = Duration::from_millis(50);
const TRAFFIC: Duration = Duration::from_secs(74);
const BETWEEN: Duration = Duration::from_millis(16);
/// Answers without a length: share of the replicas, share of their answers, length, and the time
/// between the beginnings.
const SHARE: f64 = 0.5;
const DOSE: f64 = 0.05;
const FOR_MS: u128 = 5_000;
const EVERY: Duration = Duration::from_millis(6_000);
const FIRST: Duration = Duration::from_secs(4);
/// Crashes: replicas at once (a share of 0.17), when in each turn, and for how long.
const CRASHED: usize = 3;
const CRASH_AT: Duration = Duration::from_millis(3_500);
const CRASHED_FOR: Duration = Duration::from_millis(4_500);
/// An entry goes after three heartbeats of silence.
const SILENCE: Duration = Duration::from_millis(3 * 1_200);

fn since_epoch() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// A replica as a process: `replica ID SEED BEGIN`, where BEGIN is the begin of the traffic in Unix
/// milliseconds, or 0 for a replica that does not garble. Prints its address.
pub fn replica(arguments: &[String]) -> Option<()> {
    let [id, seed, begin] = arguments else {
        return None;
    };
    let begin: u128 = begin.parse().ok()?;
    let dose = Arc::new(Mutex::new(Dose::new(DOSE, seed.parse().ok()?)));
    let listener = TcpListener::bind("127.0.0.1:0").ok()?;
    println!("{}", listener.local_addr().ok()?);
    let running = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming().flatten() {
        let (id, dose, running) = (id.clone(), dose.clone(), running.clone());
        std::thread::spawn(move || {
            serve(&id, Connection::new(stream), begin, &dose, &running);
        });
    }
    None
}

fn serve(
    id: &str,
    mut connection: Connection,
    begin: u128,
    dose: &Mutex<Dose>,
    running: &AtomicUsize,
) {
    while let Some(request) = connection.message() {
        if request.header("stackmast-expect-instance").is_some_and(|expected| expected != id) {
            connection.write(&response(421, &[("Stackmast-Replica-Id", id)], b""));
            continue;
        }
        let name = request.header("stackmast-request-id").unwrap_or_default().to_owned();
        let load = format!("{},0,64", running.fetch_add(1, Ordering::SeqCst));
        let at = since_epoch().saturating_sub(begin);
        let first = FIRST.as_millis();
        let garbles = begin > 0 && at >= first && (at - first) % EVERY.as_millis() < FOR_MS;
        let unframed = garbles && dose.lock().expect("dose").next();
        let framing = if unframed { "connection: close" } else { "transfer-encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{framing}\r\nStackmast-Request-Id: {name}\r\nStackmast-Response-Signature: s.{name}\r\nStackmast-Replica-Load: {load}\r\n\r\n"
        );
        let mut is_open = connection.write(head.as_bytes());
        for number in 1..=EVENTS {
            if !is_open || connection.is_closed() {
                is_open = false;
                break;
            }
            let last = if number == EVENTS { " last" } else { "" };
            let event = format!("id: {number}\ndata: {id}{last}\n\n");
            is_open = if unframed {
                connection.write(event.as_bytes())
            } else {
                connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
            };
            std::thread::sleep(EVENT_GAP);
        }
        running.fetch_sub(1, Ordering::SeqCst);
        if !is_open || unframed || !connection.write(b"0\r\n\r\n") {
            return;
        }
    }
}

struct Replica {
    id: String,
    garbles: bool,
    child: Child,
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn launch(
    number: usize,
    life: usize,
    garbles: bool,
    begin: u128,
    store: &Store,
) -> Option<Replica> {
    let id = format!("i-{number}-{life}");
    let seed = (0x9e37_79b9 + number * 7919 + life * 104_729).to_string();
    let begin = if garbles { begin } else { 0 }.to_string();
    let mut child = Command::new(std::env::current_exe().ok()?)
        .args(["replica", &id, &seed, &begin])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .ok()?;
    let mut line = String::new();
    let output = child.stdout.take()?;
    std::io::BufRead::read_line(&mut std::io::BufReader::new(output), &mut line).ok()?;
    let address: SocketAddr = line.trim().parse().ok()?;
    let entry = format!(
        r#"{{"service":"llm","address":"{address}","zone":"hall-1","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":1}}"#
    );
    store.put(&format!("servers/{id}"), &entry);
    Some(Replica { id, garbles, child })
}

fn configuration() -> String {
    r#"{"version":7,"routes":[{"name":"r-script","host":"pule25.example","path_prefix":"/script/","kind":"stream","timeout_ms":20000,"slo_ms":2500,"priority":1,"service":"llm","max_attempts":1,"public":false,"affinity":true,"resume_streams":false,"gap_target_ms":400}],
"services":[{"name":"llm","health_path":"/health","max_conns":360,"engine":{"slots":64,"kv_capacity":600000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"guild","api_keys":["key-1"]}]}"#
        .to_owned()
}

#[derive(Default)]
struct Counts {
    whole: AtomicUsize,
    /// Streams that end as complete before their last event.
    cut_short: AtomicUsize,
    /// Streams that end visibly incomplete, and refused requests.
    not_served: AtomicUsize,
}

fn ask(number: usize, front: SocketAddr, record: &Record, counts: &Counts) {
    let name = format!("{number:016x}");
    let Ok(stream) = std::net::TcpStream::connect(front) else {
        return;
    };
    let mut connection = Connection::new(stream);
    connection.set_timeout(Duration::from_secs(25));
    let request = format!(
        "POST /script/x HTTP/1.1\r\nHost: pule25.example\r\nStackmast-Request-Id: {name}\r\nStackmast-Model: m\r\nStackmast-Token-Counts: 1460,300\r\nStackmast-Prefix-Hash: 5c1e07a2:800,91bd{:04x}:410,{name}:250\r\nStackmast-Deadline-Ms: 20000\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nwork",
        number % 97
    );
    let head = if connection.write(request.as_bytes()) { connection.head() } else { None };
    let Some(head) = head.filter(|head| head.status() == 200) else {
        counts.not_served.fetch_add(1, Ordering::Relaxed);
        return record.line(&format!("{name} is not served"));
    };
    let mut text = String::new();
    let is_chunked = head.header("transfer-encoding").is_some();
    // The end of a chunked stream is an empty chunk; a stream without it is visibly cut off.
    let is_complete = is_chunked
        && loop {
            match connection.chunk() {
                None => break false,
                Some(chunk) if chunk.is_empty() => break true,
                Some(chunk) => text += &String::from_utf8_lossy(&chunk),
            }
        };
    let events = text.matches("data: ").count();
    let of = text.lines().find_map(|line| line.strip_prefix("data: ")).unwrap_or_default();
    if !is_complete {
        counts.not_served.fetch_add(1, Ordering::Relaxed);
        record.line(&format!("{name} of {of} breaks off after {events} events, visibly"));
    } else if text.contains(" last\n") && events as u64 == EVENTS {
        counts.whole.fetch_add(1, Ordering::Relaxed);
    } else {
        counts.cut_short.fetch_add(1, Ordering::Relaxed);
        record.line(&format!(
            "ORDER {name} of {of} ends as complete after {events} of {EVENTS} events, without the last one"
        ));
    }
}

pub fn play(record: &Record, trouble: bool) -> Option<bool> {
    let folder = Folder::new();
    let store = Store::start(500, record);
    // Gateways get ready and settle before the traffic begins.
    let begin_in = Duration::from_secs(5);
    let begin = since_epoch() + begin_in.as_millis();
    let begun = Instant::now() + begin_in;
    let garbling = (REPLICAS as f64 * SHARE) as usize;
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let garbles = trouble && number < garbling;
        replicas.push(launch(number, 0, garbles, begin, &store)?);
    }
    store.put("op/config", &configuration());
    let gateways = gateways::start(&folder.0, &[store.address; GATEWAYS], &BOUNDS);
    if !gateways::all_ready(&gateways) {
        record.line("the gateways did not become ready");
        return None;
    }
    std::thread::sleep(begun.saturating_duration_since(Instant::now()));
    let counts = Arc::new(Counts::default());
    let mut random = Random(0x1234_5678_9abc ^ (u64::from(std::process::id()) << 16));
    let mut clients = Vec::new();
    let mut number = 0;
    let mut turn = 0;
    let mut away: Vec<(Instant, usize)> = Vec::new();
    let mut silent: Vec<(Instant, String)> = Vec::new();
    let mut lives = [0; REPLICAS];
    while begun.elapsed() < TRAFFIC {
        let front = gateways[number % GATEWAYS].front;
        let (own, own_counts) = (record.clone(), counts.clone());
        clients.push(std::thread::spawn(move || ask(number, front, &own, &own_counts)));
        number += 1;
        if trouble && begun.elapsed() >= FIRST + EVERY * turn + CRASH_AT {
            turn += 1;
            let mut chosen: Vec<usize> = Vec::new();
            while chosen.len() < CRASHED {
                let one = (random.next() * REPLICAS as f64) as usize;
                if !chosen.contains(&one) && away.iter().all(|(_, gone)| *gone != one) {
                    chosen.push(one);
                }
            }
            for one in chosen {
                // SIGKILL: the system closes the connections of the process.
                replicas[one].child.kill().ok();
                replicas[one].child.wait().ok();
                record.line(&format!("{} crashes", replicas[one].id));
                silent.push((Instant::now() + SILENCE, format!("servers/{}", replicas[one].id)));
                away.push((Instant::now() + CRASHED_FOR, one));
            }
        }
        silent.retain(|(until, key)| {
            let stays = Instant::now() < *until;
            if !stays {
                store.remove(key);
            }
            stays
        });
        let back: Vec<usize> =
            away.iter().filter(|(until, _)| Instant::now() >= *until).map(|a| a.1).collect();
        away.retain(|(_, one)| !back.contains(one));
        for one in back {
            lives[one] += 1;
            let garbles = replicas[one].garbles;
            replicas[one] = launch(one, lives[one], garbles, begin, &store)?;
            record.line(&format!("{} starts", replicas[one].id));
        }
        std::thread::sleep(BETWEEN);
    }
    for client in clients {
        client.join().ok();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    record.line(&format!(
        "{number} streams: {} whole, {} refused or visibly broken off, {} end as complete before their last event",
        count(&counts.whole),
        count(&counts.not_served),
        count(&counts.cut_short),
    ));
    if count(&counts.whole) * 2 < number {
        return None;
    }
    Some(count(&counts.cut_short) == 0)
}
