//! The line that begins a chunk (RFC 9112, 7.1): the chunk's size, and extensions that the node ignores.

use super::{HEXADECIMAL, ParseError, is_field_byte, is_token, parse_length, skip_whitespace};

/// Parses the line that begins a chunk. Extensions have no meaning here, but their syntax is checked: another
/// hop could find the end of an invalid one elsewhere.
pub(in crate::http) fn parse_chunk_size(line: &[u8]) -> Result<usize, ParseError> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (size, mut extensions) = line.split_at(digits);
    while !extensions.is_empty() {
        extensions = skip_extension(extensions).ok_or(ParseError::Malformed)?;
    }
    parse_length(size, HEXADECIMAL)
}

/// Skips `;name` or `;name=value`, with whitespace around the delimiters; `None` if the text begins with no
/// valid extension.
fn skip_extension(text: &[u8]) -> Option<&[u8]> {
    let text = skip_whitespace(text).strip_prefix(b";")?;
    let rest = skip_token(skip_whitespace(text))?;
    match skip_whitespace(rest).strip_prefix(b"=") {
        Some(value) => skip_value(skip_whitespace(value)),
        None => Some(rest),
    }
}

fn skip_value(text: &[u8]) -> Option<&[u8]> {
    match text.strip_prefix(b"\"") {
        Some(quoted) => skip_quoted(quoted),
        None => skip_token(text),
    }
}

/// Skips the rest of a quoted string (RFC 9110, 5.6.4), after its first quotation mark.
fn skip_quoted(text: &[u8]) -> Option<&[u8]> {
    let mut is_escaped = false;
    for (index, byte) in text.iter().copied().enumerate() {
        match byte {
            _ if !is_field_byte(byte) => return None,
            _ if is_escaped => is_escaped = false,
            b'\\' => is_escaped = true,
            b'"' => return Some(&text[index + 1..]),
            _ => {}
        }
    }
    None
}

fn skip_token(text: &[u8]) -> Option<&[u8]> {
    let length = text.iter().take_while(|byte| is_token(&[**byte])).count();
    (length > 0).then(|| &text[length..])
}
