//! Stage replicas send some answers a second time, late: at the point where the next answer of
//! their connection is due. The model replicas check that each request comes with the results of
//! its own pieces.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::gateways::{self, Bounds};
use crate::http::{Connection, Message, response};
use crate::json::Json;
use crate::record::{Dose, Folder, Record};
use crate::store::Store;

const GATEWAYS: usize = 3;
const BOUNDS: Bounds =
    Bounds { contact_ms: 3_000, drain_ms: 2_000, config_ms: 2_000, retry_slack: 52 };
/// Stage services: name, pieces a call, milliseconds a piece, megabytes for results.
const STAGES: [(&str, usize, f64, f64); 3] =
    [("roll", 12, 17.0, 14.0), ("vault", 42, 4.9, 4.6), ("ledger", 32, 6.4, 0.35)];
/// Replicas of each stage service.
const REPLICAS: usize = 5;
const CALL_MS: f64 = 240.0;
/// Calls that may wait at a replica.
const QUEUE: usize = 2;
/// How long a result lies at its maker after its call.
const HANDLE_S: f64 = 6.0;
const ENGINES: usize = 6;
const EVENTS: u64 = 10;
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Length of the traffic, and the time between two requests.
const TRAFFIC: Duration = Duration::from_secs(60);
const BETWEEN: Duration = Duration::from_millis(45);
/// The disruption, at the dose of the site file: share of the replicas, share of their answers,
/// length; again and again with a pause.
const SHARE: f64 = 0.6;
const DOSE: f64 = 0.03;
const FOR: Duration = Duration::from_secs(5);
const EVERY: Duration = Duration::from_secs(6);
const FIRST: Duration = Duration::from_secs(4);

/// A result: the request, stage and piece that it was made for.
#[derive(Clone)]
struct Made {
    request: String,
    stage: usize,
    piece: usize,
    dies_at: Instant,
}

/// What all stand-ins know.
struct World {
    record: Record,
    results: Mutex<HashMap<String, Made>>,
    /// Pieces that each request asks for, by its id.
    asked: Mutex<HashMap<String, Vec<usize>>>,
    /// Whether answers are sent twice now.
    garbles: AtomicBool,
    next: AtomicUsize,
    /// Answers with a second one, and those whose second one came.
    garbled: AtomicUsize,
    late: AtomicUsize,
    calls: AtomicUsize,
    /// Runs and pieces that came with results of other requests or stages, or with some only.
    mixed: Mutex<Vec<String>>,
    runs: AtomicUsize,
    served: AtomicUsize,
    not_served: AtomicUsize,
}

/// The graph: stage 0 alone, stages 1, 2 and 3 one after the other.
const AFTER: [&[usize]; 4] = [&[], &[], &[1], &[2]];
const LAST: [usize; 2] = [0, 3];

impl World {
    /// Compares the inputs of a run or piece with the results of all pieces of `stages`; `Err` if
    /// one of them is gone, so that nothing runs.
    fn check(
        &self,
        what: &str,
        request: &str,
        stages: &[usize],
        inputs: &[String],
    ) -> Result<(), ()> {
        let now = Instant::now();
        let results = self.results.lock().expect("results");
        let found: Option<Vec<Made>> = inputs
            .iter()
            .map(|handle| results.get(handle).filter(|made| made.dies_at > now).cloned())
            .collect();
        let found = found.ok_or(())?;
        drop(results);
        let asked = self.asked.lock().expect("asked");
        let Some(pieces) = asked.get(request) else {
            return Ok(());
        };
        let due: HashSet<(usize, usize)> =
            stages.iter().flat_map(|&s| (0..pieces[s]).map(move |p| (s, p))).collect();
        let got: HashSet<(usize, usize)> = found
            .iter()
            .filter(|made| made.request == request)
            .map(|made| (made.stage, made.piece))
            .collect();
        let foreign: Vec<String> = found
            .iter()
            .filter(|made| made.request != request)
            .map(|made| format!("{} stage {} piece {}", made.request, made.stage, made.piece))
            .collect();
        if !foreign.is_empty() || got != due || inputs.len() != due.len() {
            let line = format!(
                "MIXED {what} of {request}: {} inputs due, {} given; of other requests: [{}]",
                due.len(),
                inputs.len(),
                foreign.join("; ")
            );
            self.record.line(&line);
            self.mixed.lock().expect("mixed").push(line);
        }
        Ok(())
    }
}

