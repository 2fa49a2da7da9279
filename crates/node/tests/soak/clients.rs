//! Clients of all kinds, drawn by seed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::connection::ClientConnection;

/// How long a client states that it waits.
const TIMEOUT_MS: u64 = 4000;
/// In this time every response arrives: up to half a second after the client's timeout.
const RESPONSE_TIME: Duration = Duration::from_millis(TIMEOUT_MS + 500);
const NON_IDEMPOTENT_PREFIX: &str = "once-";
const HEALTH_CHECK: &str = "GET /health/live HTTP/1.1\r\nHost: n\r\n\r\n";

/// Requests that are refused, with an end that is certain: their targets, hosts and further headers.
const REFUSED: [(&str, &str, &str); 22] = [
    ("/read/k", "a b", ""),
    ("/read/%zz", "n", ""),
    ("/read/../k", "n", ""),
    ("/read/k", "n", "X-Timeout-Ms: +5\r\n"),
    ("/read/k", "n", "Connection: x-request-id\r\n"),
    ("/read/k", "n", "X-Attrs: a=1,a=2\r\n"),
    ("/read/k", "n", "X-Cost: many\r\n"),
    ("/read/k", "n", "X-Cost: -5\r\n"),
    ("/read/k", "n", "X-Cost: nan\r\n"),
    ("/read/k", "n", "X-Cost: 5\r\nX-Cost: 5\r\n"),
    ("/read/k", "n", "X-Timeout-Ms: 1000000000000000000\r\n"),
    ("/read/k", "n", "X-Timeout-Ms: soon\r\n"),
    ("/read/k", "n", "X-Retried: 2\r\n"),
    ("/read/k", "n", "X-Priority-Class: read\r\n"),
    ("/read/k", "n", "TE: chunked\r\n"),
    ("/read/k", "n", "Content-Length: 4\r\n\r\nab"),
    ("/read/", "n", ""),
    ("/read//k", "n", ""),
    ("/read/%0d%0ax", "n", ""),
    ("/read/%00", "n", ""),
    ("/read/k", "a,b", ""),
    ("/read/k", "a%20b", ""),
];
/// Headers by which the end of a request is not certain.
const UNPARSABLE: [&str; 7] = [
    "A: \u{7}\r\n",
    "Content-Length: +1\r\n",
    "Content-Length: 1\r\nContent-Length: 1\r\n",
    "Transfer-Encoding: gzip\r\n",
    " folded\r\n",
    "X : y\r\n",
    "A: b\rc\r\n",
];
/// How long the client of a read waits that no endpoint answers, before it leaves.
const PATIENCE: Duration = Duration::from_millis(400);
/// For how long after that copies of its request are sent.
const COPYING_TIME: Duration = Duration::from_millis(600);
const COPY_INTERVAL: Duration = Duration::from_millis(5);
const NEVER_ANSWERED_PREFIX: &str = "hung-";

/// What a client has seen.
#[derive(Debug, Default)]
pub struct Findings {
    pub served: u64,
    pub refused: u64,
    /// The number of requests that came again under their identifier.
    pub returned: u64,
    /// The number of copies that were refused.
    pub copies: u64,
    /// The identifiers of requests that must not be forwarded.
    pub refused_ids: Vec<String>,
    pub faults: Vec<String>,
}

impl Findings {
    /// Adds what another client has seen.
    pub fn merge(&mut self, other: Findings) {
        self.served += other.served;
        self.refused += other.refused;
        self.returned += other.returned;
        self.copies += other.copies;
        self.refused_ids.extend(other.refused_ids);
        self.faults.extend(other.faults);
    }
}

/// Whether the identifier is one of a request that must not be repeated.
pub fn is_non_idempotent(id: &str) -> bool {
    id.starts_with(NON_IDEMPOTENT_PREFIX)
}

/// Whether no endpoint answers a request with this identifier.
pub fn is_never_answered(id: &str) -> bool {
    id.starts_with(NEVER_ANSWERED_PREFIX)
}

