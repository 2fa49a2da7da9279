//! Reads HTTP/1.1 messages piece by piece, however their bytes are cut.

use super::message::{Fault, Head, Message, Side};
use crate::transport::Ring;

/// A start line and headers may take this much together, and there may be so many: common limits, and less than
/// a connection's input holds.
const MOST_HEAD: usize = 8 * 1024;
const MOST_HEADERS: usize = 100;
/// A chunk's size line, with its extensions.
const MOST_SIZE_LINE: usize = 1024;
/// The protocol's own limit on bodies.
const MOST_BODY: usize = 64 * 1024;
/// Digits of a length: far more than any body, and no overflow.
const MOST_DIGITS: usize = 15;

/// A part of a message, in order.
#[derive(Debug)]
pub enum Piece {
    Head(Head),
    Body(Vec<u8>),
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Start,
    Headers,
    /// So many bytes of the body are left.
    Length(usize),
    /// The body lasts until the connection ends.
    UntilClosed,
    ChunkSize,
    Chunk(usize),
    AfterChunk,
    Trailers,
}

pub struct Reader {
    side: Side,
    stage: Stage,
    /// How far the input was searched for the end of a line.
    searched: usize,
    head: Head,
    head_bytes: usize,
    newer: bool,
}

impl Reader {
    pub fn new(side: Side) -> Reader {
        Reader { side, stage: Stage::Start, searched: 0, head: Head::default(), head_bytes: 0, newer: false }
    }

    /// Whether it stands between two messages.
    pub fn is_between(&self) -> bool {
        self.stage == Stage::Start
    }

    /// Whether the end of the connection ends the message in order.
    pub fn may_end(&self) -> bool {
        self.stage == Stage::UntilClosed
    }

