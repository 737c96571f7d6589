//! Differences between two configurations, for the audit trail and `stackmast diff`.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use serde::Serialize;
use serde_json::Value;

use super::Config;

/// One difference, with its path.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Path of the changed value, such as `endpoints[enc-1].labels.zone`.
    pub path: String,
    /// Old value; `None` if it was added.
    pub before: Option<Value>,
    /// New value; `None` if it was removed.
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

/// Returns all differences from `before` to `after`; members of lists are matched by name.
pub fn diff(before: &Config, after: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    compare_members("endpoints", &before.endpoints, &after.endpoints, |e| &e.name, &mut changes);
    let organisations = (&before.organisations, &after.organisations);
    compare_members("organisations", organisations.0, organisations.1, |o| &o.name, &mut changes);
    compare("", &rest(before), &rest(after), &mut changes);
    for change in &mut changes {
        change.path = change.path.trim_start_matches('.').to_owned();
    }
    changes
}

/// The configuration without its endpoints and organisations, which are compared separately.
fn rest(config: &Config) -> Value {
    let short = Config {
        version: config.version,
        pipelines: config.pipelines.clone(),
        rules: config.rules.clone(),
        limits: config.limits.clone(),
        placements: config.placements.clone(),
        policy: config.policy.clone(),
        ..Config::default()
    };
    to_value(&short)
}

/// Compares two lists member by member. Only members that differ are serialised, because two
/// versions share nearly all of them.
fn compare_members<T: Serialize + PartialEq>(
    list: &str,
    before: &[Arc<T>],
    after: &[Arc<T>],
    name: impl Fn(&T) -> &String,
    changes: &mut Vec<Change>,
) {
    let old: HashMap<&str, &Arc<T>> = before.iter().map(|m| (name(m).as_str(), m)).collect();
    let mut kept = HashSet::new();
    for member in after {
        let path = format!("{list}[{}]", name(member));
        match old.get(name(member).as_str()) {
            Some(other) => {
                kept.insert(name(member).as_str());
                if !Arc::ptr_eq(other, member) && other != &member {
                    compare(&path, &to_value(other), &to_value(member), changes);
                }
            }
            None => changes.push(Change { path, before: None, after: Some(to_value(member)) }),
        }
    }
    for member in before.iter().filter(|m| !kept.contains(name(m).as_str())) {
        let path = format!("{list}[{}]", name(member));
        changes.push(Change { path, before: Some(to_value(member)), after: None });
    }
}

fn to_value<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
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

/// The members of an object or of a list of named objects, by path segment; `None` for other
/// values.
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