/// A stage replica: one call at work, `QUEUE` calls wait.
struct Stage {
    id: String,
    address: SocketAddr,
    service: usize,
    /// Whether it is one of those that garble.
    garbles: bool,
    /// Tickets: the next to give out and the one at work.
    turns: Mutex<(u64, u64)>,
    turn: Condvar,
    dose: Mutex<Dose>,
}

impl Stage {
    fn serve(&self, mut connection: Connection, world: &World) {
        let mut surplus: Option<Vec<u8>> = None;
        while let Some(request) = connection.message() {
            // The second answer comes where the next one is due.
            if let Some(late) = surplus.take() {
                world.late.fetch_add(1, Ordering::Relaxed);
                world.record.line(&format!(
                    "{} sends the previous answer of this connection again; it has read {}",
                    self.id,
                    request.path()
                ));
                if !connection.write(&late) {
                    return;
                }
            }
            let is_run = request.path() == "/stage-run";
            let answer = self.answer(&request, world);
            let garbled = is_run
                && self.garbles
                && world.garbles.load(Ordering::Relaxed)
                && self.dose.lock().expect("dose").next();
            if !connection.write(&answer) {
                return;
            }
            if garbled {
                world.garbled.fetch_add(1, Ordering::Relaxed);
                surplus = Some(answer);
            }
        }
    }

