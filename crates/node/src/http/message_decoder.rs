//! Assembles complete HTTP messages from their parts.

use super::message::{Message, MessageHead, MessageKind, PROTOCOL_HEADERS, ParseError};
use super::parser::{MessagePart, Parser};
use crate::transport::RingBuffer;

/// Largest body of a message in bytes, as limited by the protocol.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Headers about a message's framing, destination or connection, which no trailer may be (RFC 9110, 6.5.1).
const FORBIDDEN_TRAILERS: [&str; 5] = ["connection", "content-length", "host", "te", "transfer-encoding"];

/// The message that is being read, once its head is complete.
struct IncompleteMessage {
    message: Message,
    /// The length of the body so far, also where it is discarded.
    body_bytes: usize,
    /// Whether the body is discarded.
    discards_body: bool,
}

/// Decodes the messages of one direction of a connection, and enforces the limit on their bodies.
///
/// Interim responses (status 1xx) are consumed and not returned.
pub struct MessageDecoder {
    kind: MessageKind,
    parser: Parser,
    incomplete: Option<IncompleteMessage>,
}

impl MessageDecoder {
    /// Creates a decoder of requests or of responses.
    pub fn new(kind: MessageKind) -> MessageDecoder {
        MessageDecoder { kind, parser: Parser::new(kind), incomplete: None }
    }

    /// Whether the decoder is between two messages: no part of the next message has been consumed.
    pub fn is_between_messages(&self) -> bool {
        self.parser.is_between_messages()
    }

    /// The head of the message that is being read, once the head is complete.
    pub fn head(&self) -> Option<&MessageHead> {
        self.incomplete.as_ref().map(|incomplete| &incomplete.message.head)
    }

    /// The memory that the head of the incomplete message has allocated, in bytes.
    pub fn head_bytes(&self) -> usize {
        self.parser.allocated_bytes() + self.head().map_or(0, MessageHead::allocated_bytes)
    }

    /// The memory that the incomplete message has allocated, in bytes, including what is reserved for the bytes
    /// that it announces.
    pub fn allocated_bytes(&self) -> usize {
        let message = self.incomplete.as_ref().map(|incomplete| &incomplete.message);
        self.parser.allocated_bytes() + message.map_or(0, Message::allocated_bytes)
    }

    /// Discards the body of the incomplete message, also the part that has yet to be read. The message is
    /// still returned once it is complete, without its body.
    pub fn discard_body(&mut self) {
        if let Some(incomplete) = &mut self.incomplete {
            incomplete.discards_body = true;
            incomplete.message.body = Vec::new();
        }
    }

    /// The next complete message, or `None` if more input is needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is malformed or exceeds a limit. After an error, the connection cannot
    /// be read any further.
    pub fn next(&mut self, input: &mut RingBuffer) -> Result<Option<Message>, ParseError> {
        while let Some(part) = self.parser.next(input)? {
            match part {
                MessagePart::Head(head) => self.begin_message(head)?,
                MessagePart::Body(bytes) => self.append_to_body(&bytes)?,
                MessagePart::Trailer(name) => self.check_trailer(&name)?,
                MessagePart::End => {
                    let Some(IncompleteMessage { mut message, .. }) = self.incomplete.take() else {
                        continue;
                    };
                    let is_interim = (100..200).contains(&message.head.status);
                    if !is_interim {
                        message.body.shrink_to_fit();
                        return Ok(Some(message));
                    }
                }
            }
        }
        Ok(None)
    }

    /// The message that ends with the connection, if the body of the current message is delimited that way.
    pub fn finish(&mut self) -> Option<Message> {
        if !self.parser.ends_at_close() {
            return None;
        }
        self.incomplete.take().map(|incomplete| incomplete.message)
    }

    fn begin_message(&mut self, head: MessageHead) -> Result<(), ParseError> {
        let announced =
            head.header_text("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        // A body that is too large is refused at once, without waiting for its bytes.
        if announced > MAX_BODY_BYTES {
            return Err(ParseError::BodyTooLarge);
        }
        let discards_body = head.defect.is_some();
        let reserved = if discards_body { 0 } else { announced };
        let message = Message { head, body: Vec::with_capacity(reserved) };
        self.incomplete = Some(IncompleteMessage { message, body_bytes: 0, discards_body });
        Ok(())
    }

    /// Refuses trailers that a hop which adds trailers to the headers would take for another statement about
    /// the message than the head makes. All other trailers are ignored (RFC 9110, 6.5.1).
    fn check_trailer(&self, name: &str) -> Result<(), ParseError> {
        let Some(incomplete) = &self.incomplete else { return Err(ParseError::Malformed) };
        let head = &incomplete.message.head;
        let is_one_of = |names: &[&str]| names.iter().any(|other| name.eq_ignore_ascii_case(other));
        let is_about_request = self.kind == MessageKind::Request
            && (is_one_of(&PROTOCOL_HEADERS) || head.header_values(name).next().is_some());
        if is_one_of(&FORBIDDEN_TRAILERS) || is_about_request { Err(ParseError::Malformed) } else { Ok(()) }
    }

    fn append_to_body(&mut self, bytes: &[u8]) -> Result<(), ParseError> {
        let Some(incomplete) = &mut self.incomplete else { return Err(ParseError::Malformed) };
        incomplete.body_bytes += bytes.len();
        if incomplete.body_bytes > MAX_BODY_BYTES {
            return Err(ParseError::BodyTooLarge);
        }
        if !incomplete.discards_body {
            reserve_for(&mut incomplete.message.body, bytes.len());
            incomplete.message.body.extend(bytes);
        }
        Ok(())
    }
}

/// Reserves memory for more bytes of a body. The capacity doubles, but exceeds the largest body at no time.
fn reserve_for(body: &mut Vec<u8>, count: usize) {
    let needed = body.len() + count;
    if needed > body.capacity() {
        let capacity = needed.max((2 * body.capacity()).min(MAX_BODY_BYTES));
        body.reserve_exact(capacity - body.len());
    }
}
