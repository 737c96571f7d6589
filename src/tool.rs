//! The operators' command line tool: checks and compares configurations, simulates requests,
//! queries running processes.

use std::fs::File;
use std::io::{BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use getopts::{Matches, Options as Parser};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::SeedableRng;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::admin::{EndpointStatus, RequestStatus, Status};
use crate::audit::Entry;
use crate::config::Config;
use crate::config::check::{Finding, check};
use crate::config::diff::diff;
use crate::config::labels::Labels;
use crate::config::parts::{PartsError, split};
use crate::fleet::Fleet;
use crate::options::exit;
use crate::policy::admit::{AdmissionRequest, Admitted, admit};
use crate::policy::demand::Demand;
use crate::policy::explain::{Decision, Explanation, Record, Step};
use crate::policy::limit::Limiter;
use crate::policy::predict::SizeClass;
use crate::policy::route::{RoutingContext, choose};
use crate::request_target::RequestTarget;
use crate::request_trace::trace_request;
use crate::tables::{endpoints_table, explanation_text, requests_table, status_table};
use crate::view::{Location, View};

/// Timeout for the response of a process.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a response in bytes.
const MAX_ANSWER_LEN: usize = 64 << 20;
/// Maximum size of a configuration file in bytes.
const MAX_CONFIG_LEN: u64 = 256 << 20;

const USAGE: &str = "Usage: stackmast COMMAND [OPTIONS]

On files:
  check FILE              report all errors of a configuration
  diff BEFORE AFTER       list the differences between two configurations
  parts FILE FOLDER       split a configuration into the platform's values
  story REQUEST [FILE ...]
                          log events of a request, from log files or standard input
  try FILE PIPELINE ORGANISATION [KEY=VALUE ...]
                          explain where a request with these labels would be sent

On a running process (--admin, --token):
  status                  identity, state and load of the process
  endpoints               endpoints and their load as seen by a gateway
  requests                the requests that ended last
  explain REQUEST         why a request was sent to an endpoint, queued or refused
  audit                   the latest changes in the audit trail
  config                  the configuration in force
  drain                   stop the process after all work in flight has ended
";

/// Reason for which the tool failed.
#[derive(Debug, Snafu)]
pub enum ToolError {
    /// The command line is invalid.
    #[snafu(display("{source}; see --help"))]
    Syntax {
        /// The invalid option.
        source: getopts::Fail,
    },
    /// The command is unknown or lacks operands.
    #[snafu(display("unknown command or missing operands; see --help"))]
    Usage,
    /// A file could not be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// No log line concerns the request.
    #[snafu(display("no log line concerns {request}; {unparsed} lines are not log events"))]
    UnknownRequest {
        /// Identifier of the request.
        request: String,
        /// Number of lines that are not log events.
        unparsed: usize,
    },
    /// A file exceeds the maximum size of a configuration.
    #[snafu(display("{path}: {len} bytes exceed the maximum of {MAX_CONFIG_LEN}"))]
    FileTooLong {
        /// Path of the file.
        path: String,
        /// Size of the file in bytes.
        len: u64,
    },
    /// A file is not a valid configuration.
    #[snafu(display("{path}: {source}"))]
    Config {
        /// Path of the file.
        path: String,
        /// Position and cause of the error.
        source: serde_json::Error,
    },
    /// A configuration has errors and must not be published.
    #[snafu(display("{}", findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Findings {
        /// All errors found.
        findings: Vec<Finding>,
    },
    /// A configuration can't be split into parts.
    #[snafu(display("{source}"), context(false))]
    Parts {
        /// Cause of the failure.
        source: PartsError,
    },
    /// A label is not of the form KEY=VALUE.
    #[snafu(display("{text:?} is not KEY=VALUE"))]
    Label {
        /// The invalid label.
        text: String,
    },
    /// The pipeline or organisation is not in the configuration.
    #[snafu(display("{name:?} is not in the configuration"))]
    NotInConfig {
        /// Name of the pipeline or organisation.
        name: String,
    },
    /// The process can't be reached.
    #[snafu(display("{address}: no response"))]
    Unreachable {
        /// Address of the process.
        address: String,
    },
    /// The process refused the request.
    #[snafu(display("{status}: {detail}"))]
    Refused {
        /// HTTP status of the response.
        status: StatusCode,
        /// Detail of the problem in the response.
        detail: String,
    },
    /// The response of the process could not be read.
    #[snafu(display("invalid response: {source}"))]
    Answer {
        /// Position and cause of the error.
        source: serde_json::Error,
    },
}

