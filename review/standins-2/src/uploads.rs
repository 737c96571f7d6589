//! A burst of requests with bodies of the permitted size.

use std::collections::{BTreeMap, HashSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::{Gateway, memory_of, send_signal};
use crate::http::{Connection, Message, response};
use crate::store::Store;
use crate::{Result, Setup, address};

/// Gateways, each the only one of its zone.
const GATEWAYS: usize = 2;
/// Requests of the kind `walkthrough-script` a second in a zone with one gateway, `howrah-hall` of the
/// deployment `bavg-render`: 19.2 requests a second, of which 32.4 in 142.1 are of this kind.
const USUAL_PER_S: f64 = 4.38;
/// The largest burst of that kind in the deployment's site file, and its length.
const BURST: f64 = 2.6;
const BURST_TIME: Duration = Duration::from_millis(6_800);
/// Time with usual traffic before each burst.
const USUAL_TIME: Duration = Duration::from_secs(4);
/// Bursts, as many as a day of the site file has; a rule on ends of processes needs three.
const ROUNDS: usize = 3;
/// `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// A caller writes its body in 0.5 s: 67 Mbit/s, at a gateway at most 420 of its 1,000 Mbit/s.
const PART_BYTES: usize = 131_072;
const PART_PAUSE: Duration = Duration::from_millis(16);
/// `memory_mb` of the gateways' settings. The platform ends a process that goes over it.
const MEMORY_BYTES: u64 = 260 << 20;
/// Deadline of the kind of request.
const DEADLINE: Duration = Duration::from_secs(20);
const REPLICAS: usize = 6;
/// Time to the first event, within the objective of 2,500 ms.
const FIRST_EVENT: Duration = Duration::from_millis(1_500);
/// Mean number of events, and a pause between them that is well below 400 ms.
const EVENTS: usize = 76;
const EVENT_PAUSE: Duration = Duration::from_millis(70);
/// Pause of the platform before it starts an ended process again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Ids of the requests that replicas ran.
type Runs = Arc<Mutex<HashSet<String>>>;

const CONFIGURATION: &str = r#"{"version":7,"routes":[
  {"name":"r-script","host":"h.example","path_prefix":"/script/","kind":"stream","timeout_ms":20000,
   "slo_ms":2500,"priority":1,"service":"llm","max_attempts":1,"public":false,"resume_streams":false,"gap_target_ms":400}],
 "services":[{"name":"llm","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,
   "engine":{"slots":64,"kv_capacity":621758}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"guild","api_keys":["key-1"],"priority":1}]}"#;

pub fn run(setup: &Setup) -> Result<bool> {
    let record = &setup.record;
    let store = Store::start()?;
    let runs = Runs::default();
    for number in 0..REPLICAS {
        let id = format!("i-llm-{number}");
        let replica = replica(&id, runs.clone())?;
        let entry = format!(
            r#"{{"service":"llm","address":"{replica}","zone":"hall","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":1}}"#
        );
        store.put(&format!("servers/{id}"), &entry);
    }
    store.put("op/config", CONFIGURATION);
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        let (ip, name) = (address(number as u8 + 1), format!("front-{}", number + 1));
        let (program, folder) = (&setup.program, &setup.folder);
        gateways.push(Gateway::start(program, folder, &name, (ip, address(1)), store.address)?);
    }
    let factor = if setup.has_trouble { BURST } else { 1.0 };
    let burst_per_s = USUAL_PER_S * factor;
    record.line(&format!(
        "bodies of {BODY_BYTES} bytes; {USUAL_PER_S} requests a second at each gateway, {burst_per_s:.2} in a burst of 6.8 s"
    ));
    let mut ends = vec![0; GATEWAYS];
    for round in 1..=ROUNDS {
        let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
        let watched: Vec<Watch> = gateways.iter().map(|g| Watch::start(g.process())).collect();
        let mut callers = Vec::new();
        let mut number = 0;
        for (time, per_s) in [(USUAL_TIME, USUAL_PER_S), (BURST_TIME, burst_per_s)] {
            let until = Instant::now() + time;
            let mut next = Instant::now();
            while next < until {
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                next += Duration::from_secs_f64(1.0 / per_s);
                for (gateway, front) in fronts.iter().copied().enumerate() {
                    if watched[gateway].is_over() {
                        continue;
                    }
                    let id = format!("{round:04x}{gateway:04x}{number:08x}");
                    let caller = id.clone();
                    callers.push((gateway, id, std::thread::spawn(move || ask(front, &caller))));
                }
                number += 1;
            }
        }
        let mut outcomes: Vec<BTreeMap<String, usize>> = vec![BTreeMap::new(); GATEWAYS];
        let mut unanswered_runs = vec![0; GATEWAYS];
        for (gateway, id, caller) in callers {
            let outcome = caller.join().unwrap_or_else(|_| "no outcome".to_owned());
            let has_run = runs.lock().expect("runs").contains(&id);
            unanswered_runs[gateway] += usize::from(has_run && !outcome.starts_with("whole"));
            *outcomes[gateway].entry(outcome).or_default() += 1;
        }
        for (number, (gateway, watch)) in gateways.iter_mut().zip(watched).enumerate() {
            let (peak, was_ended) = watch.stop();
            record.line(&format!(
                "round {round}, {}: at most {} MiB of {} MiB; {:?}; ran and not answered whole: {}",
                gateway.name,
                peak >> 20,
                MEMORY_BYTES >> 20,
                outcomes[number],
                unanswered_runs[number],
            ));
            if was_ended {
                ends[number] += 1;
                gateway.kill();
                record.line(&format!("round {round}, {}: over its memory, ended", gateway.name));
                std::thread::sleep(RESTART_PAUSE);
                gateway.start_again()?;
            }
        }
    }
    let often = ends.iter().filter(|ends| **ends >= 3).count();
    record.line(&format!(
        "ends over the memory limit: {ends:?}; machines with three: {often} of {GATEWAYS}"
    ));
    Ok(often < 2)
}

