//! What determines the end of an HTTP response that this process receives.

use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, TRANSFER_ENCODING};

/// Whether the response has a length or chunks. Otherwise it ends with its
/// connection, and so does a part of it if the sender crashes.
pub fn states_its_end(response: &Response<Incoming>) -> bool {
    is_chunked(response.headers()) || response.body().size_hint().exact().is_some()
}

/// Whether `chunked` is the final transfer coding. The client reads a body with any other one to the
/// end of the connection.
pub fn is_chunked(headers: &HeaderMap) -> bool {
    let last_field = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last_field.and_then(|field| field.to_str().ok()).unwrap_or_default();
    let final_coding = codings.rsplit(',').next().unwrap_or_default();
    final_coding.trim().eq_ignore_ascii_case("chunked")
}
