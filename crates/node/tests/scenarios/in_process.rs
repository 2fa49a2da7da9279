//! Commands that need no process: they check the HTTP parser, load reports, and the outcomes of attempts
//! whose connections were closed.

use granitelb_node::http::{MessageDecoder, MessageKind, ParseError};
use granitelb_node::proxy::{AttemptEnd, RequestProgress, parse_load_report};
use granitelb_node::transport::{CloseReason, RingBuffer};

use crate::notation::unescape;

/// The limit, in bytes, of the input that the decoder has not read when it refuses a body.
const MAX_UNREAD_BYTES: usize = 64 * 1024;
/// The largest number of positions at which a text is split.
const MAX_SPLITS: usize = 2000;

/// The status of the response to a complete message that is no valid request.
const DEFECTIVE: u16 = 400;

const CLOSE_REASONS: [CloseReason; 10] = [
    CloseReason::Refused,
    CloseReason::ConnectTimeout,
    CloseReason::NoFileDescriptor,
    CloseReason::ClosedByPeer,
    CloseReason::SocketError,
    CloseReason::PeerTimeout,
    CloseReason::ProtocolError,
    CloseReason::DeadlineExceeded,
    CloseReason::Cancelled,
    CloseReason::NoLongerNeeded,
];

/// Runs a command that needs no process, and returns whether the line is such a command.
pub fn run(line: &str, words: &[&str]) -> bool {
    match *words {
        ["attempt-end", reason, progress, outcome] => check_attempt_end(line, reason, progress, outcome),
        ["report", ..] => check_load_report(line),
        _ => return false,
    }
    true
}

fn check_attempt_end(line: &str, reason: &str, progress: &str, expected: &str) {
    let reason = CLOSE_REASONS.into_iter().find(|r| format!("{r:?}") == reason).expect("a close reason");
    let progress = match progress {
        "partly-written" => RequestProgress::PartlyWritten,
        "fully-written" => RequestProgress::FullyWritten,
        other => panic!("unknown progress {other}"),
    };
    let outcome = AttemptEnd::NoResponse { reason, progress }.outcome();
    assert_eq!(format!("{outcome:?}"), expected, "{line}");
}

fn check_load_report(line: &str) {
    let arguments = line.strip_prefix("report ").expect("a text");
    let (text, expected) = arguments.split_once(" says ").unwrap_or((arguments, ""));
    let actual = parse_load_report(text).map(|report| {
        let service_ms = report.service_time.map(|service| service.as_secs_f64() * 1e3);
        let metrics = [
            ("held", report.requests_held),
            ("waiting", report.requests_queued),
            ("service", service_ms),
            ("per_s", report.requests_per_s),
        ];
        let present = metrics.iter().filter_map(|(name, value)| value.map(|v| format!("{name}={v}")));
        present.collect::<Vec<_>>().join(" ")
    });
    assert_eq!(actual.unwrap_or_default(), expected, "{line}");
}

/// Decodes bytes that arrive in the given parts, and returns a description of each message or error.
fn decode<'a>(kind: MessageKind, parts: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    let mut decoder = MessageDecoder::new(kind);
    let mut input = RingBuffer::default();
    let mut descriptions = Vec::new();
    for part in parts {
        input.push(part);
        loop {
            match decoder.next(&mut input) {
                Ok(Some(message)) if message.head.defect.is_some() => {
                    descriptions.push(DEFECTIVE.to_string());
                }
                Ok(Some(message)) => {
                    let keep_alive = if message.head.keep_alive { "keeps" } else { "ends" };
                    let start = match kind {
                        MessageKind::Request => format!("{} {}", message.head.method, message.head.target),
                        MessageKind::Response => message.head.status.to_string(),
                    };
                    let body = message.body.escape_ascii();
                    descriptions.push(format!("{start} {keep_alive} {} {body}", message.body.len()));
                }
                Ok(None) => break,
                Err(error) => {
                    assert!(error != ParseError::BodyTooLarge || input.len() < MAX_UNREAD_BYTES);
                    descriptions.push(match kind {
                        MessageKind::Request => error.status().to_string(),
                        MessageKind::Response => "fault".into(),
                    });
                    return descriptions;
                }
            }
        }
    }
    if let Some(message) = decoder.finish() {
        descriptions.push(format!("{} closed {}", message.head.status, message.body.escape_ascii()));
    }
    descriptions.iter().map(|description| description.trim_end().to_string()).collect()
}

/// Checks the messages decoded from a text that arrives at once, byte by byte, and split at each position.
pub fn check_decoder(arguments: &str, expected: &[&str]) {
    let (kind, text) = arguments.split_once(' ').expect("a kind of message and a text");
    let kind = match kind {
        "request" => MessageKind::Request,
        "response" => MessageKind::Response,
        other => panic!("unknown kind of message {other}"),
    };
    let text = unescape(text);
    assert_eq!(decode(kind, [&text[..]].into_iter()), expected, "at once: {arguments}");
    assert_eq!(decode(kind, text.chunks(1)), expected, "byte by byte: {arguments}");
    for at in 0..text.len().min(MAX_SPLITS) {
        let (start, end) = text.split_at(at);
        assert_eq!(decode(kind, [start, end].into_iter()), expected, "split at {at}: {arguments}");
        // The truncated message at the end must be decoded neither to a message nor to an error.
        let truncated = decode(kind, [start].into_iter());
        assert!(truncated.len() <= expected.len(), "truncated at {at}: {arguments}: {truncated:?}");
    }
}
