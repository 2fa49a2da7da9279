//! The syntax of the elements of a message (RFC 9110, RFC 9112 and RFC 3986).

mod chunk;
mod host;
mod uri;

use super::headers::Headers;
use super::message::{MessageHead, ParseError};

pub(super) use self::chunk::parse_chunk_size;
pub use self::host::HostAndPort;
pub(super) use self::uri::is_path_and_query;

/// Largest number of digits of a length, with leading zeros: far more than any body needs, and too few to overflow.
const MAX_LENGTH_DIGITS: usize = 15;

const DECIMAL: u32 = 10;
const HEXADECIMAL: u32 = 16;

/// The status with which a server changes to another protocol. The node never asks for that.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Whether the text is a token (RFC 9110, 5.6.2).
pub fn is_token(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b))
}

/// Whether the byte may stand in a header's value, a reason phrase or a quoted string (RFC 9110, 5.5): a
/// visible character, a space, a tab, or a byte above ASCII.
pub(super) fn is_field_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Removes optional whitespace (RFC 9110, 5.6.3) from both ends: spaces and tabs, and nothing else.
pub fn trim_whitespace(text: &[u8]) -> &[u8] {
    let text = skip_whitespace(text);
    let end = text.iter().rposition(|byte| !is_whitespace(*byte)).map_or(0, |last| last + 1);
    &text[..end]
}

/// Removes optional whitespace from the begin.
fn skip_whitespace(text: &[u8]) -> &[u8] {
    let length = text.iter().take_while(|byte| is_whitespace(**byte)).count();
    &text[length..]
}

fn is_whitespace(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t')
}

/// Parses a status code of three digits that is at least 100.
pub(super) fn parse_status(text: &[u8]) -> Result<u16, ParseError> {
    let is_number = text.len() == 3 && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_number).ok_or(ParseError::Malformed)?;
    match text.parse() {
        Ok(status) if status >= 100 && status != SWITCHING_PROTOCOLS => Ok(status),
        _ => Err(ParseError::Malformed),
    }
}

/// Parses a header line and appends it to the headers.
pub(super) fn parse_header(line: &[u8], headers: &mut Headers) -> Result<(), ParseError> {
    let (name, value) = split_header(line)?;
    headers.push(name, value);
    Ok(())
}

/// Splits a header line into name and value.
pub(super) fn split_header(line: &[u8]) -> Result<(&str, &[u8]), ParseError> {
    let colon = line.iter().position(|b| *b == b':').ok_or(ParseError::Malformed)?;
    let name = &line[..colon];
    let value = trim_whitespace(&line[colon + 1..]);
    if !is_token(name) || !value.iter().copied().all(is_field_byte) {
        return Err(ParseError::Malformed);
    }
    let name = std::str::from_utf8(name).map_err(|_| ParseError::Malformed)?;
    Ok((name, value))
}

/// The body length that the head announces, if any. A header that is repeated is refused, also if the lengths agree
/// (RFC 9110, 8.6 leaves that to the recipient).
pub(super) fn parse_content_length(head: &MessageHead) -> Result<Option<usize>, ParseError> {
    let mut lengths = head.header_values("content-length");
    let Some(length) = lengths.next() else { return Ok(None) };
    if lengths.next().is_some() {
        return Err(ParseError::Malformed);
    }
    parse_length(length, DECIMAL).map(Some)
}

/// Parses a length that consists only of digits of this radix.
fn parse_length(digits: &[u8], radix: u32) -> Result<usize, ParseError> {
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::Malformed)?;
    let is_number = !text.is_empty() && text.chars().all(|c| c.is_digit(radix));
    if !is_number {
        return Err(ParseError::Malformed);
    }
    if text.len() > MAX_LENGTH_DIGITS {
        return Err(ParseError::BodyTooLarge);
    }
    usize::from_str_radix(text, radix).map_err(|_| ParseError::Malformed)
}
