//! Merges the log lines of many processes that concern one request, ordered by time.

use std::io::BufRead;

use serde_json::{Map, Value};

/// A log line that concerns the request.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceLine {
    /// Milliseconds since the Unix epoch, by the clock of the host that wrote the line.
    pub at_unix_ms: u64,
    /// Name of the host that wrote the line.
    pub host: String,
    /// Type of the log event.
    pub event: String,
    /// Other fields of the log event, as `name=value`.
    pub inputs: String,
}

/// The result of a search in log lines.
#[derive(Debug, Default, PartialEq)]
pub struct RequestTrace {
    /// The lines that concern the request, ordered by time.
    pub lines: Vec<TraceLine>,
    /// Number of lines that are not log events.
    pub unparsed: usize,
}

/// Reads lines and keeps those that concern a request: its own log events, batch calls that held
/// its pieces, and the ends of those calls. Text before the JSON object of a line, such as a
/// collector's timestamp, is ignored.
pub fn trace_request(request: &str, lines: impl BufRead) -> std::io::Result<RequestTrace> {
    let mut trace = RequestTrace::default();
    // Open calls with pieces of the request, by host and call number.
    let mut calls: Vec<(String, u64)> = Vec::new();
    for line in lines.lines() {
        let line = line?;
        let Some(event) = parse(&line) else {
            trace.unparsed += usize::from(!line.trim().is_empty());
            continue;
        };
        let host = text(&event, "host");
        let call = event.get("call").and_then(Value::as_u64);
        let holds_pieces = event.get("pieces").is_some_and(|p| contains_request(p, request));
        if let Some(call) = call.filter(|_| holds_pieces) {
            calls.push((host.clone(), call));
        }
        // A restarted process reuses call numbers, so a call that ended is removed.
        let ends_call = call.filter(|_| !holds_pieces).is_some_and(|call| {
            let known = calls.iter().position(|c| *c == (host.clone(), call));
            known.map(|index| calls.remove(index)).is_some() && event.get("pieces").is_none()
        });
        if text(&event, "request") == request || holds_pieces || ends_call {
            trace.lines.push(trace_line(host, &event, request));
        }
    }
    trace.lines.sort_by_key(|c| c.at_unix_ms);
    Ok(trace)
}

fn parse(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    let event: Value = serde_json::from_str(&line[start..]).ok()?;
    let event = event.as_object()?;
    event.contains_key("event").then(|| event.clone())
}

fn text(event: &Map<String, Value>, name: &str) -> String {
    event.get(name).and_then(Value::as_str).unwrap_or_default().to_owned()
}

fn contains_request(pieces: &Value, request: &str) -> bool {
    let mut pieces = pieces.as_array().into_iter().flatten();
    pieces.any(|p| p.get(0).and_then(Value::as_str) == Some(request))
}

fn trace_line(host: String, event: &Map<String, Value>, request: &str) -> TraceLine {
    let shown = event
        .iter()
        .filter(|(name, _)| !matches!(name.as_str(), "at_unix_ms" | "host" | "event" | "request"));
    let inputs = shown.map(|(name, value)| match name.as_str() {
        "pieces" => format!("pieces={}", own_pieces(value, request)),
        _ => format!("{name}={}", value.as_str().map_or_else(|| value.to_string(), str::to_owned)),
    });
    TraceLine {
        at_unix_ms: event.get("at_unix_ms").and_then(Value::as_u64).unwrap_or_default(),
        host,
        event: text(event, "event"),
        inputs: inputs.collect::<Vec<_>>().join(" "),
    }
}

/// Returns the number of the request's pieces in a call and of all its pieces, as `own/all`.
fn own_pieces(pieces: &Value, request: &str) -> String {
    let all = pieces.as_array().map_or(0, Vec::len);
    let own = pieces.as_array().into_iter().flatten();
    let own = own.filter(|p| p.get(0).and_then(Value::as_str) == Some(request)).count();
    format!("{own}/{all}")
}

impl std::fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let first = self.lines.first().map_or(0, |c| c.at_unix_ms);
        for TraceLine { at_unix_ms, host, event, inputs } in &self.lines {
            writeln!(f, "{:>8} ms  {host:<24} {event:<16} {inputs}", at_unix_ms - first)?;
        }
        Ok(())
    }
}
