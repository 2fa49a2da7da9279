//! The syntax of the elements of a message's head.

use super::message::{MessageHead, ParseError};

/// Largest number of digits of a length, without leading zeros: far more than any body needs, and too few to
/// overflow.
const MAX_LENGTH_DIGITS: usize = 15;

const DECIMAL: u32 = 10;
const HEXADECIMAL: u32 = 16;

/// Whether the text is a token (RFC 9110, 5.6.2).
pub(super) fn is_token(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b))
}

/// Whether the text is a request target in origin form or asterisk form.
pub(super) fn is_target(target: &str) -> bool {
    target.bytes().all(|b| b.is_ascii_graphic()) && target.starts_with(['/', '*'])
}

/// Parses a status code of three digits that is at least 100.
pub(super) fn parse_status(text: &str) -> Result<u16, ParseError> {
    let is_number = text.len() == 3 && text.bytes().all(|b| b.is_ascii_digit());
    if !is_number {
        return Err(ParseError::Malformed);
    }
    match text.parse() {
        Ok(status) if status >= 100 => Ok(status),
        _ => Err(ParseError::Malformed),
    }
}

/// Parses a header line into name and value.
pub(super) fn parse_header(line: &[u8]) -> Result<(String, Vec<u8>), ParseError> {
    let colon = line.iter().position(|b| *b == b':').ok_or(ParseError::Malformed)?;
    let name = &line[..colon];
    let value = line[colon + 1..].trim_ascii();
    let is_valid_value = value.iter().all(|b| *b == b'\t' || (*b >= b' ' && *b != 0x7f));
    if !is_token(name) || !is_valid_value {
        return Err(ParseError::Malformed);
    }
    Ok((String::from_utf8_lossy(name).into_owned(), value.to_vec()))
}

/// The body length that the head announces, if any. Several `Content-Length` headers have to agree.
pub(super) fn parse_content_length(head: &MessageHead) -> Result<Option<usize>, ParseError> {
    let mut lengths = head.header_values("content-length").map(|value| parse_length(value, DECIMAL));
    let first = lengths.next().transpose()?;
    for other in lengths {
        if Some(other?) != first {
            return Err(ParseError::Malformed);
        }
    }
    Ok(first)
}

/// Parses the size line of a chunk, and ignores extensions.
pub(super) fn parse_chunk_size(line: &[u8]) -> Result<usize, ParseError> {
    let size = line.split(|b| *b == b';').next().unwrap_or_default();
    parse_length(size.trim_ascii_end(), HEXADECIMAL)
}

/// Parses a length that consists only of digits of this radix.
fn parse_length(digits: &[u8], radix: u32) -> Result<usize, ParseError> {
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::Malformed)?;
    let is_number = !text.is_empty() && text.chars().all(|c| c.is_digit(radix));
    if !is_number {
        return Err(ParseError::Malformed);
    }
    let significant = text.trim_start_matches('0');
    match significant.len() {
        0 => Ok(0),
        count if count > MAX_LENGTH_DIGITS => Err(ParseError::BodyTooLarge),
        _ => usize::from_str_radix(significant, radix).map_err(|_| ParseError::Malformed),
    }
}
