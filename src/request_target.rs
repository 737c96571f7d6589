//! Targets of requests: paths and queries that hold text from outside, such as keys of a store.
//!
//! All text is percent-encoded, a blank and a plus included, so that servers decode the same text
//! whether a plus is a blank to them or not.

use std::fmt::Display;
use std::net::SocketAddr;

use hyper::Uri;
use hyper::http::uri::{InvalidUri, PathAndQuery, Scheme};
use percent_encoding::{AsciiSet, CONTROLS, NON_ALPHANUMERIC, utf8_percent_encode};

/// What is encoded in a segment of a path: everything but the unreserved characters of RFC 3986.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');
/// What is encoded in a value of a query, where a slash separates nothing.
const QUERY_VALUE: &AsciiSet = &SEGMENT.remove(b'/');
/// What is encoded in a complete path: what may not stand in a target at all.
const COMPLETE_PATH: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'<')
    .add(b'>')
    .add(b'\\')
    .add(b'^')
    .add(b'`')
    .add(b'{')
    .add(b'|')
    .add(b'}');
/// Segments that servers resolve instead of passing them on.
const DOT_SEGMENTS: [&str; 2] = [".", ".."];
const ENCODED_DOT: &str = "%2E";

/// Path and query of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTarget {
    text: String,
    has_query: bool,
}

impl RequestTarget {
    /// Creates the target of a path of this program, which is sent as it is.
    pub fn new(path: &'static str) -> Self {
        Self { text: path.to_owned(), has_query: false }
    }

    /// Creates the target of a complete path that comes from outside, with or without a query. Only
    /// what may not stand in a target is encoded.
    pub fn from_path(path: &str) -> Self {
        let slash = if path.starts_with('/') { "" } else { "/" };
        let encoded = utf8_percent_encode(path, COMPLETE_PATH);
        Self { text: format!("{slash}{encoded}"), has_query: path.contains('?') }
    }

    /// Appends a segment to the path.
    pub fn segment(mut self, text: impl Display) -> Self {
        let text = text.to_string();
        self.text.push('/');
        if DOT_SEGMENTS.contains(&text.as_str()) {
            self.text.push_str(&ENCODED_DOT.repeat(text.len()));
        } else {
            self.text.extend(utf8_percent_encode(&text, SEGMENT));
        }
        self
    }

    /// Appends a field to the query.
    pub fn field(mut self, name: &'static str, value: impl Display) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.text.push_str(name);
        self.text.push('=');
        self.text.extend(utf8_percent_encode(&value.to_string(), QUERY_VALUE));
        self.has_query = true;
        self
    }

    /// Returns the path and query as a request to a connection has them. Fails if they are longer
    /// than a target may be (64 KiB).
    pub fn path_and_query(&self) -> Result<PathAndQuery, InvalidUri> {
        PathAndQuery::try_from(self.text.as_str())
    }

    /// Returns the complete address at a server. Fails like [`Self::path_and_query`].
    pub fn at(&self, server: SocketAddr) -> Result<Uri, hyper::http::Error> {
        Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(server.to_string())
            .path_and_query(self.text.as_str())
            .build()
    }
}

impl Display for RequestTarget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.text)
    }
}