/// Plays the platform: watches the memory of a process, and ends it if it goes over the limit.
struct Watch {
    is_stopped: Arc<AtomicBool>,
    was_ended: Arc<AtomicBool>,
    peak: Arc<AtomicU64>,
    thread: std::thread::JoinHandle<()>,
}

impl Watch {
    fn start(process: u32) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let was_ended = Arc::new(AtomicBool::new(false));
        let peak = Arc::new(AtomicU64::new(0));
        let (stop, ended, highest) = (is_stopped.clone(), was_ended.clone(), peak.clone());
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let memory = memory_of(process);
                highest.fetch_max(memory, Ordering::Relaxed);
                if memory > MEMORY_BYTES {
                    ended.store(send_signal("KILL", process).is_ok(), Ordering::Relaxed);
                    return;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        Self { is_stopped, was_ended, peak, thread }
    }

    fn is_over(&self) -> bool {
        self.was_ended.load(Ordering::Relaxed)
    }

    /// Highest resident memory in bytes, and whether the process was ended.
    fn stop(self) -> (u64, bool) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().ok();
        (self.peak.load(Ordering::Relaxed), self.was_ended.load(Ordering::Relaxed))
    }
}

/// Sends a request and returns what came of it.
fn ask(front: SocketAddr, id: &str) -> String {
    let sent = || -> Result<Message> {
        let mut stream = TcpStream::connect(front)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        let head = format!(
            "POST /script/a HTTP/1.1\r\nHost: h.example\r\nStackmast-Request-Id: {id}\r\nStackmast-Model: m\r\n\
             Stackmast-Deadline-Ms: {}\r\nAuthorization: Bearer key-1\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
            DEADLINE.as_millis()
        );
        stream.write_all(head.as_bytes())?;
        let part = vec![b'a'; PART_BYTES];
        for _ in 0..BODY_BYTES / PART_BYTES {
            stream.write_all(&part)?;
            std::thread::sleep(PART_PAUSE);
        }
        Ok(Connection::new(stream).read()?.ok_or("closed")?)
    };
    match sent() {
        Ok(answer) => format!("whole answer {}", answer.status()),
        Err(_) => "no whole answer".to_owned(),
    }
}

/// Starts a sound replica that answers with streams.
fn replica(id: &str, runs: Runs) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let id = id.to_owned();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs) = (id.clone(), runs.clone());
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    if answer(&mut connection, &id, &request, &runs).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

fn answer(
    connection: &mut Connection,
    id: &str,
    request: &Message,
    runs: &Runs,
) -> std::io::Result<()> {
    let own = format!("Stackmast-Replica-Id: {id}\r\n");
    let Some(request_id) = request.field("stackmast-request-id") else {
        return connection.write(response("200 OK", &own, "").as_bytes());
    };
    if request.field("stackmast-expect-instance").is_some_and(|meant| meant != id) {
        return connection.write(response("421 Misdirected Request", &own, "").as_bytes());
    }
    runs.lock().expect("runs").insert(request_id.to_owned());
    std::thread::sleep(FIRST_EVENT);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Stackmast-Request-Id: {request_id}\r\nStackmast-Response-Signature: 3e1b.{request_id}\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    for event in 0..EVENTS {
        let text = format!("id: {event}\ndata: tokens\n\n");
        connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        std::thread::sleep(EVENT_PAUSE);
    }
    connection.write(b"0\r\n\r\n")
}