impl ToolError {
    const fn exit_code(&self) -> u8 {
        match self {
            Self::Syntax { .. } | Self::Usage | Self::Label { .. } => exit::USAGE,
            Self::File { .. } => exit::FAILED,
            Self::FileTooLong { .. }
            | Self::Config { .. }
            | Self::Findings { .. }
            | Self::Parts { .. } => exit::INVALID,
            Self::NotInConfig { .. } => exit::NOT_KNOWN,
            Self::Unreachable { .. } => exit::UNREACHABLE,
            Self::Refused { status, .. } => {
                if status.as_u16() == 404 {
                    exit::NOT_KNOWN
                } else {
                    exit::FAILED
                }
            }
            Self::Answer { .. } | Self::UnknownRequest { .. } => exit::FAILED,
        }
    }
}

/// Executes the command line and returns the exit code.
pub fn main(args: &[String]) -> u8 {
    match run(args) {
        Ok(text) => {
            print!("{text}");
            exit::OK
        }
        Err(error) => {
            eprintln!("stackmast: {error}");
            error.exit_code()
        }
    }
}

fn run(args: &[String]) -> Result<String, ToolError> {
    let mut parser = Parser::new();
    parser.optopt("a", "admin", "administration address", "IP:PORT");
    parser.optopt("t", "token", "bearer token; defaults to STACKMAST_TOKEN", "TOKEN");
    parser.optopt("n", "count", "number of entries to list", "N");
    parser.optflag("j", "json", "print JSON");
    parser.optflag("h", "help", "print this help");
    parser.optflag("V", "version", "print the version");
    let matches = parser.parse(args).context(SyntaxSnafu)?;
    if matches.opt_present("help") {
        return Ok(parser.usage(USAGE));
    }
    if matches.opt_present("version") {
        return Ok(format!("stackmast {}\n", env!("CARGO_PKG_VERSION")));
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["check", file] => check_file(Path::new(file)),
        ["diff", before, after] => diff_files(Path::new(before), Path::new(after), &matches),
        ["parts", file, folder] => write_parts(Path::new(file), Path::new(folder)),
        ["try", file, pipeline, organisation, labels @ ..] => {
            try_request(Path::new(file), pipeline, organisation, labels, &matches)
        }
        ["story", request, files @ ..] => show_trace(request, files),
        ["status"] => show::<Status>(&matches, &RequestTarget::new("/v1/status"), status_table),
        ["endpoints"] => {
            let target = RequestTarget::new("/v1/endpoints");
            show::<Vec<EndpointStatus>>(&matches, &target, |e| endpoints_table(e))
        }
        ["requests"] => {
            let target = with_count(&matches, "/v1/requests");
            show::<Vec<RequestStatus>>(&matches, &target, |r| requests_table(r))
        }
        ["explain", request] => {
            let target = RequestTarget::new("/v1/requests").segment(request).segment("explain");
            show::<Explanation>(&matches, &target, explanation_text)
        }
        ["audit"] => {
            let target = with_count(&matches, "/v1/audit");
            show::<Vec<Entry>>(&matches, &target, |entries| {
                entries.iter().map(|e| format!("{e}\n")).collect()
            })
        }
        ["config"] => {
            show::<Value>(&matches, &RequestTarget::new("/v1/config"), |v| format!("{v:#}\n"))
        }
        ["drain"] => {
            let answer = call(&matches, Method::POST, &RequestTarget::new("/v1/drain"))?;
            Ok(format!("{answer}\n"))
        }
        _ => UsageSnafu.fail(),
    }
}

