//! Software versions of endpoints.
//!
//! Endpoints of several versions may serve a pool side by side. What they write is not compatible:
//! a stream is continued only by the version that began it.

use crate::direct::published::model::Endpoint;

/// The endpoint label that holds the version of its software.
pub const VERSION_LABEL: &str = "version";

/// Returns the software version of an endpoint, if it has the label.
pub fn version_of(endpoint: &Endpoint) -> Option<&str> {
    endpoint.labels.get(VERSION_LABEL).map(String::as_str)
}
