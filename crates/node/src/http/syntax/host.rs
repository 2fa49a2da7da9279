//! The host and port that a request is for (RFC 9110, 7.2 and RFC 3986, 3.2).

use std::net::Ipv6Addr;

/// A host with an optional port, as in the `Host` header.
///
/// Invariant: the host is an IP address or a name of letters, digits, `-`, `.` and `_`, and is not empty. The syntax of
/// URIs allows more in a name, by which hops could read several hosts or another one.
#[derive(Clone, Debug)]
pub struct HostAndPort {
    text: Box<str>,
}

impl HostAndPort {
    /// Parses a host with an optional port; `None` if the text is none.
    pub fn parse(text: &str) -> Option<HostAndPort> {
        let (host, port) = split_port(text)?;
        let is_host = match host.strip_prefix('[') {
            Some(literal) => literal.strip_suffix(']')?.parse::<Ipv6Addr>().is_ok(),
            None => is_name(host),
        };
        (is_host && is_port(port)).then(|| HostAndPort { text: text.into() })
    }

    /// The host and port as they were received.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Whether both name the same host and port. Names of hosts are case-insensitive.
    pub fn is_same(&self, other: &HostAndPort) -> bool {
        self.text.eq_ignore_ascii_case(&other.text)
    }
}

/// Splits a text into the host and the port, which is empty if there is none.
fn split_port(text: &str) -> Option<(&str, &str)> {
    if text.starts_with('[') {
        let end = text.find(']')? + 1;
        let (host, rest) = text.split_at(end);
        return match rest.strip_prefix(':') {
            Some(port) => Some((host, port)),
            None => rest.is_empty().then_some((host, "")),
        };
    }
    Some(text.split_once(':').unwrap_or((text, "")))
}

fn is_port(port: &str) -> bool {
    let is_number = port.bytes().all(|byte| byte.is_ascii_digit());
    is_number && (port.is_empty() || port.parse::<u16>().is_ok())
}

/// Whether the text is a name or an IPv4 address, which has the form of a name.
fn is_name(host: &str) -> bool {
    let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    !host.is_empty() && host.bytes().all(is_name_byte)
}