fn show_trace(request: &str, files: &[&str]) -> Result<String, ToolError> {
    let mut lines: Box<dyn Read> = Box::new(std::io::empty());
    for path in files {
        let file = File::open(path).context(FileSnafu { path: *path })?;
        // The last line of a file may lack its newline.
        lines = Box::new(lines.chain(file).chain(&b"\n"[..]));
    }
    if files.is_empty() {
        lines = Box::new(std::io::stdin());
    }
    let path = files.join(" ");
    let trace = trace_request(request, BufReader::new(lines)).context(FileSnafu { path })?;
    if trace.lines.is_empty() {
        return UnknownRequestSnafu { request, unparsed: trace.unparsed }.fail();
    }
    Ok(trace.to_string())
}

fn read_config(path: &Path) -> Result<Config, ToolError> {
    let shown = path.display().to_string();
    let len = std::fs::metadata(path).context(FileSnafu { path: &shown })?.len();
    if len > MAX_CONFIG_LEN {
        return FileTooLongSnafu { path: shown, len }.fail();
    }
    let text = std::fs::read_to_string(path).context(FileSnafu { path: &shown })?;
    serde_json::from_str(&text).context(ConfigSnafu { path: shown })
}

fn read_checked(path: &Path) -> Result<Config, ToolError> {
    let config = read_config(path)?;
    let findings = check(&config);
    if !findings.is_empty() {
        return FindingsSnafu { findings }.fail();
    }
    Ok(config)
}

fn check_file(path: &Path) -> Result<String, ToolError> {
    let config = read_checked(path)?;
    let parts = split(&config)?.manifest.parts.len();
    Ok(format!(
        "version {}: {} pipelines, {} endpoints, {} organisations, in {parts} parts\n",
        config.version,
        config.pipelines.len(),
        config.endpoints.len(),
        config.organisations.len()
    ))
}

fn diff_files(before: &Path, after: &Path, matches: &Matches) -> Result<String, ToolError> {
    let changes = diff(&read_config(before)?, &read_config(after)?);
    if matches.opt_present("json") {
        return to_json(&changes);
    }
    Ok(changes.iter().map(|change| format!("{change}\n")).collect())
}

fn write_parts(file: &Path, folder: &Path) -> Result<String, ToolError> {
    let bundle = split(&read_checked(file)?)?;
    let write = |name: &str, bytes: &[u8]| {
        let path = folder.join(name);
        std::fs::write(&path, bytes).context(FileSnafu { path: path.display().to_string() })
    };
    for (digest, bytes) in &bundle.parts {
        write(digest, bytes)?;
    }
    write("manifest", to_json(&bundle.manifest)?.as_bytes())?;
    Ok(format!("{} parts and the manifest\n", bundle.parts.len()))
}

fn to_json<T: serde::Serialize>(value: &T) -> Result<String, ToolError> {
    serde_json::to_string_pretty(value).map(|text| text + "\n").context(AnswerSnafu)
}

fn read_labels(texts: &[&str]) -> Result<Labels, ToolError> {
    let pairs = texts.iter().map(|text| match text.split_once('=') {
        Some((key, value)) => Ok((key.to_owned(), value.to_owned())),
        None => LabelSnafu { text: *text }.fail(),
    });
    pairs.collect()
}