    fn answer(&self, request: &Message, world: &World) -> Vec<u8> {
        if request.header("stackmast-expect-instance").is_some_and(|id| id != self.id) {
            return response(421, &[("Stackmast-Replica-Id", &self.id)], b"");
        }
        // Echoed, as in all answers, if the request has one.
        let id = request.header("stackmast-request-id").unwrap_or_default().to_owned();
        let echo = |answer: Vec<u8>| {
            if id.is_empty() {
                return answer;
            }
            let text = String::from_utf8_lossy(&answer).into_owned();
            text.replacen("\r\n", &format!("\r\nStackmast-Request-Id: {id}\r\n"), 1).into_bytes()
        };
        let (given, working) = *self.turns.lock().expect("turns");
        let inside = given - working;
        let load = format!("{},{},1", inside.min(1), inside.saturating_sub(1));
        let headers = [("content-type", "application/json"), ("Stackmast-Replica-Load", &load)];
        match request.path() {
            "/stage-run" => echo(self.run(&request.body, world)),
            "/stage-free" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let handles = body.get("handles").map(Json::list).unwrap_or_default();
                let mut results = world.results.lock().expect("results");
                for handle in handles {
                    results.remove(handle.text());
                }
                echo(response(200, &headers, b""))
            }
            "/report" => {
                let now = Instant::now();
                let own = format!("{}/", self.address);
                let results = world.results.lock().expect("results");
                let held = results.iter().filter(|(h, m)| h.starts_with(&own) && m.dies_at > now);
                let bytes: f64 = held.map(|(_, made)| BYTES[made.stage]).sum();
                let free = (STAGES[self.service].3 - bytes / 1e6).max(0.0).floor();
                let body = format!(
                    r#"{{"queued":{},"utilization":false,"free_mb":{free}}}"#,
                    inside.saturating_sub(1)
                );
                echo(response(200, &headers, body.as_bytes()))
            }
            "/health" => response(200, &[("Stackmast-Replica-Id", &self.id)], b""),
            _ => response(404, &[], b""),
        }
    }

    fn run(&self, body: &[u8], world: &World) -> Vec<u8> {
        world.calls.fetch_add(1, Ordering::Relaxed);
        let begun = Instant::now();
        let ticket = {
            let mut turns = self.turns.lock().expect("turns");
            if turns.0 - turns.1 > QUEUE as u64 {
                return response(503, &[("Stackmast-Not-Executed", "1")], b"");
            }
            turns.0 += 1;
            turns.0 - 1
        };
        let mut turns = self.turns.lock().expect("turns");
        while turns.1 != ticket {
            turns = self.turn.wait(turns).expect("turns");
        }
        drop(turns);
        let body = Json::parse(body).unwrap_or(Json::Null);
        let items = body.get("items").map(Json::list).unwrap_or_default();
        let (_, _, item_ms, _) = STAGES[self.service];
        let mut outcomes = Vec::new();
        let mut made = Vec::new();
        for item in items {
            let request = item.get("id").map(Json::text).unwrap_or_default().to_owned();
            let number = |name: &str| item.get(name).map_or(0.0, Json::number);
            let (stage, piece) = (number("stage") as usize, number("piece") as usize);
            let inputs: Vec<String> = item
                .get("inputs")
                .map(Json::list)
                .unwrap_or_default()
                .iter()
                .map(|i| i.text().to_owned())
                .collect();
            if begun.elapsed().as_secs_f64() * 1e3
                > item.get("remaining_ms").map_or(1e9, Json::number)
            {
                outcomes.push(r#"{"reason":"late"}"#.to_owned());
                continue;
            }
            let what = format!("stage {stage} piece {piece}");
            if !AFTER[stage].is_empty()
                && world.check(&what, &request, AFTER[stage], &inputs).is_err()
            {
                outcomes.push(r#"{"reason":"gone"}"#.to_owned());
                continue;
            }
            let handle =
                format!("{}/{:x}", self.address, world.next.fetch_add(1, Ordering::Relaxed));
            outcomes.push(format!(r#"{{"handle":"{handle}"}}"#));
            made.push((handle, request, stage, piece));
        }
        std::thread::sleep(Duration::from_secs_f64((CALL_MS + item_ms * items.len() as f64) / 1e3));
        let dies_at = Instant::now() + Duration::from_secs_f64(HANDLE_S);
        {
            let mut results = world.results.lock().expect("results");
            for (handle, request, stage, piece) in made {
                results.insert(handle, Made { request, stage, piece, dies_at });
            }
        }
        self.turns.lock().expect("turns").1 += 1;
        self.turn.notify_all();
        let body = format!(r#"{{"items":[{}]}}"#, outcomes.join(","));
        response(200, &[("content-type", "application/json")], body.as_bytes())
    }
}

/// Bytes of a result, by stage.
const BYTES: [f64; 4] = [800_000.0, 8_000.0, 60_000.0, 6_000.0];

fn engine(id: &str, mut connection: Connection, running: &AtomicUsize, world: &World) {
    while let Some(request) = connection.message() {
        let load = format!("{},0,64", running.load(Ordering::Relaxed));
        if request.header("stackmast-expect-instance").is_some_and(|expected| expected != id) {
            connection.write(&response(421, &[("Stackmast-Replica-Id", id)], b""));
            continue;
        }
        if request.path() == "/report" {
            let body = format!(
                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"utilization":false,"seq":0,"queued":0,"running":{},"kv_used":0,"kv_total":600000,"handles":0}}"#,
                running.load(Ordering::Relaxed)
            );
            connection.write(&response(200, &[("Stackmast-Replica-Load", &load)], body.as_bytes()));
            continue;
        }
        let name = request.header("stackmast-request-id").unwrap_or_default().to_owned();
        let inputs = request.header("stackmast-inputs").unwrap_or_default();
        let inputs: Vec<String> =
            inputs.split(',').filter(|i| !i.is_empty()).map(|i| i.trim().to_owned()).collect();
        let echoed = [
            ("Stackmast-Request-Id", name.as_str()),
            ("Stackmast-Replica-Load", &load),
            ("Stackmast-Not-Executed", "1"),
        ];
        if world.check("run", &name, &LAST, &inputs).is_err() {
            world.record.line(&format!("{id} refuses {name}: an input is gone"));
            connection.write(&response(409, &echoed, b""));
            continue;
        }
        world.runs.fetch_add(1, Ordering::Relaxed);
        running.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nStackmast-Request-Id: {name}\r\nStackmast-Response-Signature: s.{name}\r\nStackmast-Replica-Load: {load}\r\n\r\n"
        );
        let mut is_open = connection.write(head.as_bytes());
        for number in 1..=EVENTS {
            if !is_open || connection.is_closed() {
                is_open = false;
                break;
            }
            let event = format!("id: {number}\ndata: {name}\n\n");
            is_open = connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            std::thread::sleep(EVENT_GAP);
        }
        running.fetch_sub(1, Ordering::Relaxed);
        if !is_open || !connection.write(b"0\r\n\r\n") {
            return;
        }
    }
}

fn configuration() -> String {
    let services: Vec<String> = STAGES
        .iter()
        .map(|(name, batch, item_ms, room)| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","max_conns":360,"pieces":{{"slots":1,"queue":{QUEUE},"batch":{batch},"call_ms":{CALL_MS},"item_ms":{item_ms},"headroom_mb":{room},"handle_s":{HANDLE_S},"link_mbps":1000}}}}"#
            )
        })
        .collect();
    let stages: Vec<String> = AFTER
        .iter()
        .enumerate()
        .map(|(stage, after)| {
            let service = STAGES[[0, 0, 1, 2][stage]].0;
            format!(r#"{{"service":"{service}","since_rev":{after:?},"bytes":{}}}"#, BYTES[stage])
        })
        .collect();
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-script","host":"pule25.example","path_prefix":"/script/","kind":"stream","timeout_ms":20000,"slo_ms":2500,"priority":1,"service":"llm","max_attempts":1,"stages":[{}],"public":false,"affinity":true,"resume_streams":false,"gap_target_ms":400}}],
"services":[{{"name":"llm","health_path":"/health","max_conns":360,"engine":{{"slots":64,"kv_capacity":600000}}}},{}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"guild","api_keys":["key-1"]}}]}}"#,
        stages.join(","),
        services.join(",")
    )
}

