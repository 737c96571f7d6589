//! Log events on the process itself.

use serde::Serialize;

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