/// Schedules a request as a gateway would that has no load reports yet.
fn try_request(
    file: &Path,
    pipeline: &str,
    organisation: &str,
    labels: &[&str],
    matches: &Matches,
) -> Result<String, ToolError> {
    let config = Arc::new(read_checked(file)?);
    let data_centre = config.endpoints.first().map(|e| e.data_centre.clone()).unwrap_or_default();
    let location = Location { host: "stackmast-try".to_owned(), data_centre };
    let view = View::new(config, String::new(), location);
    let labels = read_labels(labels)?;
    let not_in_config = |name: &str| ToolError::NotInConfig { name: name.to_owned() };
    let pipeline = view.pipeline(pipeline).ok_or_else(|| not_in_config(pipeline))?;
    let organisation =
        view.organisation(organisation).ok_or_else(|| not_in_config(organisation))?;
    let admission = AdmissionRequest {
        view: &view,
        pipeline,
        organisation,
        labels: &labels,
        size: SizeClass::of(0),
        left: Duration::from_millis(pipeline.pipeline.deadline_ms),
        gateways: 1,
    };
    let steps = decide(&admission);
    let record = Record {
        id: crate::message::RequestId {
            gateway: "try".into(),
            incarnation: crate::message::Incarnation::UNKNOWN,
            number: 0,
        },
        pipeline: pipeline.pipeline.name.clone(),
        organisation: organisation.name.clone(),
        arrived: Duration::ZERO,
        steps: steps.into_iter().map(|step| (Duration::ZERO, step)).collect(),
    };
    let explanation = Explanation::from(&record);
    if matches.opt_present("json") {
        return to_json(&explanation);
    }
    Ok(explanation_text(&explanation))
}

fn decide(admission: &AdmissionRequest<'_>) -> Vec<Step> {
    let mut rng = rand::rngs::StdRng::seed_from_u64(0);
    let fleet = Fleet::default();
    let now = Duration::ZERO;
    let mut limiter = Limiter::default();
    let admitted = admit(admission, &fleet, &Demand::default(), &mut limiter, now, &mut rng);
    let admitted: Admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return vec![Step::Refused(refusal)],
    };
    let decisions = admission.pipeline.stages.iter().map(|stage| -> Decision {
        let context = RoutingContext {
            view: admission.view,
            stage,
            rules: &admitted.rules,
            size: admission.size,
            tried: &[],
            avoid_failed: false,
            turn: 0,
            now,
        };
        choose(&context, &fleet, &mut rng)
    });
    let decisions: Vec<_> = decisions.map(Step::Sent).collect();
    let step = Step::Admitted {
        config: admission.view.config.version,
        priority: admitted.priority,
        priority_rule: admitted.priority_rule,
        predicted: admitted.predicted,
        left: admission.left,
    };
    [step].into_iter().chain(decisions).collect()
}

fn with_count(matches: &Matches, path: &'static str) -> RequestTarget {
    let target = RequestTarget::new(path);
    match matches.opt_str("count") {
        Some(count) => target.field("count", count),
        None => target,
    }
}

fn show<T: DeserializeOwned>(
    matches: &Matches,
    target: &RequestTarget,
    table: impl Fn(&T) -> String,
) -> Result<String, ToolError> {
    let value = call(matches, Method::GET, target)?;
    if matches.opt_present("json") {
        return to_json(&value);
    }
    let parsed: T = serde_json::from_value(value).context(AnswerSnafu)?;
    Ok(table(&parsed))
}

fn call(matches: &Matches, method: Method, target: &RequestTarget) -> Result<Value, ToolError> {
    let Some(address) = matches.opt_str("admin") else {
        return UsageSnafu.fail();
    };
    let token = matches.opt_str("token").or_else(|| std::env::var("STACKMAST_TOKEN").ok());
    let token = token.unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|_| ToolError::Unreachable { address: address.clone() })?;
    let asked = send_request(&address, method, target, &token);
    let answer = runtime.block_on(async { tokio::time::timeout(TIMEOUT, asked).await });
    let Some((status, body)) = answer.ok().flatten() else {
        return UnreachableSnafu { address }.fail();
    };
    let value: Value = serde_json::from_slice(&body).context(AnswerSnafu)?;
    if status.is_success() {
        return Ok(value);
    }
    let detail = value["detail"].as_str().unwrap_or_default().to_owned();
    RefusedSnafu { status, detail }.fail()
}

async fn send_request(
    address: &str,
    method: Method,
    target: &RequestTarget,
    token: &str,
) -> Option<(StatusCode, Bytes)> {
    let address: SocketAddr = address.parse().ok()?;
    let request = Request::builder()
        .method(method)
        .uri(target.at(address).ok()?)
        .header("authorization", format!("Bearer {token}"))
        .body(Full::<Bytes>::default())
        .ok()?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.ok()?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_LEN).collect().await.ok()?;
    Some((status, body.to_bytes()))
}
