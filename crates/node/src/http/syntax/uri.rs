//! The characters of a URI (RFC 3986).

/// Whether the byte stands for itself in every part of a URI (RFC 3986, 2.3).
fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~".contains(&byte)
}

/// Whether the byte may separate the parts of a component (RFC 3986, 2.2).
fn is_sub_delimiter(byte: u8) -> bool {
    b"!$&'()*+,;=".contains(&byte)
}

/// Whether the text consists of bytes that `is_allowed` and of percent-encoded bytes (RFC 3986, 2.1).
fn is_percent_encoded(text: &[u8], is_allowed: impl Fn(u8) -> bool) -> bool {
    let mut rest = text;
    while let Some((byte, after)) = rest.split_first() {
        rest = match (byte, after) {
            (b'%', [high, low, after @ ..]) if high.is_ascii_hexdigit() && low.is_ascii_hexdigit() => after,
            (b'%', _) => return false,
            (byte, after) if is_allowed(*byte) => after,
            _ => return false,
        };
    }
    true
}

/// Whether the text is an absolute path with an optional query (RFC 9112, 3.2.1).
pub(in crate::http) fn is_path_and_query(text: &str) -> bool {
    let (path, query) = text.split_once('?').unwrap_or((text, ""));
    let is_path_byte = |byte| is_segment_byte(byte) || byte == b'/';
    let is_query_byte = |byte| is_path_byte(byte) || byte == b'?';
    path.starts_with('/')
        && is_percent_encoded(path.as_bytes(), is_path_byte)
        && is_percent_encoded(query.as_bytes(), is_query_byte)
}

/// Whether the byte stands for itself in a segment of a path (RFC 3986, 3.3).
fn is_segment_byte(byte: u8) -> bool {
    is_unreserved(byte) || is_sub_delimiter(byte) || matches!(byte, b':' | b'@')
}
