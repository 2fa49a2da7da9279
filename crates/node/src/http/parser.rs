//! An incremental parser of HTTP/1.1 messages, whose result does not depend on how the bytes are split.
//!
//! The parser refuses ambiguous messages (with two framings, bare line feeds or conflicting lengths), since
//! hops that interpret a message differently allow request smuggling. After an error it is not certain where the
//! message ends, so that nothing behind it can be read. A request whose end is certain is parsed to its end, and
//! [`MessageHead::defect`] says what else is wrong with it.

use super::heap_size::allocation_bytes;
use super::message::{MessageHead, MessageKind, ParseError};
use super::request_validation::validate_request;
use super::syntax::{
    is_field_byte, is_token, parse_chunk_size, parse_content_length, parse_header, parse_status, split_header,
};
use crate::transport::RingBuffer;

/// Largest size of start line and headers together, in bytes: a common limit, and less than the capacity of a
/// connection's input buffer.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Largest number of headers in a message.
const MAX_HEADERS: usize = 100;
/// Largest size of a chunk's size line with its extensions, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 1024;
/// Largest body part that is returned at once for a body that lasts until the connection ends, in bytes.
const MAX_BODY_PART_BYTES: usize = 64 * 1024;
/// The method of requests that have a body.
const WRITE_METHOD: &str = "PUT";
/// Bytes of empty lines that are accepted before a request.
const MAX_LEADING_BYTES: usize = 8;

/// A part of a message. The parts of a message come in this order: one head, any number of body parts, any
/// number of trailers, one end.
#[derive(Debug)]
pub enum MessagePart {
    /// The start line and headers.
    Head(MessageHead),
    /// The next bytes of the body.
    Body(Vec<u8>),
    /// The name of a header behind a chunked body. Its value is ignored.
    Trailer(String),
    /// The message is complete.
    End,
}

/// The state of the parser: the element of a message that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    StartLine,
    Headers,
    /// A body with this many bytes left.
    FixedLengthBody(usize),
    /// A body that lasts until the connection ends.
    BodyUntilClose,
    ChunkSize,
    /// A chunk with this many bytes left.
    Chunk(usize),
    ChunkEnd,
    Trailers,
}

/// The result of one step of the parser.
enum Step {
    /// A part is complete.
    Part(MessagePart),
    /// The state has advanced; there is no part to return yet.
    Advanced,
    /// More input is needed.
    NeedsInput,
}

/// Parses the messages of one direction of a connection.
pub struct Parser {
    kind: MessageKind,
    state: State,
    /// Number of input bytes that were searched for the end of the current line.
    searched: usize,
    head: MessageHead,
    /// The target of the current request, as it was received.
    target: String,
    /// Bytes of the current head, or of the current trailers, that were consumed.
    head_bytes: usize,
    /// Whether the version of the current message is HTTP/1.1. Otherwise it is HTTP/1.0.
    is_http_1_1: bool,
}

impl Parser {
    /// Creates a parser of requests or of responses.
    pub fn new(kind: MessageKind) -> Parser {
        Parser {
            kind,
            state: State::StartLine,
            searched: 0,
            head: MessageHead::default(),
            target: String::new(),
            head_bytes: 0,
            is_http_1_1: false,
        }
    }

