//! Faults of responses.

use std::error::Error;
use std::io;

use snafu::Snafu;

/// What is wrong with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Malformed {
    /// The first bytes are not those of an HTTP/1 response.
    #[snafu(display("no HTTP/1 response"))]
    NotHttp,
    /// The status line has another form than the version, three digits and a reason.
    #[snafu(display("invalid status line"))]
    StatusLine,
    /// The status is not one that can answer these requests.
    #[snafu(display("invalid status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// A line of the head has no colon.
    #[snafu(display("header line without a colon"))]
    NoColon,
    /// A line of the head begins with a blank, as a continuation of the line before.
    #[snafu(display("folded header line"))]
    FoldedLine,
    /// The name of a field is empty, or has a byte that a name can't have.
    #[snafu(display("invalid header name"))]
    Name,
    /// The value of a field has a control byte, or one above 127.
    #[snafu(display("invalid byte in a header value"))]
    Value,
    /// A carriage return without a line feed, or the reverse.
    #[snafu(display("incomplete line end"))]
    LineEnd,
    /// `Content-Length` is not a decimal number, or is too large.
    #[snafu(display("invalid content length"))]
    Length,
    /// More than one `Content-Length`.
    #[snafu(display("several content lengths"))]
    SeveralLengths,
    /// `Transfer-Encoding` is something else than one `chunked`.
    #[snafu(display("unknown transfer coding"))]
    TransferCoding,
    /// Both `Content-Length` and `Transfer-Encoding`.
    #[snafu(display("both a length and a transfer coding"))]
    LengthAndCoding,
    /// A response whose status allows no body states one.
    #[snafu(display("body of a response that has none"))]
    UnexpectedBody,
    /// The length of a chunk is not a hexadecimal number, or is too large.
    #[snafu(display("invalid chunk length"))]
    ChunkLength,
    /// A chunk is not followed by a line end.
    #[snafu(display("chunk longer than its length"))]
    ChunkEnd,
    /// The body is longer than its stated length.
    #[snafu(display("body longer than its length"))]
    LengthTooSmall,
    /// Bytes that belong to no response: no request is waiting for one.
    #[snafu(display("bytes behind a response"))]
    Surplus,
    /// The head is too long.
    #[snafu(display("head too long"))]
    HeadTooLong,
}

impl Malformed {
    /// The fault that caused an error of the HTTP library, if one did.
    pub fn cause_of(error: &(dyn Error + 'static)) -> Option<Self> {
        let mut next = Some(error);
        while let Some(error) = next {
            let inner = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
            if let Some(malformed) = inner.and_then(|inner| inner.downcast_ref::<Self>()) {
                return Some(*malformed);
            }
            next = error.source();
        }
        None
    }
}
