//! Bodies in chunks.

use super::{Malformed, fields};

/// What follows in a body in chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The length of a chunk, of which this many digits were received.
    Length {
        digits: usize,
    },
    /// An extension behind the length.
    Extension,
    /// The line feed behind the length or an extension.
    LengthEnd,
    /// Bytes of a chunk.
    Data,
    /// The carriage return, and the line feed, behind a chunk.
    DataReturn,
    DataEnd,
    /// The beginning of a line behind the last chunk: a trailer, or the end.
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerEnd,
    /// The line feed that ends the body.
    LastEnd,
}

/// Checks the framing of a body.
#[derive(Debug)]
pub(super) struct Chunks {
    state: State,
    /// Bytes of the current chunk that have not been received.
    left: u64,
}

impl Default for Chunks {
    fn default() -> Self {
        Self { state: State::Length { digits: 0 }, left: 0 }
    }
}

impl Chunks {
    /// Checks bytes up to the end of the body. Returns how many belong to it, and whether it is
    /// whole.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(usize, bool), Malformed> {
        let mut at = 0;
        while at < bytes.len() {
            if self.state == State::Data {
                at += self.skip_data(bytes.len() - at);
                continue;
            }
            let is_end = self.state == State::LastEnd;
            self.state = self.after(bytes[at])?;
            at += 1;
            if is_end {
                return Ok((at, true));
            }
        }
        Ok((bytes.len(), false))
    }

    /// Takes up to `available` bytes of the chunk; returns how many.
    fn skip_data(&mut self, available: usize) -> usize {
        let used = usize::try_from(self.left).unwrap_or(usize::MAX).min(available);
        self.left -= used as u64;
        if self.left == 0 {
            self.state = State::DataReturn;
        }
        used
    }

    /// The state behind a byte of the framing.
    fn after(&mut self, byte: u8) -> Result<State, Malformed> {
        let line_feed = |next| if byte == b'\n' { Ok(next) } else { Err(Malformed::LineEnd) };
        match self.state {
            State::Length { digits } => self.after_length_byte(byte, digits),
            State::Extension if byte == b'\r' => Ok(State::LengthEnd),
            State::Extension if fields::is_text_byte(byte) => Ok(State::Extension),
            State::Extension => Err(Malformed::ChunkLength),
            State::LengthEnd if self.left == 0 => line_feed(State::TrailerStart),
            State::LengthEnd => line_feed(State::Data),
            State::DataReturn if byte == b'\r' => Ok(State::DataEnd),
            State::DataReturn => Err(Malformed::ChunkEnd),
            State::DataEnd => line_feed(State::Length { digits: 0 }),
            State::TrailerStart => match byte {
                b'\r' => Ok(State::LastEnd),
                b' ' | b'\t' => Err(Malformed::FoldedLine),
                _ if fields::is_name_byte(byte) => Ok(State::TrailerName),
                _ => Err(Malformed::Name),
            },
            State::TrailerName => match byte {
                b':' => Ok(State::TrailerValue),
                b'\r' | b'\n' => Err(Malformed::NoColon),
                _ if fields::is_name_byte(byte) => Ok(State::TrailerName),
                _ => Err(Malformed::Name),
            },
            State::TrailerValue if byte == b'\r' => Ok(State::TrailerEnd),
            State::TrailerValue if fields::is_text_byte(byte) => Ok(State::TrailerValue),
            State::TrailerValue => Err(Malformed::Value),
            State::TrailerEnd => line_feed(State::TrailerStart),
            State::LastEnd => line_feed(State::LastEnd),
            State::Data => Ok(State::Data),
        }
    }

    fn after_length_byte(&mut self, byte: u8, digits: usize) -> Result<State, Malformed> {
        let Some(digit) = char::from(byte).to_digit(16) else {
            return match byte {
                b'\r' if digits > 0 => Ok(State::LengthEnd),
                b';' if digits > 0 => Ok(State::Extension),
                _ => Err(Malformed::ChunkLength),
            };
        };
        let left = self.left.checked_mul(16).and_then(|left| left.checked_add(u64::from(digit)));
        self.left = left.ok_or(Malformed::ChunkLength)?;
        Ok(State::Length { digits: digits + 1 })
    }
}
