//! Fuzz tests of the decoder of requests by seeds, without sockets.

use granitelb_balancer::time::Time;
use granitelb_node::proxy::{Pipeline, READ_AHEAD_BYTES, ReadAheadLimits};
use granitelb_node::transport::RingBuffer;
use test_case::test_case;

/// The number of drawn inputs per seed.
const INPUTS: u64 = 400;
/// The largest number of changes to an input.
const MAX_CHANGES: u64 = 4;
/// The most bytes of an incomplete line, and of the line break, that stay in the input buffer.
const MAX_INPUT_BYTES: usize = 16 * 1024;

/// Valid messages in all forms, from which inputs are made.
const VALID: [&str; 5] = [
    "GET /read/k?a=b HTTP/1.1\r\nHost: n:80\r\nX-Request-ID: r1\r\nX-Timeout-Ms: 900\r\n\r\n",
    "PUT /post/%41 HTTP/1.1\r\nHost: [::1]\r\nX-Request-ID: r2\r\nContent-Length: 5\r\n\r\nvalue",
    "PUT /once/k HTTP/1.1\r\nhost:n\r\nTransfer-Encoding: chunked\r\n\r\n3;a=\"b\"\r\nabc\r\n0\r\nA: b\r\n\r\n",
    "GET http://n/read/k HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    "\r\nGET * HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\n\r\n",
];
/// Bytes that have a meaning somewhere in a message.
const SPECIAL: &[u8] = b"\r\n :;,=%#?/\\\"\t\0\x7f\xff0123+-@[]";

/// A generator of pseudo-random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % limit) as usize
    }

    fn input(&mut self) -> Vec<u8> {
        let count = 1 + self.below(3);
        let messages = (0..count).map(|_| VALID[self.below(VALID.len() as u64)]);
        let mut input: Vec<u8> = messages.collect::<String>().into_bytes();
        for _ in 0..self.below(MAX_CHANGES + 1) {
            let at = self.below(input.len() as u64);
            match self.below(3) {
                0 => input[at] = SPECIAL[self.below(SPECIAL.len() as u64)],
                1 => input.insert(at, SPECIAL[self.below(SPECIAL.len() as u64)]),
                _ => drop(input.remove(at)),
            }
        }
        input
    }
}

/// Decodes an input that arrives in parts, and returns the entries.
fn decode<'a>(parts: impl Iterator<Item = &'a [u8]>) -> String {
    let (mut pipeline, mut input) = (Pipeline::default(), RingBuffer::default());
    for part in parts {
        input.push(part);
        pipeline.decode(&mut input, Time(0), ReadAheadLimits::default());
        assert!(pipeline.memory_bytes() <= READ_AHEAD_BYTES && input.len() <= MAX_INPUT_BYTES);
    }
    std::iter::from_fn(|| pipeline.pop(1)).map(|entry| format!("{entry:?}\n")).collect()
}

/// Guards against a verdict on a request that depends on how its bytes arrive, as between two hops, and against
/// input that ends the program or takes memory without a bound.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn verdict_is_the_same_however_the_input_is_split(seed: u64) {
    let mut random = Random(seed);
    for _ in 0..INPUTS {
        let input = random.input();
        let whole = decode([&input[..]].into_iter());
        assert_eq!(decode(input.chunks(1)), whole, "byte by byte: {}", input.escape_ascii());
        for at in 0..input.len() {
            let (begin, end) = input.split_at(at);
            assert_eq!(decode([begin, end].into_iter()), whole, "split at {at}: {}", input.escape_ascii());
        }
    }
}