    /// The next piece, once it is there.
    pub fn next(&mut self, input: &mut Ring) -> Result<Option<Piece>, Fault> {
        loop {
            match self.stage {
                Stage::Start => {
                    let Some(line) = self.line(input, MOST_HEAD, Fault::HeadTooLong)? else {
                        return Ok(None);
                    };
                    // A client may end a message with a line too many.
                    if line.is_empty() && self.side == Side::Asking && self.head_bytes < 8 {
                        continue;
                    }
                    self.head = Head::default();
                    self.start_line(&line)?;
                    self.stage = Stage::Headers;
                }
                Stage::Headers => {
                    let left = MOST_HEAD.saturating_sub(self.head_bytes);
                    let Some(line) = self.line(input, left, Fault::HeadTooLong)? else { return Ok(None) };
                    if line.is_empty() {
                        self.stage = self.framing()?;
                        self.head_bytes = 0;
                        return Ok(Some(Piece::Head(std::mem::take(&mut self.head))));
                    }
                    if self.head.headers.len() >= MOST_HEADERS {
                        return Err(Fault::HeadTooLong);
                    }
                    self.head.headers.push(header(&line)?);
                }
                Stage::Length(0) => {
                    self.stage = Stage::Start;
                    return Ok(Some(Piece::End));
                }
                Stage::Length(left) => {
                    let Some(part) = part(input, left) else { return Ok(None) };
                    self.stage = Stage::Length(left - part.len());
                    return Ok(Some(Piece::Body(part)));
                }
                Stage::UntilClosed => return Ok(part(input, MOST_BODY).map(Piece::Body)),
                Stage::ChunkSize => {
                    let Some(line) = self.line(input, MOST_SIZE_LINE, Fault::Malformed)? else {
                        return Ok(None);
                    };
                    self.head_bytes = 0;
                    self.stage = match chunk_size(&line)? {
                        0 => Stage::Trailers,
                        size => Stage::Chunk(size),
                    };
                }
                Stage::Chunk(left) => {
                    let Some(part) = part(input, left) else { return Ok(None) };
                    let left = left - part.len();
                    self.stage = if left == 0 { Stage::AfterChunk } else { Stage::Chunk(left) };
                    return Ok(Some(Piece::Body(part)));
                }
                Stage::AfterChunk => {
                    let Some(line) = self.line(input, 0, Fault::Malformed)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Fault::Malformed);
                    }
                    self.stage = Stage::ChunkSize;
                }
                Stage::Trailers => {
                    let left = MOST_HEAD.saturating_sub(self.head_bytes);
                    let Some(line) = self.line(input, left, Fault::HeadTooLong)? else { return Ok(None) };
                    if line.is_empty() {
                        self.stage = Stage::Start;
                        self.head_bytes = 0;
                        return Ok(Some(Piece::End));
                    }
                    header(&line)?;
                }
            }
        }
    }

    /// The next line without its end, if it is all there and holds no more than `most` bytes.
    fn line(&mut self, input: &mut Ring, most: usize, too_long: Fault) -> Result<Option<Vec<u8>>, Fault> {
        let Some(end) = input.find(b'\n', self.searched) else {
            self.searched = input.len();
            return if input.len() > most + 1 { Err(too_long) } else { Ok(None) };
        };
        self.searched = 0;
        if end > most + 1 {
            return Err(too_long);
        }
        let mut line = Vec::with_capacity(end + 1);
        input.move_to(&mut line, end + 1);
        self.head_bytes += line.len();
        // A line feed alone is read as an end by some and not by others: that is how messages are smuggled.
        let kept = line.strip_suffix(b"\r\n").ok_or(Fault::Malformed)?.len();
        line.truncate(kept);
        if line.contains(&b'\r') || line.contains(&0) {
            return Err(Fault::Malformed);
        }
        Ok(Some(line))
    }

    fn start_line(&mut self, line: &[u8]) -> Result<(), Fault> {
        let line = std::str::from_utf8(line).map_err(|_| Fault::Malformed)?;
        let mut words = line.splitn(3, ' ');
        let mut word = || words.next().filter(|w| !w.is_empty()).ok_or(Fault::Malformed);
        let version = match self.side {
            Side::Asking => {
                let (method, target, version) = (word()?, word()?, word()?);
                let plain = target.bytes().all(|b| b.is_ascii_graphic()) && target.starts_with(['/', '*']);
                if !is_token(method.as_bytes()) || !plain {
                    return Err(Fault::Malformed);
                }
                (self.head.method, self.head.target) = (method.to_string(), target.to_string());
                version
            }
            Side::Answering => {
                let (version, status) = (word()?, word()?);
                let digits = status.len() == 3 && status.bytes().all(|b| b.is_ascii_digit());
                self.head.status =
                    status.parse().ok().filter(|s| digits && *s >= 100).ok_or(Fault::Malformed)?;
                version
            }
        };
        self.newer = match version {
            "HTTP/1.1" => true,
            "HTTP/1.0" => false,
            _ => return Err(Fault::Malformed),
        };
        Ok(())
    }

    /// How the body of the message with this head is bounded.
    fn framing(&mut self) -> Result<Stage, Fault> {
        let head = &mut self.head;
        head.keeps =
            !head.lists("connection", "close") && (self.newer || head.lists("connection", "keep-alive"));
        let asks = self.side == Side::Asking;
        if asks && self.newer && head.values("host").count() != 1 {
            return Err(Fault::Malformed);
        }
        let mut lengths = head.values("content-length").map(|value| length(value, 10));
        let first = lengths.next().transpose()?;
        for other in lengths {
            if Some(other?) != first {
                return Err(Fault::Malformed);
            }
        }
        // These have no body, whatever their headers tell of one (RFC 9112, 6.3).
        if !asks && (head.status < 200 || head.status == 204 || head.status == 304) {
            return Ok(Stage::Length(0));
        }
        let codings: Vec<_> = head.values("transfer-encoding").collect();
        match (&codings[..], first) {
            // Two framings at once: whichever was meant, the other side of some hop reads the other.
            ([_, ..], Some(_)) => Err(Fault::Malformed),
            ([one], None) if one.eq_ignore_ascii_case(b"chunked") && self.newer => Ok(Stage::ChunkSize),
            ([_, ..], None) => Err(Fault::Malformed),
            ([], Some(length)) => Ok(Stage::Length(length)),
            ([], None) if asks => Ok(Stage::Length(0)),
            ([], None) => {
                head.keeps = false;
                Ok(Stage::UntilClosed)
            }
        }
    }
}

