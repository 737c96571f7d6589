//! Replicas leave while one gateway after the other is killed and started again. The replicas check
//! that no request comes later than `drain_ms` after the store took their leaving.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateways::{self, Bounds};
use crate::http::{Connection, response};
use crate::record::{Folder, Random, Record};
use crate::store::Store;

const GATEWAYS: usize = 4;
const BOUNDS: Bounds =
    Bounds { contact_ms: 4_000, drain_ms: 3_000, config_ms: 3_000, retry_slack: 96 };
/// Replicas of the service, and entries on a page of the store, as on the grown sites.
const REPLICAS: usize = 110;
const PAGE: usize = 50;
/// A stream: its events and the time between them.
const EVENTS: u64 = 30;
const EVENT_GAP: Duration = Duration::from_millis(100);
const DRAIN: Duration = Duration::from_millis(BOUNDS.drain_ms);
/// A replica serves on for `drain_ms` and this much longer, then ends.
const LONGER: Duration = Duration::from_millis(5_000);
/// Replicas of a round that are emptied and taken away: a share of 0.13.
const LEAVING: usize = 14;
/// Time within which they all say so.
const SPREAD_MS: f64 = 20.0;
const ROUNDS: usize = 9;
const ROUND: Duration = Duration::from_millis(9_000);
/// How long a killed process is away.
const AWAY: Duration = Duration::from_millis(700);
const CLIENTS: usize = 160;
/// Clients that send short requests; the others ask for streams.
const SHORT: usize = 48;
const WORK: Duration = Duration::from_millis(15);
const PAUSE: Duration = Duration::from_millis(180);

struct Replica {
    id: String,
    address: SocketAddr,
    /// When the store took that it leaves.
    leaves_since: Mutex<Option<Instant>>,
    /// Whether it has ended.
    ended: AtomicBool,
    running: AtomicUsize,
}

struct World {
    record: Record,
    /// Gateways that were killed, and when they were started again.
    started: Mutex<Vec<Instant>>,
    late: AtomicUsize,
    /// Those that were still at work when the replica ended, so that their streams were cut off.
    cut: AtomicUsize,
    served: AtomicUsize,
    not_served: AtomicUsize,
    is_over: AtomicBool,
}

impl Replica {
    fn serve(&self, mut connection: Connection, world: &World) {
        connection.set_timeout(Duration::from_secs(60));
        while let Some(request) = connection.message() {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            if request.header("stackmast-expect-instance").is_some_and(|id| id != self.id) {
                connection.write(&response(421, &[("Stackmast-Replica-Id", &self.id)], b""));
                continue;
            }
            let name = request.header("stackmast-request-id").unwrap_or_default().to_owned();
            let gateway: usize = name.split('-').nth(1).and_then(|g| g.parse().ok()).unwrap_or(0);
            let since = *self.leaves_since.lock().expect("state");
            let late = since.map(|since| since.elapsed()).filter(|late| *late > DRAIN);
            // Only machines in touch count: not killed or started in the last `contact_ms`.
            let started = world.started.lock().expect("started")[gateway];
            if let Some(late) =
                late.filter(|_| started.elapsed() > Duration::from_millis(BOUNDS.contact_ms + 500))
            {
                world.late.fetch_add(1, Ordering::SeqCst);
                world.record.line(&format!(
                    "DRAIN {name} from gateway {gateway} reaches {} {} ms after the store took its leaving",
                    self.id,
                    late.as_millis()
                ));
            }
            let load = format!("{},0,64", self.running.fetch_add(1, Ordering::SeqCst));
            if request.path().starts_with("/hold/") {
                std::thread::sleep(WORK);
                self.running.fetch_sub(1, Ordering::SeqCst);
                let headers = [
                    ("Stackmast-Request-Id", name.as_str()),
                    ("Stackmast-Response-Signature", "s.1"),
                    ("Stackmast-Replica-Load", &load),
                ];
                if !connection.write(&response(200, &headers, b"confirmed")) {
                    return;
                }
                continue;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nStackmast-Request-Id: {name}\r\nStackmast-Response-Signature: s.1\r\nStackmast-Replica-Load: {load}\r\n\r\n"
            );
            let mut is_open = connection.write(head.as_bytes());
            for number in 1..=EVENTS {
                is_open = is_open && !connection.is_closed();
                let has_ended = self.ended.load(Ordering::SeqCst);
                if has_ended && is_open && late.is_some() {
                    world.cut.fetch_add(1, Ordering::SeqCst);
                    world.record.line(&format!(
                        "LOST {} ends with {name} at work, after {} events of {EVENTS}",
                        self.id,
                        number - 1
                    ));
                }
                if has_ended || !is_open {
                    is_open = false;
                    break;
                }
                let event = format!("id: {number}\ndata: {name}\n\n");
                is_open = connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
                std::thread::sleep(EVENT_GAP);
            }
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !is_open || !connection.write(b"0\r\n\r\n") {
                return;
            }
        }
    }
}

