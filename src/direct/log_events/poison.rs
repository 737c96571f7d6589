//! Log events about requests that crash endpoints.

use serde::Serialize;

use crate::direct::published::model::Name;

/// Event about poison, written with its name in snake case as field `event`.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum PoisonEvent {
    /// An endpoint is proven to have crashed while calls from this gateway were running there.
    EndpointCrashed {
        /// Id of the endpoint.
        endpoint: Name,
        /// Incarnation that crashed.
        incarnation: u64,
        /// `port closed`, `another life`, `entry gone`, or `told` (reported by a gateway).
        proof: &'static str,
        /// Fingerprints of contents that were running there, each with the number of its crash
        /// round.
        suspects: Vec<(String, u8)>,
        /// Fingerprints of prompt parts for which the endpoint had just begun to write, or had not
        /// begun yet, each with the number of its crash round.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        prompt_parts: Vec<(String, u8)>,
    },
    /// A fingerprint is refused from now on, since endpoints crashed under it.
    Quarantined {
        /// `content` (a request or one of its stages) or `prompt_part`.
        kind: &'static str,
        /// The fingerprint.
        fingerprint: String,
        /// Endpoints that crashed under it.
        endpoints: Vec<Name>,
        /// `own`, or the address of the gateway whose report was decisive.
        source: String,
    },
    /// A fingerprint under which endpoints had crashed ran without a crash: it is no longer suspect.
    Cleared {
        /// The fingerprint.
        fingerprint: String,
    },
    /// A request is refused because of a quarantined fingerprint.
    PoisonFound {
        /// Request id given by the caller.
        request: Name,
        /// The quarantined fingerprint.
        fingerprint: String,
        /// Id of the part of its prompt that the fingerprint identifies; `None` for its content or
        /// one of its stages.
        #[serde(skip_serializing_if = "Option::is_none")]
        prompt_part: Option<String>,
    },
}

impl PoisonEvent {
    /// Name of the event in metrics; the same as in the log.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::EndpointCrashed { .. } => "endpoint_crashed",
            Self::Quarantined { .. } => "quarantined",
            Self::Cleared { .. } => "cleared",
            Self::PoisonFound { .. } => "poison_found",
        }
    }
}
