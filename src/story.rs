//! Tells one request's story from log lines of many processes, in order of time.

use std::io::BufRead;

use serde_json::{Map, Value};

/// One line that concerns a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Chapter {
    /// Milliseconds since 1970, by the clock of the host that wrote it.
    pub at_unix_ms: u64,
    /// Who wrote it.
    pub host: String,
    /// What happened.
    pub event: String,
    /// What decided it, as `name=value`.
    pub inputs: String,
}

/// What was found in the lines.
#[derive(Debug, Default, PartialEq)]
pub struct Story {
    /// The lines that concern the request, in order of time.
    pub chapters: Vec<Chapter>,
    /// Lines that are none of the log's.
    pub unread: usize,
}

/// Reads lines and keeps those that concern a request: its own, the calls that held its pieces, and
/// their ends. Lines may stand behind a prefix, such as a time that a collector puts before them.
pub fn story(request: &str, lines: impl BufRead) -> std::io::Result<Story> {
    let mut story = Story::default();
    // Calls with its pieces, by who sent them.
    let mut calls: Vec<(String, u64)> = Vec::new();
    for line in lines.lines() {
        let line = line?;
        let Some(note) = parse(&line) else {
            story.unread += usize::from(!line.trim().is_empty());
            continue;
        };
        let host = text(&note, "host");
        let call = note.get("call").and_then(Value::as_u64);
        let holds_pieces = note.get("pieces").is_some_and(|p| names(p, request));
        if let Some(call) = call.filter(|_| holds_pieces) {
            calls.push((host.clone(), call));
        }
        // A process that started anew counts its calls anew.
        let ends_call = call.filter(|_| !holds_pieces).is_some_and(|call| {
            let known = calls.iter().position(|c| *c == (host.clone(), call));
            known.map(|index| calls.remove(index)).is_some() && note.get("pieces").is_none()
        });
        if text(&note, "request") == request || holds_pieces || ends_call {
            story.chapters.push(chapter(host, &note, request));
        }
    }
    story.chapters.sort_by_key(|c| c.at_unix_ms);
    Ok(story)
}

fn parse(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    let note: Value = serde_json::from_str(&line[start..]).ok()?;
    let note = note.as_object()?;
    note.contains_key("event").then(|| note.clone())
}

fn text(note: &Map<String, Value>, name: &str) -> String {
    note.get(name).and_then(Value::as_str).unwrap_or_default().to_owned()
}

fn names(pieces: &Value, request: &str) -> bool {
    let mut pieces = pieces.as_array().into_iter().flatten();
    pieces.any(|p| p.get(0).and_then(Value::as_str) == Some(request))
}

fn chapter(host: String, note: &Map<String, Value>, request: &str) -> Chapter {
    let shown = note
        .iter()
        .filter(|(name, _)| !matches!(name.as_str(), "at_unix_ms" | "host" | "event" | "request"));
    let inputs = shown.map(|(name, value)| match name.as_str() {
        "pieces" => format!("pieces={}", own_pieces(value, request)),
        _ => format!("{name}={}", value.as_str().map_or_else(|| value.to_string(), str::to_owned)),
    });
    Chapter {
        at_unix_ms: note.get("at_unix_ms").and_then(Value::as_u64).unwrap_or_default(),
        host,
        event: text(note, "event"),
        inputs: inputs.collect::<Vec<_>>().join(" "),
    }
}

/// How many pieces of a call are the request's.
fn own_pieces(pieces: &Value, request: &str) -> String {
    let all = pieces.as_array().map_or(0, Vec::len);
    let own = pieces.as_array().into_iter().flatten();
    let own = own.filter(|p| p.get(0).and_then(Value::as_str) == Some(request)).count();
    format!("{own}/{all}")
}

impl std::fmt::Display for Story {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let first = self.chapters.first().map_or(0, |c| c.at_unix_ms);
        for Chapter { at_unix_ms, host, event, inputs } in &self.chapters {
            writeln!(f, "{:>8} ms  {host:<24} {event:<16} {inputs}", at_unix_ms - first)?;
        }
        Ok(())
    }
}
