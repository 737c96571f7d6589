//! Rules for the lines of heads and trailers.

use super::Malformed;

/// Whether a byte may be part of the name of a field (`tchar` in RFC 9110).
pub(super) const fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(
            byte,
            b'!' | b'#'
                | b'$'
                | b'%'
                | b'&'
                | b'\''
                | b'*'
                | b'+'
                | b'-'
                | b'.'
                | b'^'
                | b'_'
                | b'`'
                | b'|'
                | b'~'
        )
}

/// Whether a byte may be part of a value, a reason or a chunk extension: printable ASCII, blank or
/// tab. Bytes above 127, which RFC 9110 calls obsolete, are not accepted.
pub(super) const fn is_text_byte(byte: u8) -> bool {
    matches!(byte, b' '..=b'~' | b'\t')
}

/// Splits a line of a head into the name and the trimmed value of its field.
pub(super) fn parse(line: &[u8]) -> Result<(&[u8], &[u8]), Malformed> {
    if matches!(line.first(), Some(b' ' | b'\t')) {
        return Err(Malformed::FoldedLine);
    }
    let colon = line.iter().position(|byte| *byte == b':').ok_or(Malformed::NoColon)?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    if name.is_empty() || !name.iter().copied().all(is_name_byte) {
        return Err(Malformed::Name);
    }
    if !value.iter().copied().all(is_text_byte) {
        return Err(Malformed::Value);
    }
    Ok((name, value.trim_ascii()))
}
