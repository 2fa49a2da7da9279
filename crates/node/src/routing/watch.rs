//! The watch on discovery's list.

use std::net::SocketAddr;

use granitelb::units::{Span, Time};

use crate::protocol::{Listings, Piece, Reader, Side};
use crate::transport::{Connection, End, Event, Owner, Transport};

/// A line comes every two seconds at least: after two such times and a quarter without one the watch is lost.
/// What it missed counts as told 6 s after it was to be said; a new watch, asked for within 0.75 s and answered
/// within a second, tells it before the grace that a drain leaves is over.
const SILENCE: Span = Span::from_millis(4500);
/// A list of this many bytes is not one of caches.
const MOST_LINE: usize = 4 * 1024 * 1024;

pub enum Heard {
    Listed(Listings),
    /// The watch could not be had, or is lost.
    Lost,
}

struct Open {
    connection: Connection,
    reader: Reader,
    answered: bool,
    line: Vec<u8>,
}

pub struct Watch {
    owner: Owner,
    discovery: SocketAddr,
    host: String,
    connect_limit: Span,
    revision: Option<u64>,
    open: Option<Open>,
    /// Whether anything was heard on this watch.
    stands: bool,
}

impl Watch {
    pub fn new(owner: Owner, discovery: SocketAddr, connect_limit: Span, revision: Option<u64>) -> Watch {
        let revision = revision.filter(|r| *r > 0);
        let host = discovery.to_string();
        Watch { owner, discovery, host, connect_limit, revision, open: None, stands: false }
    }

    /// Asks for a watch, in place of one that was not answered.
    pub fn ask(&mut self, transport: &mut Transport, now: Time) -> Option<Heard> {
        if self.stands {
            return None;
        }
        self.close(transport, End::GivenUp);
        let mut connection = match Connection::begin(transport, self.discovery, self.owner) {
            Ok(connection) => connection,
            Err(end) => {
                log::warn!("discovery can't be reached: {end:?}");
                return Some(Heard::Lost);
            }
        };
        let after = self.revision.map(|r| format!("&after={r}")).unwrap_or_default();
        let text = format!("GET /registry/instances?watch=1{after} HTTP/1.1\r\nHost: {}\r\n\r\n", self.host);
        connection.output.push(text.as_bytes());
        transport.timers.set(connection.id, now + self.connect_limit);
        let reader = Reader::new(Side::Answering);
        self.open = Some(Open { connection, reader, answered: false, line: Vec::new() });
        None
    }

    pub fn event(&mut self, transport: &mut Transport, now: Time, event: Event) -> Vec<Heard> {
        let mut heard = Vec::new();
        if let Err(end) = self.go_on(transport, now, event, &mut heard) {
            heard.push(self.lose(transport, end));
        }
        heard
    }

    /// Nothing was said for too long.
    pub fn timer(&mut self, transport: &mut Transport) -> Heard {
        let up = self.open.as_ref().is_some_and(|o| o.connection.is_up());
        self.lose(transport, if up { End::Silent } else { End::NeverUp })
    }

    fn lose(&mut self, transport: &mut Transport, end: End) -> Heard {
        log::warn!("the watch on the list is lost: {end:?}");
        self.close(transport, end);
        Heard::Lost
    }

    fn close(&mut self, transport: &mut Transport, end: End) {
        self.stands = false;
        if let Some(open) = self.open.take() {
            log::debug!("connection to discovery ended: {end:?}");
            open.connection.close(transport);
        }
    }

    fn go_on(
        &mut self,
        transport: &mut Transport,
        now: Time,
        event: Event,
        heard: &mut Vec<Heard>,
    ) -> Result<(), End> {
        let Some(open) = self.open.as_mut().filter(|o| o.connection.id == event.id) else { return Ok(()) };
        if !open.connection.is_up() {
            open.connection.come_up()?;
            transport.timers.set(open.connection.id, now + SILENCE);
        }
        open.connection.flush()?;
        open.connection.take_in(&event);
        while let Some(piece) = open.reader.next(&mut open.connection.input).map_err(|_| End::Malformed)? {
            match piece {
                Piece::Head(head) if head.status == 200 => open.answered = true,
                Piece::Head(head) => {
                    log::warn!("discovery answers {}", head.status);
                    return Err(End::Closed);
                }
                Piece::End if open.answered => return Err(End::Closed),
                Piece::End => {}
                Piece::Body(part) => {
                    open.line.extend(part);
                    transport.timers.set(open.connection.id, now + SILENCE);
                    while let Some(end) = open.line.iter().position(|b| *b == b'\n') {
                        let line: Vec<u8> = open.line.drain(..=end).collect();
                        let first = !self.stands;
                        self.stands = true;
                        if let Some(listings) = read_line(line.trim_ascii(), first) {
                            self.revision = Some(listings.revision).filter(|r| *r > 0).or(self.revision);
                            heard.push(Heard::Listed(listings));
                        }
                    }
                    if open.line.len() > MOST_LINE {
                        return Err(End::Malformed);
                    }
                }
            }
        }
        if let Some(end) = open.connection.ended() {
            return Err(end);
        }
        open.connection.rearm(transport);
        Ok(())
    }
}

/// What a line of the watch says. That there is a first one says that the watch stands.
fn read_line(line: &[u8], first: bool) -> Option<Listings> {
    if line.is_empty() {
        return first.then(Listings::default);
    }
    match Listings::read(line) {
        Ok(listings) => {
            for skipped in &listings.skipped {
                log::warn!("an entry of the list was passed over: {skipped}");
            }
            Some(listings)
        }
        Err(trouble) => {
            log::warn!("a line of the list was passed over: {trouble}");
            first.then(Listings::default)
        }
    }
}
