//! Assembles complete HTTP messages from their parts.

use super::message::{Message, MessageHead, MessageKind, ParseError};
use super::parser::{MessagePart, Parser};
use crate::transport::RingBuffer;

/// Largest body of a message in bytes, as limited by the protocol.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Decodes the messages of one direction of a connection, and enforces the limit on their bodies.
///
/// Interim responses (status 1xx) are consumed and not returned.
pub struct MessageDecoder {
    parser: Parser,
    /// The message that is being read, once its head is complete.
    message: Option<Message>,
}

impl MessageDecoder {
    /// Creates a decoder of requests or of responses.
    pub fn new(kind: MessageKind) -> MessageDecoder {
        MessageDecoder { parser: Parser::new(kind), message: None }
    }

    /// Whether the decoder is between two messages: no part of the next message has been consumed.
    pub fn is_between_messages(&self) -> bool {
        self.parser.is_between_messages()
    }

    /// The head of the message that is being read, once the head is complete.
    pub fn head(&self) -> Option<&MessageHead> {
        self.message.as_ref().map(|message| &message.head)
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
                MessagePart::End => {
                    let Some(mut message) = self.message.take() else { continue };
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
        if self.parser.ends_at_close() { self.message.take() } else { None }
    }

    fn begin_message(&mut self, head: MessageHead) -> Result<(), ParseError> {
        let announced =
            head.header_text("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        // A body that is too large is refused at once, without waiting for its bytes.
        if announced > MAX_BODY_BYTES {
            return Err(ParseError::BodyTooLarge);
        }
        self.message = Some(Message { head, body: Vec::with_capacity(announced) });
        Ok(())
    }

    fn append_to_body(&mut self, bytes: &[u8]) -> Result<(), ParseError> {
        let Some(message) = &mut self.message else { return Err(ParseError::Malformed) };
        message.body.extend(bytes);
        if message.body.len() > MAX_BODY_BYTES {
            return Err(ParseError::BodyTooLarge);
        }
        Ok(())
    }
}
