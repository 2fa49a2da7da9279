//! Property tests of the requests that a client sends ahead, without sockets.

use granitelb_balancer::time::Time;
use granitelb_node::proxy::{Pipeline, PipelineEntry, READ_AHEAD_BYTES, ReadAheadLimits};
use granitelb_node::transport::RingBuffer;
use proptest::prelude::*;

/// The longest body that the protocol allows, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The most bytes that arrive at once: the capacity of a connection's input buffer.
const MAX_PIECE_BYTES: usize = 16 * 1024;

#[derive(Clone, Debug)]
struct SentRequest {
    body_bytes: usize,
    is_chunked: bool,
}

impl SentRequest {
    fn format(&self, number: usize) -> Vec<u8> {
        let body = vec![b'x'; self.body_bytes];
        let head = format!("PUT /once/{number} HTTP/1.1\r\nHost: n\r\n");
        if !self.is_chunked {
            let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
            return [head.as_bytes(), &body].concat();
        }
        let mut text = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        for chunk in body.chunks(5000) {
            text.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
            text.extend(chunk);
            text.extend(b"\r\n");
        }
        text.extend(b"0\r\n\r\n");
        text
    }
}

fn sent_request() -> impl Strategy<Value = SentRequest> {
    let body_bytes = prop_oneof![0..100usize, 3000..5000usize, 0..=MAX_BODY_BYTES];
    (body_bytes, any::<bool>()).prop_map(|(body_bytes, is_chunked)| SentRequest { body_bytes, is_chunked })
}

/// Takes an entry, checks that it is the one that was sent next, and returns the number of taken requests.
fn take_next(pipeline: &mut Pipeline, requests: &[SentRequest], taken: usize) -> usize {
    match pipeline.pop(3) {
        Some(PipelineEntry::Request { message, .. }) => {
            assert_eq!(message.head.target.as_str(), format!("/once/{taken}"));
            assert_eq!(message.body.len(), requests[taken].body_bytes);
            taken + 1
        }
        Some(PipelineEntry::Excess { count }) => {
            assert!((1..=3).contains(&count));
            taken + count as usize
        }
        Some(PipelineEntry::Defective { defect, .. }) => panic!("{defect}"),
        Some(PipelineEntry::OutOfMemory) => panic!("an input was dropped"),
        Some(PipelineEntry::Invalid(error)) => panic!("{error}"),
        None => taken,
    }
}

proptest! {
    /// Guards against requests sent ahead that take more memory than allowed, are lost, or change places.
    #[test]
    fn requests_sent_ahead_stay_in_order_and_within_the_memory(
        requests in prop::collection::vec(sent_request(), 1..40),
        pieces in prop::collection::vec(1..=MAX_PIECE_BYTES, 1..20),
        takes in prop::collection::vec(0..3usize, 1..20),
    ) {
        let texts = requests.iter().enumerate().flat_map(|(number, request)| request.format(number));
        let sent: Vec<u8> = texts.collect();
        let (mut pipeline, mut input) = (Pipeline::default(), RingBuffer::default());
        let (mut pieces, mut takes) = (pieces.iter().cycle(), takes.iter().cycle());
        let (mut rest, mut taken) = (&sent[..], 0);
        while !rest.is_empty() {
            let (piece, later) = rest.split_at(rest.len().min(*pieces.next().expect("a length")));
            input.push(piece);
            pipeline.decode(&mut input, Time(0), ReadAheadLimits::default());
            rest = later;
            prop_assert!(pipeline.memory_bytes() <= READ_AHEAD_BYTES);
            for _ in 0..*takes.next().expect("a number") {
                taken = take_next(&mut pipeline, &requests, taken);
            }
        }
        while !pipeline.is_empty() {
            taken = take_next(&mut pipeline, &requests, taken);
        }
        prop_assert!(pipeline.is_idle());
        prop_assert_eq!(taken, requests.len());
    }

    /// Guards against a single request that is rejected for lack of memory though nothing was sent ahead.
    #[test]
    fn request_with_nothing_before_it_is_never_in_excess(request in sent_request(), piece in 1..=MAX_PIECE_BYTES) {
        let (mut pipeline, mut input) = (Pipeline::default(), RingBuffer::default());
        for bytes in request.format(0).chunks(piece) {
            input.push(bytes);
            pipeline.decode(&mut input, Time(0), ReadAheadLimits::default());
        }
        let entry = pipeline.pop(1);
        prop_assert!(matches!(entry, Some(PipelineEntry::Request { .. })), "{:?}", entry);
    }
}
