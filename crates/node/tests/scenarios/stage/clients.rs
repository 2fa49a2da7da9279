//! The clients and their calls.

use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use super::Stage;
use crate::connection::{Conn, header};
use crate::notation::{option, trailing, unescape};

impl Stage {
    /// Plays the verbs for clients; whether the line is one of these.
    pub(super) fn play_clients(&mut self, line: &str, words: &[&str]) -> bool {
        match *words {
            ["call", client, request_class, key, ref options @ ..] => {
                let body = option(options, "put");
                let id = option(options, "id").expect("an id");
                let timeout = option(options, "timeout").unwrap_or("1200");
                let (method, body) = body.map_or(("GET", Vec::new()), |b| ("PUT", unescape(b)));
                let close = if options.contains(&"close") { "Connection: close\r\n" } else { "" };
                let head = format!(
                    "{method} /{request_class}/{key} HTTP/1.1\r\nHost: n\r\nX-Request-ID: {id}\r\nX-Priority-Class: {request_class}\r\n\
                     X-Timeout-Ms: {timeout}\r\nX-Cost: 1000\r\n{close}Content-Length: {}\r\n\r\n",
                    body.len()
                );
                let conn = self.client(client);
                conn.write(&[head.as_bytes(), &body].concat());
            }
            ["send", client, ..] => {
                let text = unescape(trailing(line));
                self.client(client).write(&text);
            }
            ["tear", client] => {
                self.clients.remove(client).expect("a client").tear();
            }
            ["leave", client] => {
                let conn = self.clients.remove(client).expect("a client");
                // A child that another test forks may hold the socket until its exec: a close alone ends nothing till then.
                let _ = conn.stream.shutdown(Shutdown::Write);
            }
            ["half-close", client] => {
                self.client(client).stream.shutdown(Shutdown::Write).expect("a socket");
            }
            ["withhold", client] => {
                let conn = Conn::withholding(self.node).expect("the node listens");
                self.clients.insert(client.to_string(), conn);
            }
            ["read-on", client] => self.client(client).withholds = false,
            ["answer", client, status, ref options @ ..] => {
                let (head, body) = self.until(line, |s| s.clients.get_mut(client)?.message());
                assert_eq!(head.split(' ').nth(1), Some(status), "{line}: {head}");
                if let Some(expected) = option(options, "body") {
                    assert_eq!(body, unescape(expected), "{line}");
                }
                if let Some((name, value)) = line.split_once(" + ").and_then(|(_, h)| h.split_once(": ")) {
                    assert_eq!(header(&head, name), Some(value), "{line}: {head}");
                }
            }
            ["ended", client] => {
                let rest =
                    self.until(line, |s| s.clients.get(client).filter(|c| c.ended).map(|c| c.input.len()));
                assert_eq!(rest, 0, "{line}: something came before");
                assert!(!self.clients[client].torn, "{line}: by a reset");
                self.clients.remove(client);
            }
            ["kept", client] => {
                self.poll();
                assert!(!self.clients[client].ended, "{line}");
            }
            [what @ ("idle" | "halves" | "asked"), count] => {
                for n in 0..count.parse().expect("a count") {
                    let mut conn = Conn::new(TcpStream::connect(self.node).expect("the node listens"));
                    conn.write(match what {
                        "halves" => b"GET /read/k HTTP/1.1\r\nHost: n\r\nX-Re",
                        "asked" => b"GET /health/live HTTP/1.1\r\nHost: n\r\n\r\n",
                        _ => b"",
                    });
                    self.clients.insert(format!("{what}{n}"), conn);
                }
            }
            ["crowd", count] => {
                for n in 0..count.parse().expect("a count") {
                    self.play(&format!("call crowd{n} read k{n} id=crowd{n} timeout=9000"));
                    std::thread::sleep(Duration::from_millis(1));
                }
            }
            _ => return false,
        }
        true
    }

    fn client(&mut self, name: &str) -> &mut Conn {
        let node = self.node;
        let open = || Conn::new(TcpStream::connect(node).expect("the node listens"));
        self.clients.entry(name.to_string()).or_insert_with(open)
    }
}
