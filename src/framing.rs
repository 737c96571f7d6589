//! What determines the end of an HTTP response that this process receives.

use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;

/// Whether the response has a length or chunks. Otherwise it ends with its
/// connection, and so does a part of it if the sender crashes.
///
/// The response is well-formed ([`crate::response_check`]), so its only transfer coding is chunks.
pub fn states_its_end(response: &Response<Incoming>) -> bool {
    response.headers().contains_key(TRANSFER_ENCODING)
        || response.body().size_hint().exact().is_some()
}