fn entry(address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"service":"book","address":"{address}","zone":"hall-1","version":"v1","slots":64,"state":"{state}","cold_left_ms":0,"seq":1}}"#
    )
}

fn configuration() -> String {
    r#"{"version":7,"routes":[{"name":"r-hold","host":"jepu9.example","path_prefix":"/hold/","kind":"non_idempotent","timeout_ms":1500,"slo_ms":120,"priority":1,"service":"book","max_attempts":1,"public":false},
{"name":"r-plan","host":"jepu9.example","path_prefix":"/plan/","kind":"stream","timeout_ms":15000,"slo_ms":1700,"priority":1,"service":"book","max_attempts":1,"public":false,"resume_streams":false,"gap_target_ms":400}],
"services":[{"name":"book","health_path":"/health","max_conns":320}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"guild","api_keys":["key-1"]}]}"#
        .to_owned()
}

fn start_replica(number: usize, store: &Store, world: &Arc<World>) -> Option<Arc<Replica>> {
    let listener = TcpListener::bind("127.0.0.1:0").ok()?;
    let replica = Arc::new(Replica {
        // Ids look random; the store lists them in their order.
        id: format!("i-{:08x}", (number as u32 + 1).wrapping_mul(0x9e37_79b9)),
        address: listener.local_addr().ok()?,
        leaves_since: Mutex::default(),
        ended: AtomicBool::new(false),
        running: AtomicUsize::new(0),
    });
    let (own, world) = (replica.clone(), world.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if own.ended.load(Ordering::SeqCst) {
                return;
            }
            let (replica, world) = (own.clone(), world.clone());
            std::thread::spawn(move || replica.serve(Connection::new(stream), &world));
        }
    });
    store.put(&format!("servers/{}", replica.id), &entry(replica.address, "ready"));
    Some(replica)
}

/// A replica leaves: it says so, serves on for the time to drain and longer, and ends.
fn leave(replica: Arc<Replica>, store: Store, world: Arc<World>, wait: Duration) {
    std::thread::sleep(wait);
    let key = format!("servers/{}", replica.id);
    let revision = store.put(&key, &entry(replica.address, "draining"));
    *replica.leaves_since.lock().expect("state") = Some(Instant::now());
    world.record.line(&format!("{} says draining, revision {revision}", replica.id));
    std::thread::sleep(DRAIN + LONGER);
    replica.ended.store(true, Ordering::SeqCst);
    // Frees the port: the listener's thread wakes and ends.
    std::net::TcpStream::connect(replica.address).ok();
    store.remove(&key);
}

