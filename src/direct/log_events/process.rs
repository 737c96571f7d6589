//! Log events on the process itself and on what it receives.

use serde::Serialize;

use crate::direct::published::model::Name;

/// The settings file was read again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Reloaded {
    /// `taken`, or why the new settings were refused.
    pub outcome: String,
    /// Names of the changed fields whose new values are in force.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub taken: Vec<&'static str>,
    /// Names of the changed fields whose new values take effect at the next start.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub at_next_start: Vec<&'static str>,
}

/// An endpoint sent what is no well-formed response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MalformedResponse {
    /// Id of the endpoint.
    pub endpoint: Name,
    /// Kind of call: `request`, `pieces`, `report`, `free` or `health`.
    pub asked: &'static str,
    /// What is wrong with the response.
    pub fault: String,
}