fn entry(service: &str, address: SocketAddr, slots: u32) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"hall-1","version":"v1","slots":{slots},"state":"ready","cold_left_ms":0,"seq":1}}"#
    )
}

fn ask(number: usize, front: SocketAddr, world: &World) {
    let name = format!("{number:016x}");
    // As on the sheet: the first stage is left out by more than half of the requests.
    let first = if number % 5 < 2 { 1 + number % 3 } else { 0 };
    let pieces = vec![first, 1, 4 + number % 5, 3 + number % 4];
    let stated: Vec<String> = pieces.iter().map(ToString::to_string).collect();
    let stated = stated.join(",");
    world.asked.lock().expect("asked").insert(name.clone(), pieces);
    let Ok(stream) = std::net::TcpStream::connect(front) else {
        world.record.line(&format!("{name} not sent"));
        return;
    };
    let mut connection = Connection::new(stream);
    connection.set_timeout(Duration::from_secs(25));
    let head = format!(
        "POST /script/x HTTP/1.1\r\nHost: pule25.example\r\nStackmast-Request-Id: {name}\r\nStackmast-Model: m\r\nStackmast-Token-Counts: 1460,50\r\nStackmast-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,{name}:250\r\nStackmast-Pieces: {stated}\r\nStackmast-Piece-Key: k{name}\r\nStackmast-Deadline-Ms: 20000\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nwork"
    );
    world.record.line(&format!("{name} sent to {front}: pieces {stated}"));
    let answer = if connection.write(head.as_bytes()) { connection.message() } else { None };
    let text = match &answer {
        Some(answer) => answer.status().to_string(),
        None => "closed without a whole answer".to_owned(),
    };
    world.record.line(&format!("{name} answered: {text}"));
    let is_served = answer.is_some_and(|answer| answer.status() == 200);
    let counter = if is_served { &world.served } else { &world.not_served };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Plays the case; `Some(false)` if the rule was broken, `None` if the case could not run.
pub fn play(record: &Record, trouble: bool) -> Option<bool> {
    let folder = Folder::new();
    let world = Arc::new(World {
        record: record.clone(),
        results: Mutex::default(),
        asked: Mutex::default(),
        garbles: AtomicBool::new(false),
        next: AtomicUsize::new(0x5c1e),
        garbled: AtomicUsize::new(0),
        late: AtomicUsize::new(0),
        calls: AtomicUsize::new(0),
        mixed: Mutex::default(),
        runs: AtomicUsize::new(0),
        served: AtomicUsize::new(0),
        not_served: AtomicUsize::new(0),
    });
    let store = Store::start(500, record);
    let garbling = (REPLICAS as f64 * SHARE) as usize;
    for (service, (name, ..)) in STAGES.iter().enumerate() {
        for number in 0..REPLICAS {
            let listener = TcpListener::bind("127.0.0.1:0").ok()?;
            let stage = Arc::new(Stage {
                id: format!("i-{name}-{number}"),
                address: listener.local_addr().ok()?,
                service,
                garbles: number < garbling,
                turns: Mutex::default(),
                turn: Condvar::new(),
                dose: Mutex::new(Dose::new(
                    DOSE,
                    0x9e37_79b9 + (service * REPLICAS + number) as u64 * 7919,
                )),
            });
            store.put(&format!("servers/{}", stage.id), &entry(name, stage.address, 1));
            let world = world.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (stage, world) = (stage.clone(), world.clone());
                    std::thread::spawn(move || stage.serve(Connection::new(stream), &world));
                }
            });
        }
    }
    for number in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").ok()?;
        let id = format!("i-llm-{number}");
        store.put(&format!("servers/{id}"), &entry("llm", listener.local_addr().ok()?, 64));
        let world = world.clone();
        std::thread::spawn(move || {
            let running = Arc::new(AtomicUsize::new(0));
            for stream in listener.incoming().flatten() {
                let (id, running, world) = (id.clone(), running.clone(), world.clone());
                std::thread::spawn(move || engine(&id, Connection::new(stream), &running, &world));
            }
        });
    }
    store.put("op/config", &configuration());
    let gateways = gateways::start(&folder.0, &[store.address; GATEWAYS], &BOUNDS);
    if !gateways::all_ready(&gateways) {
        record.line("the gateways did not become ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(2));
    let begun = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0;
    while begun.elapsed() < TRAFFIC {
        let at = begun.elapsed();
        let since = at.saturating_sub(FIRST).as_millis() % EVERY.as_millis();
        let garbles = trouble && at >= FIRST && since < FOR.as_millis();
        if world.garbles.swap(garbles, Ordering::Relaxed) != garbles {
            record.line(if garbles { "garble begins" } else { "garble ends" });
        }
        let (front, own) = (gateways[number % GATEWAYS].front, world.clone());
        clients.push(std::thread::spawn(move || ask(number, front, &own)));
        number += 1;
        std::thread::sleep(BETWEEN);
    }
    world.garbles.store(false, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let mixed = world.mixed.lock().expect("mixed").len();
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    record.line(&format!(
        "{number} requests: {} served, {} not; {} runs at model replicas; {} calls of stages, {} with a second answer, {} of which came; {mixed} runs or pieces with inputs of another request, or not with all of their own",
        count(&world.served),
        count(&world.not_served),
        count(&world.runs),
        count(&world.calls),
        count(&world.garbled),
        count(&world.late),
    ));
    if count(&world.served) * 2 < number {
        record.line("under half of the requests were served");
        return None;
    }
    Some(mixed == 0)
}