fn client(number: usize, fronts: &[SocketAddr], world: &World) {
    let gateway = number % fronts.len();
    let mut connection: Option<Connection> = None;
    let mut count = 0;
    std::thread::sleep(PAUSE.mul_f64(number as f64 / CLIENTS as f64));
    while !world.is_over.load(Ordering::SeqCst) {
        let mut open = match connection.take() {
            Some(open) => open,
            None => match std::net::TcpStream::connect(fronts[gateway]) {
                Ok(stream) => {
                    let open = Connection::new(stream);
                    open.set_timeout(Duration::from_secs(16));
                    open
                }
                Err(_) => {
                    std::thread::sleep(PAUSE);
                    continue;
                }
            },
        };
        count += 1;
        let name = format!("r{number}-{gateway}-{count}");
        let request = format!(
            "POST /{}/x HTTP/1.1\r\nHost: jepu9.example\r\nStackmast-Request-Id: {name}\r\nStackmast-Deadline-Ms: 15000\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nhold",
            if number < SHORT { "hold" } else { "plan" }
        );
        let answer = if open.write(request.as_bytes()) { open.message() } else { None };
        match &answer {
            Some(answer) if answer.status() == 200 => {
                world.served.fetch_add(1, Ordering::SeqCst);
            }
            _ => {
                let status = answer.as_ref().map(|answer| answer.status());
                world.record.line(&format!("{name} at gateway {gateway} answered {status:?}"));
                world.not_served.fetch_add(1, Ordering::SeqCst);
            }
        }
        let is_kept = answer.is_some_and(|answer| answer.header("connection") != Some("close"));
        connection = Some(open).filter(|_| is_kept);
        std::thread::sleep(PAUSE);
    }
}

pub fn play(record: &Record, trouble: bool) -> Option<bool> {
    let folder = Folder::new();
    let world = Arc::new(World {
        record: record.clone(),
        started: Mutex::new(vec![Instant::now(); GATEWAYS]),
        late: AtomicUsize::new(0),
        cut: AtomicUsize::new(0),
        served: AtomicUsize::new(0),
        not_served: AtomicUsize::new(0),
        is_over: AtomicBool::new(false),
    });
    let store = Store::start(PAGE, record);
    let mut replicas = VecDeque::new();
    for number in 0..REPLICAS {
        replicas.push_back(start_replica(number, &store, &world)?);
    }
    store.put("op/config", &configuration());
    let mut gateways = gateways::start(&folder.0, &[store.address; GATEWAYS], &BOUNDS);
    if !gateways::all_ready(&gateways) {
        record.line("the gateways did not become ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(3));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fronts, world) = (fronts.clone(), world.clone());
            std::thread::spawn(move || client(number, &fronts, &world))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let mut random = Random(0x5eed_1234_5678 ^ u64::from(std::process::id()) << 20);
    let mut next = REPLICAS;
    let begun = Instant::now();
    for round in 0..ROUNDS {
        let victim = round % GATEWAYS;
        record.line(&format!("round {round}"));
        if trouble {
            gateways[victim].child.kill().ok();
            gateways[victim].child.wait().ok();
            *world.started.lock().expect("started").get_mut(victim)? = Instant::now();
            record.line(&format!("gateway {victim} is killed"));
        }
        std::thread::sleep(AWAY);
        if trouble {
            gateways[victim].relaunch();
            *world.started.lock().expect("started").get_mut(victim)? = Instant::now();
            record.line(&format!("gateway {victim} is started again"));
        }
        for _ in 0..LEAVING {
            let replica = replicas.pop_front()?;
            let (store, world) = (store.clone(), world.clone());
            let wait = Duration::from_secs_f64(random.next() * SPREAD_MS / 1e3);
            std::thread::spawn(move || leave(replica, store, world, wait));
        }
        // Others come in their place.
        std::thread::sleep(Duration::from_secs(1));
        for _ in 0..LEAVING {
            replicas.push_back(start_replica(next, &store, &world)?);
            next += 1;
        }
        let until = begun + ROUND * (round as u32 + 1);
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
    world.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    record.line(&format!(
        "{} requests served, {} not; {} requests of machines in touch reached a replica later than drain_ms after the store took its leaving; {} of them were cut off when it ended",
        count(&world.served),
        count(&world.not_served),
        count(&world.late),
        count(&world.cut),
    ));
    if count(&world.served) < 500 {
        return None;
    }
    Some(count(&world.late) == 0)
}
