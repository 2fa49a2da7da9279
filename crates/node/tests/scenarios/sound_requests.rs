//! Requests that are drawn by the grammar, and the same requests broken in one place, sent to the program itself.

use std::fmt::Write;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

use crate::harness::Harness;

/// The number of drawn requests. Each is sent unbroken and broken.
const CASES: u32 = 150;

/// A request that is valid by the grammar.
#[derive(Clone, Debug)]
struct SoundRequest {
    target: String,
    host: String,
    /// Headers that the protocol names, and free ones.
    headers: Vec<&'static str>,
    /// The body of a write, in chunks; `None` for a read.
    chunks: Option<Vec<String>>,
    is_chunked: bool,
    chunk_extension: &'static str,
}

/// One place of a request at which it can be broken.
#[derive(Clone, Debug)]
enum Break {
    Host(&'static str),
    /// Appended to the target.
    Target(&'static str),
    Header(&'static str),
    /// A header by which the end of the request becomes uncertain.
    Framing(&'static str),
    /// An extension of the chunks, which makes the body a chunked one.
    ChunkExtension(&'static str),
    Trailer(&'static str),
}

impl Break {
    /// Whether it is certain where the broken request ends.
    fn is_end_certain(&self) -> bool {
        matches!(self, Break::Host(_) | Break::Target(_) | Break::Header(_))
    }
}

fn sound_request() -> impl Strategy<Value = SoundRequest> {
    let target =
        r"/(read|post)/[A-Za-z0-9._~!$&'()*+,;=:@-]{1,20}(/%[2-6][0-9A-Fa-f]x)?(\?[A-Za-z0-9/?:@!&=-]{0,9})?";
    let host = prop_oneof![r"[a-z0-9.-]{1,20}(:[1-9][0-9]{0,3})?", Just("[::1]:80".to_string())];
    let headers = prop::sample::subsequence(
        vec![
            "X-Cost: 1000",
            "X-Retried: 1",
            "X-Attrs: a=1,b=2.5",
            "Accept:\t*/* ",
            "Connection: keep-alive, te",
            "Empty:",
        ],
        0..5,
    );
    let chunks = prop::option::of(prop::collection::vec("[a-z]{1,30}", 1..4));
    let extension = prop::sample::select(vec!["", ";a", " ; a = \"b;\\\"c\""]);
    (target, host, headers, chunks, any::<bool>(), extension).prop_map(
        |(target, host, headers, chunks, is_chunked, chunk_extension)| SoundRequest {
            target,
            host,
            headers,
            chunks,
            is_chunked,
            chunk_extension,
        },
    )
}

fn break_of_request() -> impl Strategy<Value = Break> {
    let host = prop::sample::select(vec![
        "a b", "a/b", "u@h", "h:x", "h:99999", "%zz", "[::1", "", "a, b", "a,b", "a%20b", "[v1.a]", "\u{e9}",
    ]);
    let target = prop::sample::select(vec![
        "%zz",
        "%",
        "%1",
        "#f",
        "\"",
        "<",
        "\\",
        "^",
        "`",
        "{",
        "|",
        "/../x",
        "/%2e",
        "/",
        "//x",
        "%00",
        "%0d%0aA:b",
        "%7f",
    ]);
    let header = prop::sample::select(vec![
        "X-Timeout-Ms: +1000",
        "X-Timeout-Ms: 5",
        "X-Request-ID: other",
        "Host: other",
        "X-Priority-Class: once",
        "Connection: x-request-id",
        "Connection: a b",
        "Idempotency-Key:",
        "X-Attrs: a",
        "TE: chunked",
    ]);
    let framing = prop::sample::select(vec![
        "Content-Length: +1",
        "Content-Length: 99, 98",
        "Transfer-Encoding: gzip",
        "Content-Length : 1",
        " folded",
        "A: \u{7}",
        "A: b\u{c}",
        "no colon",
    ]);
    let extension = prop::sample::select(vec![";", ";a=", ";a b", ";a\u{1}", " ", ";a=\"b"]);
    let trailer = prop::sample::select(vec![
        "Content-Length: 1",
        "X-Request-ID: a",
        "Idempotency-Key: a",
        "Host: h",
        "a b: c",
    ]);
    prop_oneof![
        host.prop_map(Break::Host),
        target.prop_map(Break::Target),
        header.prop_map(Break::Header),
        framing.prop_map(Break::Framing),
        extension.prop_map(Break::ChunkExtension),
        trailer.prop_map(Break::Trailer),
    ]
}

impl SoundRequest {
    /// The request's text, broken at one place if there is a break.
    fn format(&self, id: &str, broken: Option<&Break>) -> String {
        let host = if let Some(Break::Host(host)) = broken { host } else { &self.host[..] };
        let method = if self.is_write(broken) { "PUT" } else { "GET" };
        let target = self.format_target(broken);
        let mut text = format!(
            "{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Request-ID: {id}\r\nX-Priority-Class: {}\r\n\
             X-Timeout-Ms: 1200\r\n",
            self.class()
        );
        if method == "PUT" {
            write!(text, "Idempotency-Key: {id}\r\n").expect("a text");
        }
        for header in &self.headers {
            text.push_str(header);
            text.push_str("\r\n");
        }
        if let Some(Break::Header(header) | Break::Framing(header)) = broken {
            text.push_str(header);
            text.push_str("\r\n");
        }
        self.format_body(&mut text, broken);
        text
    }

    fn format_target(&self, broken: Option<&Break>) -> String {
        match broken {
            Some(Break::Target(suffix)) => {
                let path = self.target.split('?').next().unwrap_or_default();
                format!("{path}{suffix}")
            }
            _ => self.target.clone(),
        }
    }

    /// The request class, which the first segment of the path names.
    fn class(&self) -> &str {
        self.target.split('/').nth(1).unwrap_or_default()
    }

    fn is_write(&self, broken: Option<&Break>) -> bool {
        self.chunks.is_some() || matches!(broken, Some(Break::ChunkExtension(_) | Break::Trailer(_)))
    }

    fn body(&self) -> String {
        self.chunks.iter().flatten().map(String::as_str).collect()
    }

    fn format_body(&self, text: &mut String, broken: Option<&Break>) {
        if !self.is_write(broken) {
            return text.push_str("\r\n");
        }
        let is_broken_chunk = matches!(broken, Some(Break::ChunkExtension(_) | Break::Trailer(_)));
        if !self.is_chunked && !is_broken_chunk {
            let body = self.body();
            return write!(text, "Content-Length: {}\r\n\r\n{body}", body.len()).expect("a text");
        }
        let extension = if let Some(Break::ChunkExtension(extension)) = broken {
            extension
        } else {
            self.chunk_extension
        };
        text.push_str("Transfer-Encoding: chunked\r\n\r\n");
        for chunk in self.chunks.iter().flatten() {
            write!(text, "{:x}{extension}\r\n{chunk}\r\n", chunk.len()).expect("a text");
        }
        let trailer =
            if let Some(Break::Trailer(trailer)) = broken { format!("{trailer}\r\n") } else { String::new() };
        write!(text, "0{extension}\r\n{trailer}\r\n").expect("a text");
    }
}

/// A text in the notation of scenarios.
fn escape(text: &str) -> String {
    text.bytes().fold(String::new(), |mut escaped, byte| {
        match byte {
            b'!'..=b'[' | b']'..=b'~' => escaped.push(char::from(byte)),
            _ => write!(escaped, "\\x{byte:02x}").expect("a text"),
        }
        escaped
    })
}

/// The attempt for an unbroken request arrives unchanged, and its response reaches the client.
fn expect_served(harness: &mut Harness, client: &str, request: &SoundRequest, id: &str) {
    let put = if request.is_write(None) { format!(" put={}", request.body()) } else { String::new() };
    let target = &request.target;
    harness.run(&format!("attempt any {id} target={target}{put}"));
    harness.run(&format!("reply {id} 200 body={id}"));
    harness.run(&format!("response {client} 200 body={id}"));
}

fn draw<S: Strategy>(strategy: &S, runner: &mut TestRunner) -> S::Value {
    strategy.new_tree(runner).expect("a value").current()
}

/// Sends a broken request between two valid ones. The one behind it is served if the broken one's end is certain.
fn send_between_valid_ones(harness: &mut Harness, case: u32, request: &SoundRequest, broken: &Break) {
    let client = format!("c{case}");
    let ids = [1, 2, 3].map(|place| format!("r{case}-{place}"));
    let texts =
        [request.format(&ids[0], None), request.format(&ids[1], Some(broken)), request.format(&ids[2], None)];
    harness.run(&format!("send {client} {}", escape(&texts.concat())));
    expect_served(harness, &client, request, &ids[0]);
    harness.run(&format!("response {client} 400"));
    if broken.is_end_certain() {
        expect_served(harness, &client, request, &ids[2]);
        harness.run(&format!("client-open {client}"));
        harness.run(&format!("disconnect {client}"));
    } else {
        harness.run(&format!("client-closed {client}"));
    }
}

/// Guards against requests that are served although they violate HTTP or the protocol, and against valid ones that
/// are refused. A broken request stands between two valid ones, which are served as long as its end is certain.
#[test]
fn broken_requests_are_refused_and_valid_ones_are_forwarded_unchanged() {
    let mut harness = Harness::new();
    for line in ["start", "watch", "list a origin"] {
        harness.run(line);
    }
    let mut runner = TestRunner::deterministic();
    for case in 0..CASES {
        let request = draw(&sound_request(), &mut runner);
        let broken = draw(&break_of_request(), &mut runner);
        send_between_valid_ones(&mut harness, case, &request, &broken);
    }
    harness.run("quiet 100");
}
