//! Gateways: the project's program as processes, with settings of a small deployment on loopback.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub settings: PathBuf,
    pub child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Addresses with ports that were free a moment ago.
pub fn free_addresses(ip: &str, count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((ip, 0)).expect("a port")).collect();
    listeners.iter().map(|l| l.local_addr().expect("an address")).collect()
}

/// Bounds of a deployment, as the settings state them.
pub struct Bounds {
    pub contact_ms: u64,
    pub drain_ms: u64,
    pub config_ms: u64,
    pub retry_slack: u64,
}

/// Starts gateways; `stores` gives the address of the store for each.
pub fn start(directory: &Path, stores: &[SocketAddr], bounds: &Bounds) -> Vec<Gateway> {
    let Bounds { contact_ms, drain_ms, config_ms, retry_slack } = bounds;
    let ips: Vec<String> = (0..stores.len()).map(|n| format!("127.0.1.{}", n + 1)).collect();
    let addresses: Vec<Vec<SocketAddr>> = ips.iter().map(|ip| free_addresses(ip, 4)).collect();
    let seeds: Vec<String> = addresses.iter().take(3).map(|a| format!("\"{}\"", a[2])).collect();
    let mut gateways = Vec::new();
    for (number, (ip, own)) in ips.iter().zip(&addresses).enumerate() {
        let port = own[3].port();
        let settings = format!(
            r#"{{"node_name":"front-{number}","role":"gateway","machine_class":"front",
"serves":["front","control"],"ip":"{ip}","zone":"hall-1","region":"east",
"zones":{{"hall-1":"east"}},
"listen":{{"front":"{}","ready":"{}","control":"{}"}},"port_range":[{port},{port}],
"seeds":[{}],"bootstrap":true,"loss_counts":false,
"limits":{{"cpu_share":0.19,"cores":1,"memory_mb":260,"max_fds":4200,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"],
"tolerate":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":{contact_ms},"ack_ms":4000,"catch_up_s":4,
"drain_ms":{drain_ms},"grace_s":8,"loss_slack_ms":200,"config_ms":{config_ms},"rollback_slack_ms":250,
"skew_max_ms":5000,"strict_revoke":false,"revoke_ms":5000,"retry_ratio":0.2,"retry_window_s":10,
"retry_slack":{retry_slack},"recover_s":12,"pass_ms":120,"retry_after_s":10}},
"platform":{{"address":"{}","form":"read","writes_per_s":400,"reads_per_s":2000,"history_s":20,
"value_bytes":1048576,"ttl_min_ms":1000}}}}"#,
            own[0],
            own[1],
            own[2],
            seeds.join(","),
            stores[number],
        );
        let path = directory.join(format!("{number}.json"));
        std::fs::write(&path, settings).expect("settings");
        gateways.push(Gateway {
            front: own[0],
            ready: own[1],
            child: launch(&path),
            settings: path,
        });
    }
    gateways
}

/// Starts the program of the deploy file, from the root of the repository.
pub fn launch(settings: &Path) -> Child {
    let log = settings.with_extension("log");
    let output = std::fs::File::options().create(true).append(true).open(log).expect("a log");
    Command::new("target/release/stackmast-platform")
        .env("STACKMAST_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program of deploy/system.toml")
}

impl Gateway {
    /// Starts the process again. The settings in force no longer name the first start of the whole
    /// system.
    pub fn relaunch(&mut self) {
        let text = std::fs::read_to_string(&self.settings).expect("settings");
        let text = text.replace("\"bootstrap\":true", "\"bootstrap\":false");
        std::fs::write(&self.settings, text).expect("settings");
        self.child = launch(&self.settings);
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = std::net::TcpStream::connect(self.ready) else {
            return false;
        };
        let mut connection = Connection::new(stream);
        connection.set_timeout(Duration::from_secs(1));
        connection.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
        connection.message().is_some_and(|answer| answer.status() == 200)
    }
}

/// Waits until all gateways are ready; returns whether they are.
pub fn all_ready(gateways: &[Gateway]) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() > until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