    /// The memory that the incomplete head has allocated, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.head.allocated_bytes() + allocation_bytes(self.target.capacity())
    }

    /// Whether the parser is between two messages: the next element is a start line.
    pub fn is_between_messages(&self) -> bool {
        self.state == State::StartLine
    }

    /// Whether the current message is one whose body is delimited by the end of the connection.
    pub fn ends_at_close(&self) -> bool {
        self.state == State::BodyUntilClose
    }

    /// The next part of a message, or `None` if more input is needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is malformed or exceeds a limit. The parser must not be used after an
    /// error.
    pub fn next(&mut self, input: &mut RingBuffer) -> Result<Option<MessagePart>, ParseError> {
        loop {
            match self.step(input)? {
                Step::Part(part) => return Ok(Some(part)),
                Step::Advanced => {}
                Step::NeedsInput => return Ok(None),
            }
        }
    }

    fn step(&mut self, input: &mut RingBuffer) -> Result<Step, ParseError> {
        match self.state {
            State::StartLine => self.read_start_line(input),
            State::Headers => self.read_header(input),
            State::FixedLengthBody(0) => {
                self.state = State::StartLine;
                Ok(Step::Part(MessagePart::End))
            }
            State::FixedLengthBody(left) => Ok(self.read_fixed_length_body(input, left)),
            State::BodyUntilClose => {
                let part = take_bytes(input, MAX_BODY_PART_BYTES);
                Ok(part.map_or(Step::NeedsInput, |bytes| Step::Part(MessagePart::Body(bytes))))
            }
            State::ChunkSize => self.read_chunk_size(input),
            State::Chunk(left) => Ok(self.read_chunk(input, left)),
            State::ChunkEnd => self.read_chunk_end(input),
            State::Trailers => self.read_trailer(input),
        }
    }

    fn read_start_line(&mut self, input: &mut RingBuffer) -> Result<Step, ParseError> {
        let Some(line) = self.read_line(input, MAX_HEAD_BYTES, ParseError::HeadTooLarge)? else {
            return Ok(Step::NeedsInput);
        };
        // Some clients send a superfluous line break after a request.
        if line.is_empty() && self.kind == MessageKind::Request && self.head_bytes < MAX_LEADING_BYTES {
            return Ok(Step::Advanced);
        }
        self.head = MessageHead::default();
        self.parse_start_line(&line)?;
        self.state = State::Headers;
        Ok(Step::Advanced)
    }

    fn read_header(&mut self, input: &mut RingBuffer) -> Result<Step, ParseError> {
        let left = MAX_HEAD_BYTES.saturating_sub(self.head_bytes);
        let Some(line) = self.read_line(input, left, ParseError::HeadTooLarge)? else {
            return Ok(Step::NeedsInput);
        };
        if line.is_empty() {
            self.state = self.parse_framing()?;
            self.head_bytes = 0;
            let mut head = std::mem::take(&mut self.head);
            head.headers.shrink_to_fit();
            let target = std::mem::take(&mut self.target);
            if self.kind == MessageKind::Request {
                head.defect = validate_request(&mut head, &target, self.is_http_1_1).err();
            }
            return Ok(Step::Part(MessagePart::Head(head)));
        }
        if self.head.headers.len() >= MAX_HEADERS {
            return Err(ParseError::HeadTooLarge);
        }
        parse_header(&line, &mut self.head.headers)?;
        Ok(Step::Advanced)
    }

    fn read_fixed_length_body(&mut self, input: &mut RingBuffer, left: usize) -> Step {
        let Some(bytes) = take_bytes(input, left) else { return Step::NeedsInput };
        self.state = State::FixedLengthBody(left - bytes.len());
        Step::Part(MessagePart::Body(bytes))
    }

    fn read_chunk_size(&mut self, input: &mut RingBuffer) -> Result<Step, ParseError> {
        let Some(line) = self.read_line(input, MAX_CHUNK_SIZE_LINE_BYTES, ParseError::Malformed)? else {
            return Ok(Step::NeedsInput);
        };
        self.head_bytes = 0;
        self.state = match parse_chunk_size(&line)? {
            0 => State::Trailers,
            size => State::Chunk(size),
        };
        Ok(Step::Advanced)
    }

    fn read_chunk(&mut self, input: &mut RingBuffer, left: usize) -> Step {
        let Some(bytes) = take_bytes(input, left) else { return Step::NeedsInput };
        let left = left - bytes.len();
        self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
        Step::Part(MessagePart::Body(bytes))
    }

    fn read_chunk_end(&mut self, input: &mut RingBuffer) -> Result<Step, ParseError> {
        let Some(line) = self.read_line(input, 0, ParseError::Malformed)? else {
            return Ok(Step::NeedsInput);
        };
        if !line.is_empty() {
            return Err(ParseError::Malformed);
        }
        self.state = State::ChunkSize;
        Ok(Step::Advanced)
    }

    fn read_trailer(&mut self, input: &mut RingBuffer) -> Result<Step, ParseError> {
        let left = MAX_HEAD_BYTES.saturating_sub(self.head_bytes);
        let Some(line) = self.read_line(input, left, ParseError::HeadTooLarge)? else {
            return Ok(Step::NeedsInput);
        };
        if line.is_empty() {
            self.state = State::StartLine;
            self.head_bytes = 0;
            return Ok(Step::Part(MessagePart::End));
        }
        let (name, _) = split_header(&line)?;
        Ok(Step::Part(MessagePart::Trailer(name.to_string())))
    }

    /// Consumes the next line and returns it without its line break, or `None` if the line is not complete.
    /// Returns the error `too_long` if the line has more than `max` bytes.
    fn read_line(
        &mut self,
        input: &mut RingBuffer,
        max: usize,
        too_long: ParseError,
    ) -> Result<Option<Vec<u8>>, ParseError> {
        // One more byte for the carriage return.
        let max_with_return = max + 1;
        let Some(end) = input.find(b'\n', self.searched) else {
            // A line break may be on its way behind the last byte only.
            let last = input.len().saturating_sub(1);
            if input.find(b'\r', self.searched.saturating_sub(1)).is_some_and(|at| at < last) {
                return Err(ParseError::Malformed);
            }
            self.searched = input.len();
            return if input.len() > max_with_return { Err(too_long) } else { Ok(None) };
        };
        self.searched = 0;
        if end > max_with_return {
            return Err(too_long);
        }
        let mut line = Vec::with_capacity(end + 1);
        input.drain_into(&mut line, end + 1);
        self.head_bytes += line.len();
        // A bare line feed is refused: some hops accept it as a line break and others do not.
        let length = line.strip_suffix(b"\r\n").ok_or(ParseError::Malformed)?.len();
        line.truncate(length);
        if line.contains(&b'\r') || line.contains(&0) {
            return Err(ParseError::Malformed);
        }
        Ok(Some(line))
    }

    fn parse_start_line(&mut self, line: &[u8]) -> Result<(), ParseError> {
        let mut words = line.splitn(3, |byte| *byte == b' ');
        let mut next_word = || words.next().filter(|word| !word.is_empty()).ok_or(ParseError::Malformed);
        let version = match self.kind {
            MessageKind::Request => {
                let method = next_word()?;
                let target = next_word()?;
                let version = next_word()?;
                self.begin_request(method, target)?;
                version
            }
            MessageKind::Response => {
                let version = next_word()?;
                self.head.status = parse_status(next_word()?)?;
                let reason_phrase = words.next().unwrap_or_default();
                if !reason_phrase.iter().copied().all(is_field_byte) {
                    return Err(ParseError::Malformed);
                }
                version
            }
        };
        self.is_http_1_1 = match version {
            b"HTTP/1.1" => true,
            b"HTTP/1.0" => false,
            _ => return Err(ParseError::Malformed),
        };
        Ok(())
    }

    /// Records the method and the target, whose syntax is checked once the head is complete: a target of other
    /// characters than visible ones leaves it uncertain which hop reads which line.
    fn begin_request(&mut self, method: &[u8], target: &[u8]) -> Result<(), ParseError> {
        let is_visible = target.iter().all(u8::is_ascii_graphic);
        if !is_token(method) || !is_visible {
            return Err(ParseError::Malformed);
        }
        self.head.method = String::from_utf8_lossy(method).into_owned();
        self.target = String::from_utf8_lossy(target).into_owned();
        Ok(())
    }

    /// Determines from the complete head how the body is delimited (RFC 9112, 6.3).
    fn parse_framing(&mut self) -> Result<State, ParseError> {
        let is_request = self.kind == MessageKind::Request;
        let head = &mut self.head;
        head.keep_alive = !head.has_token("connection", "close")
            && (self.is_http_1_1 || head.has_token("connection", "keep-alive"));
        let content_length = parse_content_length(head)?;
        if !is_request && has_no_body(head.status) {
            return Ok(State::FixedLengthBody(0));
        }
        let codings: Vec<_> = head.header_values("transfer-encoding").collect();
        match (&codings[..], content_length) {
            // A message with both framings is refused, since another hop may use the other framing.
            ([_, ..], Some(_)) => Err(ParseError::Malformed),
            ([coding], None) if coding.eq_ignore_ascii_case(b"chunked") && self.is_http_1_1 => {
                Ok(State::ChunkSize)
            }
            ([_, ..], None) => Err(ParseError::Malformed),
            ([], Some(length)) => Ok(State::FixedLengthBody(length)),
            // What follows could be the body as well as another request.
            ([], None) if is_request && head.method == WRITE_METHOD => Err(ParseError::LengthRequired),
            ([], None) if is_request => Ok(State::FixedLengthBody(0)),
            ([], None) => {
                head.keep_alive = false;
                Ok(State::BodyUntilClose)
            }
        }
    }
}

/// Whether responses with this status have no body, regardless of their headers.
fn has_no_body(status: u16) -> bool {
    status < 200 || status == 204 || status == 304
}

/// Removes up to `max` bytes from the input and returns them, or returns `None` if the input is empty.
fn take_bytes(input: &mut RingBuffer, max: usize) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let count = input.drain_into(&mut bytes, max);
    (count > 0).then_some(bytes)
}
