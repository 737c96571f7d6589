//! A replica runs a request and answers 503 without `Stackmast-Not-Executed`.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::gateway::Gateway;
use crate::http::{Connection, Message, response};
use crate::record::Record;
use crate::store::Store;
use crate::{Result, Setup, address};

/// Replicas of the service; the first one fails a part of its requests in the disturbed run.
const REPLICAS: usize = 3;
/// Of five requests at the failing replica, so many fail.
const FAILING_OF_FIVE: usize = 2;
/// Operations that callers ask for, one after the other.
const OPERATIONS: usize = 60;
/// Work of a request.
const WORK: Duration = Duration::from_millis(20);
/// Statuses by which a caller is told that its request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Ids of the requests that replicas ran.
type Runs = Arc<Mutex<HashSet<String>>>;

pub fn run(setup: &Setup) -> Result<bool> {
    let record = &setup.record;
    let store = Store::start()?;
    let runs = Runs::default();
    for number in 0..REPLICAS {
        let id = format!("i-desk-{number}");
        let fails = setup.has_trouble && number == 0;
        let replica = replica(&id, fails, runs.clone(), record.clone())?;
        let entry = format!(
            r#"{{"service":"desk","address":"{replica}","zone":"hall","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":1}}"#
        );
        store.put(&format!("servers/{id}"), &entry);
    }
    store.put("op/config", CONFIGURATION);
    let (ip, seed) = (address(1), address(1));
    let gateway =
        Gateway::start(&setup.program, &setup.folder, "front-1", (ip, seed), store.address)?;

    let (mut false_promises, mut doubled) = (0, 0);
    for operation in 0..OPERATIONS {
        let mut ran = 0;
        // A caller repeats an unsafe request once, only after a promise, with an id of its own.
        for attempt in 0..2 {
            let id = format!("{operation:08x}{attempt:08x}");
            let answer = ask(gateway.front, &id)?;
            let status = answer.status();
            let has_run = runs.lock().expect("runs").contains(&id);
            ran += u32::from(has_run);
            record.line(&format!(
                "operation {operation}, request {id}: answered {status}, signature {}, has run: {has_run}",
                answer.field("stackmast-response-signature").unwrap_or("none"),
            ));
            if !PROMISES.contains(&status) {
                break;
            }
            if has_run {
                false_promises += 1;
                record.line(&format!(
                    "request {id}: {status} promises that it has not run, and it has"
                ));
            }
        }
        doubled += u32::from(ran > 1);
    }
    record.line(&format!("requests answered with a promise that have run: {false_promises}"));
    record.line(&format!("operations that ran twice, by the caller's repeat: {doubled}"));
    Ok(false_promises == 0)
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[
  {"name":"r-upload","host":"h.example","path_prefix":"/upload/","kind":"non_idempotent","timeout_ms":2000,
   "slo_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":false}],
 "services":[{"name":"desk","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"guild","api_keys":["key-1"],"priority":1}]}"#;

fn ask(front: SocketAddr, id: &str) -> Result<Message> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let mut connection = Connection::new(stream);
    let request = format!(
        "POST /upload/a HTTP/1.1\r\nHost: h.example\r\nStackmast-Request-Id: {id}\r\nStackmast-Deadline-Ms: 4000\r\n\
         Authorization: Bearer key-1\r\nContent-Length: 5\r\n\r\nbrief"
    );
    connection.write(request.as_bytes())?;
    Ok(connection.read()?.ok_or("no answer")?)
}

/// Starts a replica. One that `fails` runs each request, and answers 503 to a part of them.
fn replica(id: &str, fails: bool, runs: Runs, record: Record) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (id, count) = (id.to_owned(), Arc::new(Mutex::new(0)));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, record, count) =
                (id.clone(), runs.clone(), record.clone(), count.clone());
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    let answer = answer(&id, &request, fails, &count, &runs, &record);
                    if connection.write(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

fn answer(
    id: &str,
    request: &Message,
    fails: bool,
    count: &Mutex<usize>,
    runs: &Runs,
    record: &Record,
) -> String {
    let Some(request_id) = request.field("stackmast-request-id") else {
        return response("200 OK", &format!("Stackmast-Replica-Id: {id}\r\n"), "");
    };
    let meant = request.field("stackmast-expect-instance");
    if meant.is_some_and(|meant| meant != id) {
        return response("421 Misdirected Request", &format!("Stackmast-Replica-Id: {id}\r\n"), "");
    }
    runs.lock().expect("runs").insert(request_id.to_owned());
    std::thread::sleep(WORK);
    let number = {
        let mut count = count.lock().expect("a count");
        *count += 1;
        *count
    };
    let fields = format!("Stackmast-Request-Id: {request_id}\r\n");
    if fails && number % 5 < FAILING_OF_FIVE {
        record.line(&format!(
            "replica {id}: ran request {request_id}, answers 503 without Stackmast-Not-Executed"
        ));
        return response("503 Service Unavailable", &fields, "database failed after the booking");
    }
    record.line(&format!("replica {id}: ran request {request_id}, answers 200"));
    let fields = format!("{fields}Stackmast-Response-Signature: 3e1b.{request_id}\r\n");
    response("200 OK", &fields, "booked")
}
