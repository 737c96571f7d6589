//! A process's own settings, in JSON; checked as a whole, every error at once.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use snafu::{ResultExt, Snafu};

/// Longest settings file that is read, in bytes.
const MAX_SETTINGS_LEN: u64 = 1 << 20;
/// Shortest key for signing tickets, and shortest administration token, in bytes.
const MIN_SECRET_LEN: usize = 16;

/// What a process is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Takes callers' requests.
    Gateway {
        /// Where callers connect.
        callers: SocketAddr,
    },
    /// Stands beside an endpoint.
    Agent {
        /// The endpoint's name in the configuration.
        endpoint: String,
        /// Where the endpoint listens.
        address: SocketAddr,
    },
}

/// Bounds on what others can make a process hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Requests in flight in a gateway, or attempts that wait in an agent.
    pub in_flight: usize,
    /// Bytes of a caller's body.
    pub body_bytes: usize,
    /// Bytes of one stage's result.
    pub result_bytes: usize,
    /// Requests whose records are kept.
    pub records: usize,
    /// How long a caller may take to send its body.
    pub body_timeout: Duration,
    /// How long a planned stop waits for what is in flight.
    pub drain_timeout: Duration,
}

/// One process's settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// What it is.
    pub role: Role,
    /// Its name, unique in the fleet.
    pub host: String,
    /// Where it stands.
    pub data_centre: String,
    /// Where other processes connect.
    pub internal: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// What operators must present.
    pub admin_token: String,
    /// The platform's configuration service.
    pub platform: SocketAddr,
    /// Processes to ask for the configuration first.
    pub peers: Vec<SocketAddr>,
    /// Signs tickets; the same in the whole fleet.
    pub ticket_key: String,
    /// Calls a second that the whole fleet makes to the platform.
    pub fleet_polls_per_second: u32,
    /// Worker threads.
    pub threads: usize,
    /// Bounds.
    pub bounds: Bounds,
}

/// One thing that is wrong with settings.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{path}: {found} is not allowed: {allowed}"))]
pub struct Problem {
    /// Where, such as `bounds.in_flight`.
    pub path: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
}

/// Why settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("can't read {path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is larger than settings can be.
    #[snafu(display("{path} has {len} bytes, settings have at most {MAX_SETTINGS_LEN}"))]
    TooLarge {
        /// The file.
        path: String,
        /// Its bytes.
        len: u64,
    },
    /// The text is not JSON.
    #[snafu(display("not JSON: {source}"))]
    Syntax {
        /// Where and why.
        source: serde_json::Error,
    },
    /// The text is JSON, with these things wrong.
    #[snafu(display("{}", problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Invalid {
        /// Everything that is wrong.
        problems: Vec<Problem>,
    },
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let shown = path.display().to_string();
        let len = std::fs::metadata(path).context(ReadSnafu { path: &shown })?.len();
        if len > MAX_SETTINGS_LEN {
            return TooLargeSnafu { path: shown, len }.fail();
        }
        let text = std::fs::read_to_string(path).context(ReadSnafu { path: shown })?;
        Self::parse(&text)
    }

    /// Checks a text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value: Value = serde_json::from_str(text).context(SyntaxSnafu)?;
        let mut problems = Vec::new();
        let settings = read(value, &mut problems);
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => InvalidSnafu { problems }.fail(),
        }
    }
}

fn read(value: Value, problems: &mut Vec<Problem>) -> Option<Settings> {
    let mut fields = Fields::new("", value, problems)?;
    let role = fields
        .checked("role", "\"gateway\" or \"agent\"", |r: &String| r == "gateway" || r == "agent");
    let host = fields.checked("host", NAME, |n: &String| is_name(n));
    let data_centre = fields.checked("data_centre", NAME, |n: &String| is_name(n));
    let internal = fields.required("internal", ADDRESS);
    let admin = fields.required("admin", ADDRESS);
    let admin_token = fields.checked("admin_token", SECRET, |s: &String| is_secret(s));
    let platform = fields.required("platform", ADDRESS);
    let peers = fields.optional("peers", "a list of IP addresses with ports", Vec::new());
    let ticket_key = fields.checked("ticket_key", SECRET, |s: &String| is_secret(s));
    let polls = fields.bounded("fleet_polls_per_second", 2, 1, 1_000);
    let threads = fields.bounded("threads", 2, 1, 256);
    let bounds = fields.optional("bounds", "an object", Value::Object(Map::new()));
    let role = match role.as_deref() {
        Some("gateway") => {
            fields.required("callers", ADDRESS).map(|callers| Role::Gateway { callers })
        }
        Some(_) => {
            let endpoint = fields.checked("endpoint", NAME, |n: &String| is_name(n));
            let address = fields.required("endpoint_address", ADDRESS);
            endpoint.zip(address).map(|(endpoint, address)| Role::Agent { endpoint, address })
        }
        None => None,
    };
    fields.refuse_the_rest();
    let bounds = read_bounds(bounds?, problems);
    Some(Settings {
        role: role?,
        host: host?,
        data_centre: data_centre?,
        internal: internal?,
        admin: admin?,
        admin_token: admin_token?,
        platform: platform?,
        peers: peers?,
        ticket_key: ticket_key?,
        fleet_polls_per_second: polls? as u32,
        threads: threads? as usize,
        bounds: bounds?,
    })
}

