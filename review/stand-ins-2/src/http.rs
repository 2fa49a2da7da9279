//! Reads and writes HTTP/1.1 messages with a `Content-Length`, over blocking sockets.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line, without its end.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// The last part of the path.
    pub fn key(&self) -> &str {
        self.path().rsplit('/').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("X-Request-ID").unwrap_or_default()
    }

    pub fn says_close(&self) -> bool {
        self.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads the next message; `None` if the connection ended in order before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if read_line(reader, &mut message.first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if read_line(reader, &mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
    let length = message.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

fn read_line(reader: &mut BufReader<TcpStream>, line: &mut String) -> io::Result<usize> {
    let count = reader.read_line(line)?;
    while line.ends_with(['\n', '\r']) {
        line.pop();
    }
    Ok(count)
}

/// A response with a body.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} S\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}
