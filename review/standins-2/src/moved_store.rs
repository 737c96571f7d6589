//! The settings name another address of the store, and the process is told so by SIGHUP.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::http::{Connection, Message, response};
use crate::store::Store;
use crate::{Result, Setup, address};

/// `config_ms` of the settings.
const CONFIG_TIME: Duration = Duration::from_millis(2_000);
/// Time from the signal to the change of the configuration: more than `contact_ms`, 3,000 ms, so that
/// the machine is in touch again.
const SETTLING: Duration = Duration::from_secs(5);
/// Time after the change in which callers ask.
const ASKING: Duration = Duration::from_secs(12);
/// Gateways; each gets one SIGHUP, one after the other.
const GATEWAYS: u8 = 4;
/// Pause between two signals.
const GAP: Duration = Duration::from_secs(1);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(200);

/// Ids of the requests that the replica ran.
type Runs = Arc<Mutex<HashSet<String>>>;

pub fn run(setup: &Setup) -> Result<bool> {
    let record = &setup.record;
    let runs = Runs::default();
    let replica = replica(runs.clone())?;
    let entry = format!(
        r#"{{"service":"desk","address":"{replica}","zone":"hall","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":1}}"#
    );
    let mut store = Store::start()?;
    store.put("servers/i-desk-0", &entry);
    store.put("op/config", &configuration(7, r#""key-1","key-2""#));
    let mut gateways = Vec::new();
    for number in 1..=GATEWAYS {
        let (addresses, name) = ((address(number), address(1)), format!("front-{number}"));
        let (program, folder) = (&setup.program, &setup.folder);
        gateways.push(Gateway::start(program, folder, &name, addresses, store.address)?);
    }
    for (number, gateway) in gateways.iter().enumerate() {
        let answer = ask(gateway.front, &format!("before-{number}"), "key-1")?;
        record.line(&format!(
            "{}: version 7, request with key-1: answered {}",
            gateway.name,
            answer.status()
        ));
        if answer.status() != 200 {
            return Err("the deployment does not serve".into());
        }
    }

    if setup.has_trouble {
        // The store answers at both addresses until every machine has been told.
        let other = Store::start()?;
        other.copy_from(&store);
        for gateway in &mut gateways {
            gateway.set_store(other.address)?;
            gateway.signal("HUP")?;
            record.line(&format!(
                "{}: settings name the store's other address, SIGHUP sent",
                gateway.name
            ));
            std::thread::sleep(GAP);
        }
        store.close();
        record.line("the store's old address is closed");
        store = other;
    }
    std::thread::sleep(SETTLING);
    store.put("op/config", &configuration(8, r#""key-2""#));
    let acknowledged = Instant::now();
    record.line("the store has acknowledged version 8, which drops key-1");

    let mut late = 0;
    let mut number = 0;
    while acknowledged.elapsed() < ASKING {
        let gateway = &gateways[number % gateways.len()];
        let sent_after = acknowledged.elapsed();
        let id = format!("{number:016x}");
        number += 1;
        let status = ask(gateway.front, &id, "key-1").map(|answer| answer.status()).unwrap_or(0);
        let has_run = runs.lock().expect("runs").contains(&id);
        let is_late = has_run && sent_after > CONFIG_TIME;
        late += usize::from(is_late);
        record.line(&format!(
            "{}: request {id} with key-1, sent {} ms after: answered {status}, has run: {has_run}{}",
            gateway.name,
            sent_after.as_millis(),
            if is_late { ", with a dropped key" } else { "" },
        ));
        std::thread::sleep(PAUSE);
    }
    for (number, gateway) in gateways.iter().enumerate() {
        let status = ask(gateway.front, &format!("after-{number}"), "key-2")?.status();
        let is_ready = gateway.is_ready();
        record.line(&format!(
            "{}: request with key-2, which is valid: answered {status}; ready: {is_ready}",
            gateway.name
        ));
    }
    record.line(&format!("requests run with the dropped key more than 2,000 ms after: {late}"));
    Ok(late == 0)
}

fn configuration(version: u64, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
  {{"name":"r-get","host":"h.example","path_prefix":"/get/","kind":"idempotent","timeout_ms":2000,
   "slo_ms":300,"priority":2,"service":"desk","max_attempts":2,"public":false}}],
 "services":[{{"name":"desk","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}}],
 "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
 "tenants":[{{"name":"guild","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

fn ask(front: SocketAddr, id: &str, key: &str) -> Result<Message> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let mut connection = Connection::new(stream);
    let request = format!(
        "GET /get/a HTTP/1.1\r\nHost: h.example\r\nStackmast-Request-Id: {id}\r\nStackmast-Deadline-Ms: 4000\r\n\
         Authorization: Bearer {key}\r\n\r\n"
    );
    connection.write(request.as_bytes())?;
    Ok(connection.read()?.ok_or("no answer")?)
}

/// Starts a sound replica.
fn replica(runs: Runs) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = runs.clone();
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    let answer = match request.field("stackmast-request-id") {
                        None => response("200 OK", "Stackmast-Replica-Id: i-desk-0\r\n", ""),
                        Some(id) => {
                            runs.lock().expect("runs").insert(id.to_owned());
                            let fields = format!(
                                "Stackmast-Request-Id: {id}\r\nStackmast-Response-Signature: 3e1b.{id}\r\n"
                            );
                            response("200 OK", &fields, "found")
                        }
                    };
                    if connection.write(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}
