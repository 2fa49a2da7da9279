//! Commands for endpoints and for the attempts that arrive at them.

use std::net::{SocketAddr, TcpListener, TcpStream};

use super::Harness;
use crate::connection::{ConnectionState, ReceivedMessage, TestConnection, fill_accept_queue, header};
use crate::notation::{extra_header, option, trailing, unescape};

/// The timeout of a request, and so the most time that its attempt may have left, unless a command says
/// otherwise.
const DEFAULT_TIMEOUT_MS: u64 = 1200;

/// An endpoint that listens on loopback.
#[derive(Default)]
pub struct TestEndpoint {
    /// None once the endpoint was killed.
    pub listener: Option<TcpListener>,
    pub address: Option<SocketAddr>,
    /// The number of connections accepted so far.
    pub accepted: usize,
    /// Connections without an attempt.
    pub connections: Vec<TestConnection>,
    /// Connections that fill the listener's accept queue while the endpoint is blocked.
    pub blocked_by: Option<Vec<TcpStream>>,
}

impl TestEndpoint {
    /// Accepts connections, unless the endpoint is blocked or was killed.
    pub fn accept(&mut self) {
        if self.blocked_by.is_some() {
            return;
        }
        let Some(listener) = &self.listener else { return };
        while let Ok((stream, _)) = listener.accept() {
            self.accepted += 1;
            self.connections.push(TestConnection::new(stream));
        }
    }

    /// Reads from all connections without an attempt, and returns the attempts that have arrived.
    pub fn poll_attempts(&mut self, name: &str) -> Vec<ArrivedAttempt> {
        let mut attempts = Vec::new();
        let mut waiting = Vec::new();
        for mut connection in self.connections.drain(..) {
            connection.poll();
            match connection.take_message() {
                Some(request) => {
                    attempts.push(ArrivedAttempt { endpoint: name.to_string(), request, connection });
                }
                None if connection.state == ConnectionState::Open => waiting.push(connection),
                None => {}
            }
        }
        self.connections = waiting;
        attempts
    }
}

/// An attempt that has arrived at an endpoint.
pub struct ArrivedAttempt {
    pub endpoint: String,
    pub request: ReceivedMessage,
    pub connection: TestConnection,
}

impl Harness {
    /// Runs the commands for endpoints and attempts, and returns whether the line is such a command.
    pub(super) fn run_endpoint_command(&mut self, line: &str, words: &[&str]) -> bool {
        match *words {
            ["attempt", endpoint, id, ref options @ ..] => self.expect_attempt(line, endpoint, id, options),
            ["reply", id, status, ref options @ ..] => self.reply(line, id, status, options),
            ["reply-part", id, ..] => {
                let text = unescape(trailing(line));
                self.attempts.get_mut(id).expect("an attempt").connection.write(&text);
            }
            ["reset-attempt", id] => self.attempts.remove(id).expect("an attempt").connection.reset(),
            ["close-attempt", id] => drop(self.attempts.remove(id)),
            ["attempt-closed", id] => {
                self.wait_until(line, |harness| {
                    harness.attempts.get(id)?.connection.has_ended().then_some(())
                });
                self.attempts.remove(id);
            }
            ["connection-count", endpoint, count] => {
                let name = self.resolve_endpoint(endpoint);
                assert_eq!(self.endpoints[&name].accepted.to_string(), count, "{line}");
            }
            ["block", name] => {
                self.entry(name);
                let endpoint = self.endpoints.get_mut(name).expect("an endpoint");
                let listener = endpoint.listener.as_ref().expect("a listener");
                endpoint.blocked_by = Some(fill_accept_queue(listener));
            }
            ["unblock", name] => {
                self.endpoints.get_mut(name).expect("an endpoint").blocked_by = None;
                self.poll();
            }
            ["kill", name] => {
                let name = self.resolve_endpoint(name);
                let endpoint = self.endpoints.get_mut(&name).expect("an endpoint");
                endpoint.listener = None;
                endpoint.connections.clear();
            }
            _ => return false,
        }
        true
    }

    /// The name of the endpoint that a scenario's name stands for.
    fn resolve_endpoint(&self, name: &str) -> String {
        self.bound_names.get(name).cloned().unwrap_or_else(|| name.to_string())
    }

    fn expect_attempt(&mut self, line: &str, endpoint: &str, id: &str, options: &[&str]) {
        let attempt = self.wait_until(line, |harness| {
            let has_id = |attempt: &ArrivedAttempt| header(&attempt.request.head, "x-request-id") == Some(id);
            let index = harness.arrived.iter().position(has_id)?;
            Some(harness.arrived.remove(index))
        });
        let actual = &attempt.endpoint;
        let is_variable = endpoint.chars().all(char::is_uppercase);
        let expected = if endpoint == "any" {
            actual.clone()
        } else if is_variable {
            self.bound_names.entry(endpoint.to_string()).or_insert_with(|| actual.clone()).clone()
        } else {
            endpoint.to_string()
        };
        assert_eq!(*actual, expected, "{line}");
        let names = self.bound_names.values().filter(|bound| *bound == actual).count();
        assert!(names <= 1, "{line}: two upper-case names stand for endpoint {actual}");
        if let Some(target) = option(options, "target") {
            let start_line = attempt.request.head.lines().next();
            let method = if option(options, "put").is_some() { "PUT" } else { "GET" };
            assert_eq!(start_line, Some(&format!("{method} {target} HTTP/1.1")[..]), "{line}");
        }
        let expected_body = option(options, "put").map_or(Vec::new(), unescape);
        assert_eq!(attempt.request.body, expected_body, "{line}");
        let left = header(&attempt.request.head, "x-timeout-ms").and_then(|ms| ms.parse().ok());
        let left: u64 = left.expect("a time");
        let max_left = option(options, "left").map_or(DEFAULT_TIMEOUT_MS, |ms| ms.parse().expect("a time"));
        assert!(left <= max_left, "{line}: the attempt has {left} ms left, more than {max_left} ms");
        self.attempts.insert(id.to_string(), attempt);
    }

    fn reply(&mut self, line: &str, id: &str, status: &str, options: &[&str]) {
        let mut attempt = self.attempts.remove(id).expect("an attempt");
        let body = option(options, "body").map_or(Vec::new(), unescape);
        let extra = extra_header(line).map(|header| format!("{header}\r\n")).unwrap_or_default();
        let head = format!("HTTP/1.1 {status} Such\r\n{extra}Content-Length: {}\r\n\r\n", body.len());
        attempt.connection.write(&[head.as_bytes(), &body].concat());
        let endpoint = self.endpoints.get_mut(&attempt.endpoint).expect("an endpoint");
        endpoint.connections.push(attempt.connection);
    }
}
