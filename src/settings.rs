//! Settings of a process, in JSON; validation reports all errors at once.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use snafu::{ResultExt, Snafu};

/// Maximum size of a settings file in bytes.
const MAX_SETTINGS_LEN: u64 = 1 << 20;
/// Minimum length of the ticket signing key and of the administration token, in bytes.
const MIN_SECRET_LEN: usize = 16;

/// Role of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Accepts callers' requests.
    Gateway {
        /// Address on which callers connect.
        callers: SocketAddr,
    },
    /// Runs beside an endpoint.
    Agent {
        /// Name of the endpoint in the configuration.
        endpoint: String,
        /// Address on which the endpoint listens.
        address: SocketAddr,
    },
}

/// Limits on the resources that peers and callers can occupy in a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of requests in flight in a gateway, or of queued attempts in an agent.
    pub in_flight: usize,
    /// Maximum size of a caller's request body in bytes.
    pub body_bytes: usize,
    /// Maximum size of the result of one stage in bytes.
    pub result_bytes: usize,
    /// Maximum number of requests whose records are kept.
    pub records: usize,
    /// Timeout for receiving a caller's request body.
    pub body_timeout: Duration,
    /// Maximum time for which a planned stop waits for work in flight.
    pub drain_timeout: Duration,
}

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Role of the process.
    pub role: Role,
    /// Host name of the process, unique in the fleet.
    pub host: String,
    /// Data centre of the process.
    pub data_centre: String,
    /// Address on which other processes connect.
    pub internal: SocketAddr,
    /// Address on which operators connect.
    pub admin: SocketAddr,
    /// Bearer token required from operators.
    pub admin_token: String,
    /// Address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Addresses of the peers that are asked first for the configuration.
    pub peers: Vec<SocketAddr>,
    /// Key that signs tickets; the same in the whole fleet.
    pub ticket_key: String,
    /// Calls per second that the whole fleet makes to the platform.
    pub fleet_polls_per_second: u32,
    /// Number of worker threads.
    pub threads: usize,
    /// Resource limits.
    pub bounds: Bounds,
}

/// An invalid value in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{path}: {found} is not allowed: {allowed}"))]
pub struct Problem {
    /// Path of the field, such as `bounds.in_flight`.
    pub path: String,
    /// The invalid value.
    pub found: String,
    /// The allowed values.
    pub allowed: String,
}

/// Reason for which settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("can't read {path}: {source}"))]
    Read {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The file exceeds the maximum size.
    #[snafu(display("{path}: {len} bytes exceed the maximum of {MAX_SETTINGS_LEN}"))]
    TooLarge {
        /// Path of the file.
        path: String,
        /// Size of the file in bytes.
        len: u64,
    },
    /// The text is not valid JSON.
    #[snafu(display("not JSON: {source}"))]
    Syntax {
        /// Position and cause of the error.
        source: serde_json::Error,
    },
    /// The settings contain invalid values.
    #[snafu(display("{}", problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Invalid {
        /// All invalid values.
        problems: Vec<Problem>,
    },
}

impl Settings {
    /// Loads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let shown = path.display().to_string();
        let len = std::fs::metadata(path).context(ReadSnafu { path: &shown })?.len();
        if len > MAX_SETTINGS_LEN {
            return TooLargeSnafu { path: shown, len }.fail();
        }
        let text = std::fs::read_to_string(path).context(ReadSnafu { path: shown })?;
        Self::parse(&text)
    }

    /// Parses and validates settings.
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
    fields.reject_unknown_fields();
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
    fields.reject_unknown_fields();
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

/// The fields of a JSON object that have not been read yet.
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
        is_valid: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let Some(value) = self.map.remove(key) else {
            return self.problem(key, "nothing".to_owned(), allowed);
        };
        let shown = value.to_string();
        match serde_json::from_value(value) {
            Ok(read) if is_valid(&read) => Some(read),
            _ => self.problem(key, shown, allowed),
        }
    }

    fn optional<T: DeserializeOwned>(&mut self, key: &str, allowed: &str, default: T) -> Option<T> {
        if !self.map.contains_key(key) {
            return Some(default);
        }
        self.required(key, allowed)
    }

    fn bounded(&mut self, key: &str, default: u64, min: u64, max: u64) -> Option<u64> {
        if !self.map.contains_key(key) {
            return Some(default);
        }
        let allowed = format!("a whole number from {min} to {max}");
        self.checked(key, &allowed, |n| (min..=max).contains(n))
    }

    fn reject_unknown_fields(&mut self) {
        for (key, value) in std::mem::take(&mut self.map) {
            self.problem::<()>(&key, value.to_string(), "no field has this name");
        }
    }
}
