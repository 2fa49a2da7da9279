//! Commands for the clients and their requests.

use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use super::Harness;
use crate::connection::{ConnectionState, TestConnection, header};
use crate::notation::{extra_header, option, trailing, unescape};

/// The pause between two requests of the command `request-clients`.
const CROWD_INTERVAL: Duration = Duration::from_millis(1);

impl Harness {
    /// Runs the commands for clients, and returns whether the line is such a command.
    pub(super) fn run_client_command(&mut self, line: &str, words: &[&str]) -> bool {
        match *words {
            ["request", client, class, key, ref options @ ..] => {
                let request = format_request(class, key, options);
                self.client(client).write(&request);
            }
            ["requests", client, class, count, ref options @ ..] => {
                let requests = format_requests(class, count, options);
                self.client(client).write(&requests);
            }
            ["send", client, ..] => {
                let text = unescape(trailing(line));
                self.client(client).write(&text);
            }
            ["reset-client", client] => self.clients.remove(client).expect("a client").reset(),
            ["disconnect", client] => {
                let connection = self.clients.remove(client).expect("a client");
                // A child that another test forks may hold the socket until its exec; until then a close does
                // not end the connection. The shutdown fails only where the node has ended the connection.
                let _ = connection.stream.shutdown(Shutdown::Write);
            }
            ["half-close", client] => {
                self.client(client).stream.shutdown(Shutdown::Write).expect("a socket");
            }
            ["stop-reading", client] => {
                let connection =
                    TestConnection::connect_without_reading(self.node).expect("the node listens");
                self.clients.insert(client.to_string(), connection);
            }
            ["resume-reading", client] => self.client(client).is_reading = true,
            ["response", client, status, ref options @ ..] => {
                self.expect_response(line, client, status, options);
            }
            ["client-closed", client] => self.expect_client_closed(line, client),
            ["client-open", client] => {
                self.poll();
                assert!(!self.clients[client].has_ended(), "{line}");
            }
            _ => return self.run_crowd_command(words),
        }
        true
    }

    /// Runs the commands that connect many clients, and returns whether the words are such a command.
    fn run_crowd_command(&mut self, words: &[&str]) -> bool {
        match *words {
            ["idle-clients", count] => self.connect_clients("idle", count, b""),
            ["partial-clients", count] => {
                self.connect_clients("partial", count, b"GET /read/k HTTP/1.1\r\nHost: n\r\nX-Re");
            }
            ["health-clients", count] => {
                self.connect_clients("health", count, b"GET /health/live HTTP/1.1\r\nHost: n\r\n\r\n");
            }
            ["request-clients", count] => {
                for n in 0..count.parse().expect("a count") {
                    self.run(&format!("request crowd{n} read k{n} id=crowd{n} timeout=9000"));
                    std::thread::sleep(CROWD_INTERVAL);
                }
            }
            _ => return false,
        }
        true
    }

    /// The connection of a client, which is opened if the client has none.
    fn client(&mut self, name: &str) -> &mut TestConnection {
        let node = self.node;
        let connect = || TestConnection::new(TcpStream::connect(node).expect("the node listens"));
        self.clients.entry(name.to_string()).or_insert_with(connect)
    }

    fn connect_clients(&mut self, name: &str, count: &str, sent: &[u8]) {
        for n in 0..count.parse().expect("a count") {
            let stream = TcpStream::connect(self.node).expect("the node listens");
            let mut connection = TestConnection::new(stream);
            connection.write(sent);
            self.clients.insert(format!("{name}{n}"), connection);
        }
    }

    fn expect_response(&mut self, line: &str, client: &str, status: &str, options: &[&str]) {
        let response = self.wait_until(line, |harness| harness.clients.get_mut(client)?.take_message());
        let head = &response.head;
        assert_eq!(head.split(' ').nth(1), Some(status), "{line}: {head}");
        if let Some(expected) = option(options, "body") {
            assert_eq!(response.body, unescape(expected), "{line}");
        }
        if let Some((name, value)) = extra_header(line).and_then(|header| header.split_once(": ")) {
            assert_eq!(header(head, name), Some(value), "{line}: {head}");
        }
    }

    fn expect_client_closed(&mut self, line: &str, client: &str) {
        self.wait_until(line, |harness| harness.clients.get(client)?.has_ended().then_some(()));
        let connection = self.clients.remove(client).expect("a client");
        assert_eq!(connection.input.len(), 0, "{line}: bytes arrived before the connection closed");
        assert_eq!(connection.state, ConnectionState::Closed, "{line}");
    }
}

/// Requests that are sent at once, with the number of each after its identifier.
fn format_requests(class: &str, count: &str, options: &[&str]) -> Vec<u8> {
    let prefix = option(options, "id").expect("an id");
    let put = option(options, "bytes").map(|bytes| format!("put=\\*{bytes}x"));
    let format_one = |number: u32| {
        let id = format!("id={prefix}{number}");
        let own_options = put.as_deref().into_iter().chain([&id[..]]);
        let options: Vec<&str> = own_options.chain(options.iter().copied()).collect();
        format_request(class, "k", &options)
    };
    (0..count.parse().expect("a count")).flat_map(format_one).collect()
}

fn format_request(class: &str, key: &str, options: &[&str]) -> Vec<u8> {
    let id = option(options, "id").expect("an id");
    let timeout = option(options, "timeout").unwrap_or("1200");
    let (method, body) = match option(options, "put") {
        Some(body) => ("PUT", unescape(body)),
        None => ("GET", Vec::new()),
    };
    // In a class whose repeats are recognized by their key, a write has one.
    let key_header = match (method, class) {
        ("PUT", "post") => format!("Idempotency-Key: {id}\r\n"),
        _ => String::new(),
    };
    let close = if options.contains(&"close") { "Connection: close\r\n" } else { "" };
    let head = format!(
        "{method} /{class}/{key} HTTP/1.1\r\nHost: n\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout-Ms: {timeout}\r\nX-Cost: 1000\r\n{key_header}{close}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), &body].concat()
}
