//! Many users upload bodies of the permitted size at once.

use std::collections::{BTreeMap, HashSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::gateway::Gateway;
use crate::http::{Connection, Message, response};
use crate::store::Store;
use crate::{Result, Setup, address};

/// Gateways, each the only one of its zone.
const GATEWAYS: usize = 2;
/// Clients of a zone with one gateway (`howrah-hall` of the deployment `bavg-render`).
const USERS: usize = 22;
/// The largest burst in that deployment's site file.
const BURST: f64 = 2.6;
/// Bursts; a rule on ends of processes needs three.
const ROUNDS: usize = 3;
/// `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// A user writes a part of its body, then pauses: 13 Mbit/s each, below 1,000 Mbit/s for a gateway.
const PART_BYTES: usize = 65_536;
const PART_PAUSE: Duration = Duration::from_millis(40);
/// `memory_mb` of the gateways' settings. The platform ends a process that goes over it.
const MEMORY_BYTES: u64 = 260 << 20;
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(4_000);
const REPLICAS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Work of a request.
const WORK: Duration = Duration::from_millis(60);
/// Pause of the platform before it starts an ended process again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Ids of the requests that replicas ran.
type Runs = Arc<Mutex<HashSet<String>>>;

const CONFIGURATION: &str = r#"{"version":7,"routes":[
  {"name":"r-upload","host":"h.example","path_prefix":"/upload/","kind":"non_idempotent","timeout_ms":2000,
   "slo_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":false}],
 "services":[{"name":"desk","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"guild","api_keys":["key-1"],"priority":1}]}"#;

pub fn run(setup: &Setup) -> Result<bool> {
    let record = &setup.record;
    let store = Store::start()?;
    let runs = Runs::default();
    for number in 0..REPLICAS {
        let id = format!("i-desk-{number}");
        let replica = replica(&id, runs.clone())?;
        let entry = format!(
            r#"{{"service":"desk","address":"{replica}","zone":"hall","version":"v1","slots":{SLOTS},"state":"ready","cold_left_ms":0,"seq":1}}"#
        );
        store.put(&format!("servers/{id}"), &entry);
    }
    store.put("op/config", CONFIGURATION);
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        let (ip, name) = (address(number as u8 + 1), format!("front-{}", number + 1));
        let addresses = (ip, address(1));
        gateways.push(Gateway::start(
            &setup.program,
            &setup.folder,
            &name,
            addresses,
            store.address,
        )?);
    }
    let users = if setup.has_trouble { (USERS as f64 * BURST) as usize } else { USERS };
    record.line(&format!(
        "{users} users at each gateway upload {BODY_BYTES} bytes at once; usual: {USERS}"
    ));
    let mut ends = vec![0; GATEWAYS];
    for round in 1..=ROUNDS {
        let watched: Vec<Watch> =
            gateways.iter().map(|gateway| Watch::start(gateway.process())).collect();
        let mut uploads = Vec::new();
        for (number, gateway) in gateways.iter().enumerate() {
            for user in 0..users {
                let (front, id) = (gateway.front, format!("{round:04x}{number:04x}{user:08x}"));
                uploads.push((number, id.clone(), std::thread::spawn(move || upload(front, &id))));
            }
        }
        let mut outcomes: Vec<BTreeMap<String, usize>> = vec![BTreeMap::new(); GATEWAYS];
        let mut unanswered_runs = vec![0; GATEWAYS];
        for (number, id, upload) in uploads {
            let outcome = upload.join().unwrap_or_else(|_| "no outcome".to_owned());
            let is_answered = outcome.starts_with("answered");
            let has_run = runs.lock().expect("runs").contains(&id);
            unanswered_runs[number] += usize::from(has_run && !is_answered);
            *outcomes[number].entry(outcome).or_default() += 1;
        }
        for (number, (gateway, watch)) in gateways.iter_mut().zip(watched).enumerate() {
            let (peak, was_ended) = watch.stop();
            record.line(&format!(
                "round {round}, {}: at most {} MiB of {} MiB; {:?}; ran and not answered: {}",
                gateway.name,
                peak >> 20,
                MEMORY_BYTES >> 20,
                outcomes[number],
                unanswered_runs[number],
            ));
            if was_ended {
                ends[number] += 1;
                gateway.kill();
                record.line(&format!(
                    "round {round}, {}: over its memory, ended, started again",
                    gateway.name
                ));
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
    is_over: Arc<AtomicBool>,
    peak: Arc<AtomicU64>,
    thread: std::thread::JoinHandle<bool>,
}

impl Watch {
    fn start(process: u32) -> Self {
        let (is_over, peak) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stop, highest) = (is_over.clone(), peak.clone());
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let memory = crate::gateway::memory_of(process);
                highest.fetch_max(memory, Ordering::Relaxed);
                if memory > MEMORY_BYTES {
                    return crate::gateway::send_signal("KILL", process).is_ok();
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            false
        });
        Self { is_over, peak, thread }
    }

    /// Highest resident memory in bytes, and whether the process was ended.
    fn stop(self) -> (u64, bool) {
        self.is_over.store(true, Ordering::Relaxed);
        let was_ended = self.thread.join().unwrap_or(false);
        (self.peak.load(Ordering::Relaxed), was_ended)
    }
}

/// Uploads a body and returns what came of it.
fn upload(front: SocketAddr, id: &str) -> String {
    let sent = || -> Result<Message> {
        let mut stream = TcpStream::connect(front)?;
        stream.set_read_timeout(Some(DEADLINE * 2))?;
        let head = format!(
            "POST /upload/a HTTP/1.1\r\nHost: h.example\r\nStackmast-Request-Id: {id}\r\nStackmast-Deadline-Ms: {}\r\n\
             Authorization: Bearer key-1\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
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
        Ok(answer) => format!("answered {}", answer.status()),
        Err(_) => "closed without an answer".to_owned(),
    }
}

/// Starts a sound replica with slots and a queue.
fn replica(id: &str, runs: Runs) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (id, load) = (id.to_owned(), Arc::new((Mutex::new((0, 0)), Condvar::new())));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, load) = (id.clone(), runs.clone(), load.clone());
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    let answer = answer(&id, &request, &runs, &load);
                    if connection.write(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Running and waiting requests.
type Load = (Mutex<(usize, usize)>, Condvar);

fn answer(id: &str, request: &Message, runs: &Runs, load: &Load) -> String {
    let Some(request_id) = request.field("stackmast-request-id") else {
        return response("200 OK", &format!("Stackmast-Replica-Id: {id}\r\n"), "");
    };
    if request.field("stackmast-expect-instance").is_some_and(|meant| meant != id) {
        return response("421 Misdirected Request", &format!("Stackmast-Replica-Id: {id}\r\n"), "");
    }
    let fields = format!("Stackmast-Request-Id: {request_id}\r\n");
    {
        let mut counts = load.0.lock().expect("a load");
        if counts.1 >= QUEUE {
            return response(
                "503 Service Unavailable",
                &format!("{fields}Stackmast-Not-Executed: 1\r\n"),
                "",
            );
        }
        counts.1 += 1;
        let mut counts = load.1.wait_while(counts, |counts| counts.0 >= SLOTS).expect("a load");
        counts.1 -= 1;
        counts.0 += 1;
    }
    runs.lock().expect("runs").insert(request_id.to_owned());
    std::thread::sleep(WORK);
    load.0.lock().expect("a load").0 -= 1;
    load.1.notify_one();
    let fields = format!("{fields}Stackmast-Response-Signature: 3e1b.{request_id}\r\n");
    response("200 OK", &fields, "received")
}
