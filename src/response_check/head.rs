//! Heads of responses.

use super::{Malformed, RESPONSE_START, fields};

/// Maximum length of a head in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";
/// Version and blank at the beginning of a status line.
const VERSIONS: [&[u8]; 2] = [b"HTTP/1.1 ", b"HTTP/1.0 "];
/// Number of digits of a status.
const STATUS_DIGITS: usize = 3;
/// Maximum number of digits of a length, so that it fits into 64 bits.
const MAX_LENGTH_DIGITS: usize = 19;

/// Bytes of a head that is not complete yet.
#[derive(Debug, Default)]
pub(super) struct HeadBuffer(Vec<u8>);

impl HeadBuffer {
    /// Adds bytes up to the end of the head. Returns how many belong to it, and whether it is
    /// whole.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(usize, bool), Malformed> {
        for (used, byte) in bytes.iter().enumerate() {
            self.push_byte(*byte)?;
            if self.0.ends_with(HEAD_END) {
                return Ok((used + 1, true));
            }
        }
        Ok((bytes.len(), false))
    }

    /// Checks what the library's parser could take for the end of a line or of the head before the
    /// head is whole.
    fn push_byte(&mut self, byte: u8) -> Result<(), Malformed> {
        let at = self.0.len();
        if at >= MAX_HEAD_BYTES {
            return Err(Malformed::HeadTooLong);
        }
        if RESPONSE_START.get(at).is_some_and(|expected| *expected != byte) {
            return Err(Malformed::NotHttp);
        }
        if (self.0.last() == Some(&b'\r')) != (byte == b'\n') {
            return Err(Malformed::LineEnd);
        }
        self.0.push(byte);
        Ok(())
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// What determines the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyLength {
    Bytes(u64),
    Chunks,
    Connection,
}

/// A well-formed head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Head {
    /// The head of an informational response, which another one follows.
    Informational,
    Final(BodyLength),
}

/// The fields of a head that determine the end of the body.
#[derive(Debug, Default)]
struct Framing {
    length: Option<u64>,
    is_chunked: bool,
}

impl Head {
    /// Parses a whole head; `is_head_only` states that the request asked for no body.
    pub(super) fn parse(head: &[u8], is_head_only: bool) -> Result<Self, Malformed> {
        let lines = head.strip_suffix(HEAD_END).unwrap_or(head);
        let (status_line, lines) = match find(lines, LINE_END) {
            Some(end) => (&lines[..end], &lines[end + LINE_END.len()..]),
            None => (lines, &[][..]),
        };
        let status = parse_status(status_line)?;
        let framing = Framing::parse(lines)?;
        if framing.is_chunked && !status_line.starts_with(VERSIONS[0]) {
            return Err(Malformed::TransferCoding);
        }
        match status {
            100 | 102..=199 if framing.is_absent() => Ok(Self::Informational),
            204 if framing.is_absent() || framing.length == Some(0) => {
                Ok(Self::Final(BodyLength::Bytes(0)))
            }
            100 | 102..=199 | 204 => Err(Malformed::UnexpectedBody),
            200..=599 if is_head_only || status == 304 => Ok(Self::Final(BodyLength::Bytes(0))),
            200..=599 => Ok(Self::Final(framing.body())),
            // 101 would change the protocol, which no request asks for.
            _ => Err(Malformed::Status { status }),
        }
    }
}

impl Framing {
    fn parse(lines: &[u8]) -> Result<Self, Malformed> {
        let mut framing = Self::default();
        let mut rest = lines;
        while !rest.is_empty() {
            let end = find(rest, LINE_END).unwrap_or(rest.len());
            framing.add(&rest[..end])?;
            rest = rest.get(end + LINE_END.len()..).unwrap_or_default();
        }
        Ok(framing)
    }

    fn add(&mut self, line: &[u8]) -> Result<(), Malformed> {
        let (name, value) = fields::parse(line)?;
        if name.eq_ignore_ascii_case(b"content-length") {
            let length = parse_length(value).ok_or(Malformed::Length)?;
            if self.length.replace(length).is_some() {
                return Err(Malformed::SeveralLengths);
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Malformed::TransferCoding);
            }
            self.is_chunked = true;
        }
        if self.is_chunked && self.length.is_some() {
            return Err(Malformed::LengthAndCoding);
        }
        Ok(())
    }

    const fn is_absent(&self) -> bool {
        !self.is_chunked && self.length.is_none()
    }

    const fn body(&self) -> BodyLength {
        match self.length {
            _ if self.is_chunked => BodyLength::Chunks,
            Some(length) => BodyLength::Bytes(length),
            None => BodyLength::Connection,
        }
    }
}

fn parse_status(line: &[u8]) -> Result<u16, Malformed> {
    let after_version = VERSIONS.iter().find_map(|version| line.strip_prefix(*version));
    let text = after_version.ok_or(Malformed::StatusLine)?;
    let (digits, reason) = text.split_at_checked(STATUS_DIGITS).ok_or(Malformed::StatusLine)?;
    let is_status = digits.iter().all(u8::is_ascii_digit);
    let is_reason = reason.first().is_none_or(|byte| *byte == b' ')
        && reason.iter().copied().all(fields::is_text_byte);
    if !is_status || !is_reason {
        return Err(Malformed::StatusLine);
    }
    Ok(digits.iter().fold(0, |status, digit| status * 10 + u16::from(digit - b'0')))
}

/// Parses a length: decimal digits and nothing else.
fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty()
        && value.len() <= MAX_LENGTH_DIGITS
        && value.iter().all(u8::is_ascii_digit);
    let text = is_number.then(|| str::from_utf8(value).ok())??;
    text.parse().ok()
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