/// What there is of a body, up to `most` bytes.
fn part(input: &mut Ring, most: usize) -> Option<Vec<u8>> {
    let mut part = Vec::new();
    (input.move_to(&mut part, most) > 0).then_some(part)
}

fn is_token(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b))
}

fn header(line: &[u8]) -> Result<(String, Vec<u8>), Fault> {
    let colon = line.iter().position(|b| *b == b':').ok_or(Fault::Malformed)?;
    let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
    let clean = value.iter().all(|b| *b == b'\t' || (*b >= b' ' && *b != 0x7f));
    if !is_token(name) || !clean {
        return Err(Fault::Malformed);
    }
    Ok((String::from_utf8_lossy(name).into_owned(), value.to_vec()))
}

fn chunk_size(line: &[u8]) -> Result<usize, Fault> {
    length(line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end(), 16)
}

/// A length in digits of this radix and nothing else.
fn length(digits: &[u8], radix: u32) -> Result<usize, Fault> {
    let text = std::str::from_utf8(digits).ok().filter(|t| t.chars().all(|c| c.is_digit(radix)));
    let text = text.filter(|t| !t.is_empty()).ok_or(Fault::Malformed)?;
    let digits = text.trim_start_matches('0');
    match digits.len() {
        0 => Ok(0),
        n if n > MOST_DIGITS => Err(Fault::BodyTooLong),
        _ => usize::from_str_radix(digits, radix).map_err(|_| Fault::Malformed),
    }
}

/// Puts whole messages together, within the limit on bodies.
pub struct Assembler {
    reader: Reader,
    message: Option<Message>,
}

impl Assembler {
    pub fn new(side: Side) -> Assembler {
        Assembler { reader: Reader::new(side), message: None }
    }

    /// Whether nothing of a message has been taken in.
    pub fn is_between(&self) -> bool {
        self.reader.is_between()
    }

    /// The head of the message that is being read.
    pub fn head(&self) -> Option<&Head> {
        self.message.as_ref().map(|m| &m.head)
    }

    /// The next whole message, once it is there.
    pub fn next(&mut self, input: &mut Ring) -> Result<Option<Message>, Fault> {
        while let Some(piece) = self.reader.next(input)? {
            match piece {
                Piece::Head(head) => {
                    // Refused before its bytes are waited for.
                    let announced = head.text("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
                    if announced > MOST_BODY {
                        return Err(Fault::BodyTooLong);
                    }
                    self.message = Some(Message { head, body: Vec::with_capacity(announced) });
                }
                Piece::Body(part) => {
                    let Some(message) = &mut self.message else { return Err(Fault::Malformed) };
                    message.body.extend(part);
                    if message.body.len() > MOST_BODY {
                        return Err(Fault::BodyTooLong);
                    }
                }
                Piece::End => {
                    // Word that an answer is on its way is not yet the answer.
                    let whole = self.message.take();
                    if let Some(mut message) = whole.filter(|m| !(100..200).contains(&m.head.status)) {
                        message.body.shrink_to_fit();
                        return Ok(Some(message));
                    }
                }
            }
        }
        Ok(None)
    }

    /// The message that the connection's end completes, if that is how it is bounded.
    pub fn finish(&mut self) -> Option<Message> {
        if self.reader.may_end() { self.message.take() } else { None }
    }
}
