//! The subset of HTTP/1.1 that the faulty node supports: messages with a `Content-Length`, read whole.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The longest body that is read, in bytes; the rest of a longer body is left on the connection.
const MAX_BODY_BYTES: usize = 1 << 20;

/// An HTTP request or response.
#[derive(Clone)]
pub(super) struct HttpMessage {
    /// The request line or the status line.
    pub start_line: String,
    /// The header values by lower-case header name.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Reads a message. Returns `None` if the connection ends first or the message is malformed.
    pub async fn read(from: &mut (impl AsyncBufReadExt + Unpin)) -> Option<HttpMessage> {
        let start_line = read_line(from).await?;
        let mut headers = HashMap::new();
        while let Some((name, value)) = read_line(from).await?.trim().split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
        let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0usize);
        let mut body = vec![0; length.min(MAX_BODY_BYTES)];
        from.read_exact(&mut body).await.ok()?;
        Some(HttpMessage { start_line: start_line.trim().into(), headers, body })
    }

    /// A copy of the message without its body.
    pub fn without_body(&self) -> HttpMessage {
        HttpMessage { body: Vec::new(), ..self.clone() }
    }
}

async fn read_line(from: &mut (impl AsyncBufReadExt + Unpin)) -> Option<String> {
    let mut line = String::new();
    let count = from.read_line(&mut line).await.ok()?;
    if count == 0 { None } else { Some(line) }
}

/// An upstream's response.
pub(super) struct UpstreamResponse {
    pub status: u16,
    pub body: String,
}

impl UpstreamResponse {
    /// The response as text to write to a client.
    pub fn encode(&self) -> String {
        encode_response(self.status, &self.body)
    }
}

/// A response as text to write to a client.
pub(super) fn encode_response(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} Told\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Forwards a request on a new connection and returns the response, or `None` if none arrives. Only the
/// request's `Connection` header is changed.
pub(super) async fn forward(to: SocketAddr, request: &HttpMessage) -> Option<UpstreamResponse> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let mut head = format!("{}\r\nConnection: close\r\n", request.start_line);
    for (name, value) in &request.headers {
        if name != "connection" {
            head += &format!("{name}: {value}\r\n");
        }
    }
    head += "\r\n";
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(&request.body).await.ok()?;
    let response = HttpMessage::read(&mut BufReader::new(stream)).await?;
    let status = response.start_line.split(' ').nth(1)?.parse().ok()?;
    Some(UpstreamResponse { status, body: String::from_utf8_lossy(&response.body).into_owned() })
}