fn read_bounds(value: Value, problems: &mut Vec<Problem>) -> Option<Bounds> {
    let mut fields = Fields::new("bounds.", value, problems)?;
    let in_flight = fields.bounded("in_flight", 4_096, 1, 1_000_000);
    let body_bytes = fields.bounded("body_bytes", 1 << 20, 1, 4 << 20);
    let result_bytes = fields.bounded("result_bytes", 4 << 20, 1, 7 << 20);
    let records = fields.bounded("records", 2_048, 1, 1_000_000);
    let body_timeout = fields.bounded("body_timeout_ms", 5_000, 1, 600_000);
    let drain_timeout = fields.bounded("drain_timeout_ms", 60_000, 0, 3_600_000);
    fields.refuse_the_rest();
    Some(Bounds {
        in_flight: in_flight? as usize,
        body_bytes: body_bytes? as usize,
        result_bytes: result_bytes? as usize,
        records: records? as usize,
        body_timeout: Duration::from_millis(body_timeout?),
        drain_timeout: Duration::from_millis(drain_timeout?),
    })
}

const ADDRESS: &str = "an IP address with port, such as \"10.0.0.1:8080\"";
const NAME: &str = "a name of letters, digits, '-', '_' and '.'";
const SECRET: &str = "a text of at least 16 bytes";

fn is_name(text: &str) -> bool {
    !text.is_empty() && !text.contains('/') && crate::config::labels::check_label(text, "").is_ok()
}

fn is_secret(text: &str) -> bool {
    text.len() >= MIN_SECRET_LEN
}

/// The fields of one JSON object that were not read yet.
struct Fields<'a> {
    prefix: &'static str,
    map: Map<String, Value>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Fields<'a> {
    fn new(prefix: &'static str, value: Value, problems: &'a mut Vec<Problem>) -> Option<Self> {
        match value {
            Value::Object(map) => Some(Self { prefix, map, problems }),
            other => {
                let path = prefix.trim_end_matches('.').to_owned();
                let allowed = "an object".to_owned();
                problems.push(Problem { path, found: other.to_string(), allowed });
                None
            }
        }
    }

    fn problem<T>(&mut self, key: &str, found: String, allowed: &str) -> Option<T> {
        let path = format!("{}{key}", self.prefix);
        self.problems.push(Problem { path, found, allowed: allowed.to_owned() });
        None
    }

    fn required<T: DeserializeOwned>(&mut self, key: &str, allowed: &str) -> Option<T> {
        self.checked(key, allowed, |_| true)
    }

    fn checked<T: DeserializeOwned>(
        &mut self,
        key: &str,
        allowed: &str,
        fits: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let Some(value) = self.map.remove(key) else {
            return self.problem(key, "nothing".to_owned(), allowed);
        };
        let shown = value.to_string();
        match serde_json::from_value(value) {
            Ok(read) if fits(&read) => Some(read),
            _ => self.problem(key, shown, allowed),
        }
    }

    fn optional<T: DeserializeOwned>(&mut self, key: &str, allowed: &str, default: T) -> Option<T> {
        if !self.map.contains_key(key) {
            return Some(default);
        }
        self.required(key, allowed)
    }

    fn bounded(&mut self, key: &str, default: u64, least: u64, most: u64) -> Option<u64> {
        if !self.map.contains_key(key) {
            return Some(default);
        }
        let allowed = format!("a whole number from {least} to {most}");
        self.checked(key, &allowed, |n| (least..=most).contains(n))
    }

    fn refuse_the_rest(&mut self) {
        for (key, value) in std::mem::take(&mut self.map) {
            self.problem::<()>(&key, value.to_string(), "no field of this name here");
        }
    }
}