/// The status of the response to a single read under this identifier.
pub fn probe(node: SocketAddr, id: &str) -> Option<u16> {
    let mut connection = ClientConnection::open(node);
    connection.send(&format_read("/read/probe", "n", id, ""));
    connection.receive(RESPONSE_TIME)
}

/// Sends as clients of all kinds do, by turns, until the end.
pub fn run_client(node: SocketAddr, seed: u64, client: u64, end: Instant) -> Findings {
    let random = Random(seed * 1000 + client);
    let mut client = Client { node, random, name: client, last_id: 0, findings: Findings::default() };
    while Instant::now() < end {
        match client.random.below(10) {
            0 | 1 => client.send_one_by_one(),
            2 | 3 => client.send_refused_between_valid(),
            4 => client.send_unparsable(),
            5 => client.send_again_after_leaving(),
            6 => client.stop_within_a_head(),
            7 => client.copy_open_read(),
            8 => client.copy_answered_request(),
            _ => client.send_many_at_once(),
        }
    }
    client.findings
}

struct Client {
    node: SocketAddr,
    random: Random,
    name: u64,
    last_id: u64,
    findings: Findings,
}

impl Client {
    fn next_id(&mut self, prefix: &str) -> String {
        self.last_id += 1;
        format!("{prefix}{}-{}", self.name, self.last_id)
    }

    fn expect(&mut self, connection: &mut ClientConnection, expected: u16, sent: &str) {
        let status = connection.receive(RESPONSE_TIME);
        if status != Some(expected) {
            self.findings.faults.push(format!("{sent}: {status:?} instead of {expected}"));
        }
    }

    fn send_one_by_one(&mut self) {
        let mut connection = ClientConnection::open(self.node);
        for _ in 0..=self.random.below(4) {
            let id = self.next_id("one-");
            let request = match self.random.below(3) {
                0 => format_write("post", &id, &"v".repeat(self.random.below(30_000))),
                _ => format_read("/read/k", "n", &id, ""),
            };
            connection.send(&request);
            self.expect(&mut connection, 200, &id);
            self.findings.served += 1;
        }
    }

    fn send_refused_between_valid(&mut self) {
        let ids = [self.next_id("valid-"), self.next_id("refused-"), self.next_id("valid-")];
        let (target, host, header) = REFUSED[self.random.below(REFUSED.len())];
        let text = format_read("/read/a", "n", &ids[0], "")
            + &format_read(target, host, &ids[1], header)
            + &format_read("/read/b", "n", &ids[2], "");
        let mut connection = ClientConnection::open(self.node);
        let (begin, rest) = text.split_at(self.random.below(text.len()));
        connection.send(begin);
        std::thread::sleep(Duration::from_millis(self.random.below(20) as u64));
        connection.send(rest);
        for (id, expected) in ids.iter().zip([200, 400, 200]) {
            self.expect(&mut connection, expected, &format!("{id}, {target} {host} {header}"));
        }
        self.findings.refused += 1;
        self.findings.refused_ids.push(ids[1].clone());
    }

    fn send_unparsable(&mut self) {
        let ids = [self.next_id("valid-"), self.next_id("unparsable-"), self.next_id("behind-")];
        let header = UNPARSABLE[self.random.below(UNPARSABLE.len())];
        let text = format_read("/read/a", "n", &ids[0], "")
            + &format_read("/read/k", "n", &ids[1], header)
            + &format_read("/read/b", "n", &ids[2], "");
        let mut connection = ClientConnection::open(self.node);
        connection.send(&text);
        self.expect(&mut connection, 200, &ids[0]);
        self.expect(&mut connection, 400, header);
        if let Some(status) = connection.receive(RESPONSE_TIME) {
            self.findings.faults.push(format!("{status} for what stands behind {header}"));
        }
        self.findings.refused_ids.extend_from_slice(&ids[1..]);
    }

