//! Labels and label selectors, with the syntax and semantics of Kubernetes.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::Snafu;

/// The labels of an endpoint, an organisation or a request.
pub type Labels = BTreeMap<String, String>;

/// Maximum length of a label key or value, in bytes.
pub const MAX_LABEL_LEN: usize = 253;
/// Maximum length of a selector, in bytes.
pub const MAX_SELECTOR_LEN: usize = 4096;

/// Why a selector or a label could not be parsed.
#[derive(Debug, Snafu, PartialEq, Eq, Clone)]
pub enum SelectorError {
    /// The selector is longer than [`MAX_SELECTOR_LEN`].
    #[snafu(display("a selector has at most {MAX_SELECTOR_LEN} bytes, this one has {len}"))]
    TooLong {
        /// Length of the selector, in bytes.
        len: usize,
    },
    /// The key of a requirement or label is empty, too long or contains invalid characters.
    #[snafu(display("{key:?} is not a label key"))]
    BadKey {
        /// Text found in place of a key.
        key: String,
    },
    /// A value is too long or contains invalid characters.
    #[snafu(display("{value:?} is not a label value"))]
    BadValue {
        /// Text found in place of a value.
        value: String,
    },
    /// An operator has no operand or an invalid one.
    #[snafu(display(
        "{text:?} is not a requirement: expected key, !key, key=value, key!=value, key in (a,b) or key notin (a,b)"
    ))]
    BadRequirement {
        /// The requirement as written.
        text: String,
    },
}

/// Condition on the value of a label.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Operator {
    Exists,
    Absent,
    In(Vec<String>),
    NotIn(Vec<String>),
}

/// One requirement of a selector: a label key and a condition on its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirement {
    key: String,
    operator: Operator,
}

impl Requirement {
    /// Whether `labels` meet this requirement; a missing key meets `!=` and `notin`.
    pub fn matches(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.key);
        match &self.operator {
            Operator::Exists => value.is_some(),
            Operator::Absent => value.is_none(),
            Operator::In(values) => value.is_some_and(|v| values.contains(v)),
            Operator::NotIn(values) => !value.is_some_and(|v| values.contains(v)),
        }
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.operator {
            Operator::Exists => write!(f, "{}", self.key),
            Operator::Absent => write!(f, "!{}", self.key),
            Operator::In(values) if values.len() == 1 => write!(f, "{}={}", self.key, values[0]),
            Operator::NotIn(values) if values.len() == 1 => {
                write!(f, "{}!={}", self.key, values[0])
            }
            Operator::In(values) => write!(f, "{} in ({})", self.key, values.join(",")),
            Operator::NotIn(values) => write!(f, "{} notin ({})", self.key, values.join(",")),
        }
    }
}

/// A conjunction of requirements; the empty selector matches everything.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Selector {
    requirements: Vec<Requirement>,
}

impl Selector {
    /// Parses `text`, such as `service=encoder,tier in (small,large),!draining`.
    pub fn parse(text: &str) -> Result<Self, SelectorError> {
        if text.len() > MAX_SELECTOR_LEN {
            return TooLongSnafu { len: text.len() }.fail();
        }
        if text.trim().is_empty() {
            return Ok(Self::default());
        }
        let requirements = split_outside_parentheses(text)
            .into_iter()
            .map(parse_requirement)
            .collect::<Result<_, _>>()?;
        Ok(Self { requirements })
    }

    /// Whether `labels` meet every requirement.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements.iter().all(|r| r.matches(labels))
    }

    /// The first requirement that `labels` don't meet, for explanations.
    pub fn first_failure(&self, labels: &Labels) -> Option<&Requirement> {
        self.requirements.iter().find(|r| !r.matches(labels))
    }

    /// Whether this selector matches everything.
    pub fn is_empty(&self) -> bool {
        self.requirements.is_empty()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, requirement) in self.requirements.iter().enumerate() {
            if i > 0 {
                f.write_str(",")?;
            }
            write!(f, "{requirement}")?;
        }
        Ok(())
    }
}

impl Serialize for Selector {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Selector {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(serde::de::Error::custom)
    }
}

/// Validates one label of an operator or caller.
pub fn check_label(key: &str, value: &str) -> Result<(), SelectorError> {
    parse_key(key)?;
    parse_value(value)?;
    Ok(())
}

fn split_outside_parentheses(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut depth = 0usize;
    let mut start = 0;
    for (i, c) in text.char_indices() {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            ',' if depth == 0 => {
                parts.push(&text[start..i]);
                start = i + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}

fn parse_requirement(text: &str) -> Result<Requirement, SelectorError> {
    let text = text.trim();
    if let Some((key, value)) = text.split_once("!=") {
        return requirement(key, Operator::NotIn(vec![parse_value(value)?]));
    }
    if let Some(key) = text.strip_prefix('!') {
        return requirement(key, Operator::Absent);
    }
    if let Some((key, value)) = text.split_once("==").or_else(|| text.split_once('=')) {
        return requirement(key, Operator::In(vec![parse_value(value)?]));
    }
    let Some((key, rest)) = text.split_once(char::is_whitespace) else {
        return requirement(text, Operator::Exists);
    };
    let rest = rest.trim_start();
    if let Some(values) = rest.strip_prefix("notin") {
        return requirement(key, Operator::NotIn(parse_values(values, text)?));
    }
    if let Some(values) = rest.strip_prefix("in") {
        return requirement(key, Operator::In(parse_values(values, text)?));
    }
    BadRequirementSnafu { text }.fail()
}

fn requirement(key: &str, operator: Operator) -> Result<Requirement, SelectorError> {
    Ok(Requirement { key: parse_key(key)?, operator })
}

fn parse_values(text: &str, whole: &str) -> Result<Vec<String>, SelectorError> {
    let inner = text.trim().strip_prefix('(').and_then(|t| t.strip_suffix(')'));
    let Some(inner) = inner else {
        return BadRequirementSnafu { text: whole }.fail();
    };
    inner.split(',').map(parse_value).collect()
}

fn parse_key(text: &str) -> Result<String, SelectorError> {
    let key = text.trim();
    let valid = !key.is_empty() && key.len() <= MAX_LABEL_LEN && key.chars().all(is_key_char);
    if !valid {
        return BadKeySnafu { key }.fail();
    }
    Ok(key.to_owned())
}

fn parse_value(text: &str) -> Result<String, SelectorError> {
    let value = text.trim();
    if value.len() > MAX_LABEL_LEN || !value.chars().all(is_value_char) {
        return BadValueSnafu { value }.fail();
    }
    Ok(value.to_owned())
}

fn is_value_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

fn is_key_char(c: char) -> bool {
    is_value_char(c) || c == '/'
}
