//! What determines the end of an HTTP response that this process receives.

use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;

/// Whether the response states its length or comes in chunks. Otherwise it ends with its
/// connection, and so does a part of it if the sender crashes.
pub fn states_its_end(response: &Response<Incoming>) -> bool {
    // The client reads a body with a transfer encoding other than chunks to the end of the
    // connection.
    let encoding = response.headers().get_all(TRANSFER_ENCODING).iter().next_back();
    let coding = encoding.and_then(|e| e.to_str().ok()).and_then(|e| e.rsplit(',').next());
    let is_chunked = coding.is_some_and(|c| c.trim().eq_ignore_ascii_case("chunked"));
    is_chunked || response.body().size_hint().exact().is_some()
}
