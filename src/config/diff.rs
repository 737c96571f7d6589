//! What one configuration changes in another, for the audit trail and `stackmast diff`.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use super::Config;

/// One difference, with its path.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Such as `endpoints[enc-1].labels.zone`.
    pub path: String,
    /// The value before, where there was one.
    pub before: Option<Value>,
    /// The value after, where there is one.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {path}: {after}"),
            (Some(before), None) => write!(f, "- {path}: {before}"),
            (Some(before), Some(after)) => write!(f, "~ {path}: {before} -> {after}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// All differences from `before` to `after`; members of lists are matched by name.
pub fn diff(before: &Config, after: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", &to_value(before), &to_value(after), &mut changes);
    for change in &mut changes {
        change.path = change.path.trim_start_matches('.').to_owned();
    }
    changes
}

fn to_value(config: &Config) -> Value {
    serde_json::to_value(config).unwrap_or(Value::Null)
}

fn compare(path: &str, before: &Value, after: &Value, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let (Some(old), Some(new)) = (members(before), members(after)) else {
        changes.push(Change {
            path: path.to_owned(),
            before: Some(before.clone()),
            after: Some(after.clone()),
        });
        return;
    };
    for (key, value) in &old {
        let path = format!("{path}{key}");
        match new.get(key) {
            Some(other) => compare(&path, value, other, changes),
            None => {
                changes.push(Change { path, before: Some((*value).clone()), after: None });
            }
        }
    }
    for (key, value) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        let path = format!("{path}{key}");
        changes.push(Change { path, before: None, after: Some((*value).clone()) });
    }
}

/// The members of an object, or of a list of named objects; `None` for any other value.
fn members(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(map) => Some(map.iter().map(|(k, v)| (format!(".{k}"), v)).collect()),
        Value::Array(list) => list
            .iter()
            .map(|v| v.get("name").and_then(Value::as_str).map(|n| (format!("[{n}]"), v)))
            .collect(),
        _ => None,
    }
}