    fn send_again_after_leaving(&mut self) {
        let id = self.next_id(NON_IDEMPOTENT_PREFIX);
        let request = format_write("once", &id, "x");
        let mut connection = ClientConnection::open(self.node);
        connection.send(&request);
        std::thread::sleep(Duration::from_millis(self.random.below(60) as u64));
        if self.random.below(2) == 0 {
            connection.reset();
        }
        for _ in 0..=self.random.below(3) {
            std::thread::sleep(Duration::from_millis(self.random.below(60) as u64));
            let mut connection = ClientConnection::open(self.node);
            connection.send(&request);
            if connection.receive(RESPONSE_TIME).is_none() {
                self.findings.faults.push(format!("{id} came again and was not answered"));
            }
            self.findings.returned += 1;
        }
    }

    /// Sends a read that no endpoint answers and leaves, and copies of it as soon as they are refused.
    fn copy_open_read(&mut self) {
        let id = self.next_id(NEVER_ANSWERED_PREFIX);
        let mut original = Some(ClientConnection::open(self.node));
        if let Some(connection) = &mut original {
            connection.send(&format_read("/read/k", "n", &id, ""));
        }
        std::thread::sleep(COPY_INTERVAL);
        let begin = Instant::now();
        let mut copier = ClientConnection::open(self.node);
        while begin.elapsed() < PATIENCE + COPYING_TIME {
            if begin.elapsed() >= PATIENCE {
                original = None;
            }
            if self.random.below(4) == 0 {
                copier = ClientConnection::open(self.node);
            }
            self.send_copy(&mut copier, &id);
            std::thread::sleep(COPY_INTERVAL);
        }
        drop(original);
    }

    fn copy_answered_request(&mut self) {
        let id = self.next_id("answered-");
        let mut connection = ClientConnection::open(self.node);
        connection.send(&format_read("/read/k", "n", &id, ""));
        self.expect(&mut connection, 200, &id);
        for _ in 0..=self.random.below(3) {
            std::thread::sleep(Duration::from_millis(self.random.below(200) as u64));
            self.send_copy(&mut connection, &id);
        }
    }

    /// Sends a request under an identifier that was used before: the same request or another one.
    fn send_copy(&mut self, connection: &mut ClientConnection, id: &str) {
        let copy = match self.random.below(4) {
            0 => format_read("/read/k", "n", id, ""),
            1 => format_read("/read/other", "n", id, ""),
            2 => format_write("post", id, "x"),
            _ => format_write("once", id, "x"),
        };
        connection.send(&copy);
        self.expect(connection, 409, &format!("a copy of {id}"));
        self.findings.copies += 1;
    }

    fn stop_within_a_head(&mut self) {
        let id = self.next_id("partial-");
        let headers: String = (0..self.random.below(90)).map(|number| format!("a{number}: b\r\n")).collect();
        let text = format_read("/read/k", "n", &id, &headers);
        let mut connection = ClientConnection::open(self.node);
        connection.send(&text[..text.len() - 1 - self.random.below(20)]);
        if let Some(status) = connection.receive(Duration::from_millis(50)) {
            self.findings.faults.push(format!("{id}: {status} for a part of a request"));
        }
        self.findings.refused_ids.push(id);
    }

    fn send_many_at_once(&mut self) {
        let count = 1 + self.random.below(600);
        let mut connection = ClientConnection::open(self.node);
        connection.send(&HEALTH_CHECK.repeat(count));
        if self.random.below(3) == 0 {
            return;
        }
        let answered = (0..count).map_while(|_| connection.receive(RESPONSE_TIME)).count();
        if answered != count {
            self.findings.faults.push(format!("{answered} of {count} requests were answered"));
        }
    }
}

fn format_read(target: &str, host: &str, id: &str, headers: &str) -> String {
    let timeout =
        if headers.contains("Timeout") { String::new() } else { format!("X-Timeout-Ms: {TIMEOUT_MS}\r\n") };
    format!(
        "GET {target} HTTP/1.1\r\nHost: {host}\r\nX-Request-ID: {id}\r\nX-Priority-Class: read\r\n\
         {timeout}{headers}\r\n"
    )
}

fn format_write(class: &str, id: &str, body: &str) -> String {
    format!(
        "PUT /{class}/k HTTP/1.1\r\nHost: n\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout-Ms: {TIMEOUT_MS}\r\nIdempotency-Key: {id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A generator of pseudo-random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % limit as u64) as usize
    }
}
