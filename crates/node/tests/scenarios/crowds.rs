//! Crowds of clients that send much, slowly or not to the end, under small memory limits.

use test_case::test_matrix;

use crate::harness::Harness;

/// The number of clients that are connected at once.
const CLIENTS: usize = 400;
/// What each client of a drawn crowd sends at most, in requests.
const MAX_REQUESTS: u64 = 60;
const BODY_LENGTHS: [usize; 5] = [0, 0, 100, 3000, 20_000];

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug)]
enum Shape {
    /// Requests of many short headers, sent ahead.
    ShortHeaders,
    /// Small requests, sent ahead.
    SmallRequests,
    /// Requests that are refused, sent ahead.
    DefectiveRequests,
    /// Half of a long body.
    HalfBody,
    /// A head of many short headers without its end.
    UnfinishedHead,
    /// A long line without its end.
    UnfinishedLine,
    /// A body in chunks of one byte, without its end.
    SmallChunks,
    /// Requests of any length, without the end of the last one.
    Drawn { seed: u64 },
}

/// A generator of pseudo-random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % limit) as usize
    }
}

/// The head of a request in the notation of scenarios, without its end.
fn head(client: usize, request: usize) -> String {
    format!(
        "PUT\\s/post/k{request}\\sHTTP/1.1\\r\\nHost:\\sn\\r\\nX-Request-ID:\\sc{client}-{request}\\r\\n\
         X-Priority-Class:\\spost\\r\\nX-Timeout-Ms:\\s1200\\r\\nIdempotency-Key:\\sc{client}-{request}\\r\\n"
    )
}

fn short_headers(count: usize) -> String {
    (0..count).map(|number| format!("a{number}:\\sb\\r\\n")).collect()
}

impl Shape {
    /// What a client sends, in the notation of scenarios.
    fn text(self, client: usize) -> String {
        let heads = |count: usize, rest: &str| -> String {
            let rest = format!("{rest}Content-Length:\\s0\\r\\n\\r\\n");
            (0..count).map(|request| head(client, request) + &rest).collect()
        };
        match self {
            Shape::ShortHeaders => heads(60, &short_headers(90)),
            Shape::SmallRequests => heads(700, ""),
            Shape::DefectiveRequests => "GET\\s/%\\sHTTP/1.1\\r\\nHost:\\sn\\r\\n\\r\\n".repeat(500),
            Shape::HalfBody => {
                format!("{}Content-Length:\\s65000\\r\\n\\r\\n\\*40000x", head(client, 0))
            }
            Shape::UnfinishedHead => format!("{}{}", head(client, 0), short_headers(90)),
            Shape::UnfinishedLine => format!("{}A:\\s\\*7000x", head(client, 0)),
            Shape::SmallChunks => {
                let chunks = "1\\r\\nx\\r\\n".repeat(6000);
                format!("{}Transfer-Encoding:\\schunked\\r\\n\\r\\n{chunks}", head(client, 0))
            }
            Shape::Drawn { seed } => draw_text(&mut Random(seed * 1000 + client as u64), client),
        }
    }
}

fn draw_text(random: &mut Random, client: usize) -> String {
    let mut text = String::new();
    for request in 0..=random.below(MAX_REQUESTS) {
        let length = BODY_LENGTHS[random.below(BODY_LENGTHS.len() as u64)];
        let headers = short_headers(random.below(90));
        let body = if length > 0 { format!("\\*{length}y") } else { String::new() };
        text += &head(client, request);
        text += &format!("{headers}Content-Length:\\s{length}\\r\\n\\r\\n{body}");
    }
    text + &head(client, MAX_REQUESTS as usize + 1)
}

/// Guards against clients that together take more memory than the node may use, and against a node that serves
/// nobody after them. The origin, to which their writes go, answers none of them.
#[test_matrix(
    [32, 48, 192],
    [
        Shape::ShortHeaders, Shape::SmallRequests, Shape::DefectiveRequests, Shape::HalfBody, Shape::UnfinishedHead,
        Shape::UnfinishedLine, Shape::SmallChunks, Shape::Drawn { seed: 1 }, Shape::Drawn { seed: 2 },
        Shape::Drawn { seed: 3 }
    ]
)]
fn crowd_takes_less_than_half_of_the_memory(memory_mb: u64, shape: Shape) {
    let mut harness = Harness::new();
    let limits = format!("limits memory_mb={memory_mb} sockets=2000");
    // The first attempt of the later request has time until a test that is held up answers it.
    let times = "settings Products.0.LatencySloUs=20000000 Products.0.ClientTimeoutUs=20000000";
    for line in [&limits[..], times, "start", "watch", "list a b origin"] {
        harness.run(line);
    }
    for client in 0..CLIENTS {
        harness.run(&format!("send c{client} {}", shape.text(client)));
    }
    harness.run("wait 300");
    harness.run(&format!("peak-memory {}", memory_mb / 2));
    for client in 0..CLIENTS {
        harness.run(&format!("disconnect c{client}"));
    }
    harness.run("wait 300");
    harness.run("request later read k id=later timeout=20000");
    harness.run("attempt any later left=20000");
    harness.run("reply later 200");
    harness.run("response later 200");
}
