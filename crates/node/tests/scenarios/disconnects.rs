//! Clients that send requests ahead and disconnect, for each number and length of the requests and each way to
//! end a connection, before and after the first response.

use test_case::test_matrix;

use crate::harness::Harness;

/// How a client disconnects.
#[derive(Clone, Copy)]
enum Disconnect {
    /// The client closes its connection.
    Close,
    /// The client resets its connection.
    Reset,
    /// The client ends its sending and receives until the node ends the connection. It never resets the
    /// connection, so that no answer to what the node writes tells that it has gone.
    HalfClose,
}

/// Which response the client has received when it disconnects.
#[derive(Clone, Copy)]
enum Moment {
    BeforeFirstResponse,
    AfterFirstResponse,
}

/// Requests that a client sends ahead at once.
struct SentAhead {
    class: &'static str,
    count: usize,
    /// The length of each body in bytes; `None` for reads.
    body_bytes: Option<usize>,
}

const fn reads(count: usize) -> SentAhead {
    SentAhead { class: "read", count, body_bytes: None }
}

const fn writes(count: usize, body_bytes: usize) -> SentAhead {
    SentAhead { class: "once", count, body_bytes: Some(body_bytes) }
}

/// From one request to several megabytes, which exceed what the node holds and what the system buffers.
const SENT_AHEAD: [SentAhead; 10] = [
    reads(1),
    reads(30),
    reads(20_000),
    writes(1, 1),
    writes(3, 100),
    writes(4, 4096),
    writes(20, 4096),
    writes(1000, 4096),
    writes(2, 65_536),
    writes(60, 60_000),
];

/// An attempt may begin this long after the client of its request has disconnected.
const MAX_START_AFTER_DISCONNECT_MS: u64 = 150;
/// No attempt may begin in this time afterwards.
const QUIET_MS: u64 = 100;
/// What a client may send ahead is bounded, whatever it sends.
const MAX_MEMORY_MB: u64 = 16;

/// A client that sends a request, then others ahead, and disconnects.
struct Client {
    name: String,
    disconnect: Disconnect,
}

impl Client {
    fn send_first_request(&self, harness: &mut Harness) {
        let name = &self.name;
        harness.run(&format!("request {name} once k id={name}-first timeout=20000 put=a"));
        harness.run(&format!("attempt origin {name}-first put=a left=20000"));
    }

    fn send_ahead(&self, harness: &mut Harness, sent: &SentAhead) {
        let SentAhead { class, count, body_bytes } = sent;
        let name = &self.name;
        let body = body_bytes.map_or(String::new(), |bytes| format!(" bytes={bytes}"));
        harness.run(&format!("requests {name} {class} {count} id={name}-ahead timeout=20000{body}"));
    }

    /// The node answers the first request, and the next one is in progress.
    fn receive_first_response(&self, harness: &mut Harness) {
        let name = &self.name;
        harness.run(&format!("reply {name}-first 200"));
        harness.run(&format!("response {name} 200"));
        harness.run(&format!("request {name} once k id={name}-second timeout=20000 put=a"));
        harness.run(&format!("attempt origin {name}-second put=a left=20000"));
    }

    fn disconnect(&self, harness: &mut Harness) {
        let name = &self.name;
        match self.disconnect {
            Disconnect::Close => harness.run(&format!("disconnect {name}")),
            Disconnect::Reset => harness.run(&format!("reset-client {name}")),
            Disconnect::HalfClose => harness.run(&format!("half-close {name}")),
        }
        harness.run(&format!("wait {MAX_START_AFTER_DISCONNECT_MS}"));
        if matches!(self.disconnect, Disconnect::HalfClose) {
            harness.run(&format!("client-closed {name}"));
        }
    }

    /// The attempt in progress ends without an execution, so that the node could send the request again, and
    /// after it the next one.
    fn end_attempt_in_progress(&self, harness: &mut Harness, moment: Moment) {
        let name = &self.name;
        let request = match moment {
            Moment::BeforeFirstResponse => format!("{name}-first"),
            Moment::AfterFirstResponse => format!("{name}-second"),
        };
        harness.run(&format!("reply {request} 503 + X-Not-Processed: 1"));
    }
}

/// Guards against attempts that begin for a client which has disconnected: the end of its connection stands
/// behind what it sent ahead, however much that is.
#[test_matrix(
    [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose],
    [Moment::BeforeFirstResponse, Moment::AfterFirstResponse]
)]
fn no_attempt_begins_after_a_disconnect(disconnect: Disconnect, moment: Moment) {
    let mut harness = Harness::new();
    for line in [
        "settings Products.0.ClientTimeoutUs=20000000 Products.2.ClientTimeoutUs=20000000",
        "start",
        "watch",
        "list a origin",
    ] {
        harness.run(line);
    }
    for (number, sent) in SENT_AHEAD.iter().enumerate() {
        let client = Client { name: format!("c{number}"), disconnect };
        client.send_first_request(&mut harness);
        if matches!(moment, Moment::AfterFirstResponse) {
            client.receive_first_response(&mut harness);
        }
        client.send_ahead(&mut harness, sent);
        client.disconnect(&mut harness);
        client.end_attempt_in_progress(&mut harness, moment);
        harness.run(&format!("quiet {QUIET_MS}"));
    }
    harness.run(&format!("peak-memory {MAX_MEMORY_MB}"));
}
