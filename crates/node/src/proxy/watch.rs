//! The watch on discovery's list.
//!
//! One call is open at a time. It has [`ANSWER_LIMIT`] to be answered, and [`SILENCE`] from its head on for each whole line;
//! beside it at most one former watch is heeded, until the open one has said something whole.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use granitelb_balancer::time::{Span, Time};
use serde::de::IgnoredAny;

use crate::http::{Entry, Listings, Piece, Reader, Side, State};
use crate::transport::{ConnId, Connection, End, Event, Owner, Transport};

/// A line comes every two seconds at least: after one such time and five eighths without one the watch is lost. What it
/// missed counts as told 6 s after it fell silent; a new watch, asked for within 0.75 s, has two seconds to be answered
/// before that, and time to be asked for once more. Only what is whole is a sign of life: a line that drips in, or a list
/// that was broken off with empty lines after it, would keep a watch for ever that tells nothing.
const SILENCE: Span = Span::from_millis(3250);
/// A call that has no head by then is given up, and another made at once: discovery turns away what would wait for over two
/// seconds, and with a wait on top the other's answer would come more than 6 s after discovery was back.
const ANSWER_LIMIT: Span = Span::from_millis(2500);
/// So many caches are remembered of those that a former watch told the end of.
const MOST_ENDED: usize = 4096;
/// A list of this many bytes is not one of caches.
const MOST_LINE: usize = 4 * 1024 * 1024;

pub enum Heard {
    Listed(Listings),
    /// The watch could not be had, or is lost.
    Lost,
}

struct Open {
    at: SocketAddr,
    connection: Connection,
    reader: Reader,
    answered: bool,
    /// Until when it is left alone, though it does not stand yet.
    until: Time,
    /// Whether anything whole was heard on it.
    stands: bool,
    line: Vec<u8>,
    /// The lines of a list that is not whole yet: lists may come indented.
    unfinished: Vec<u8>,
}

pub struct Watch {
    owner: Owner,
    discovery: SocketAddr,
    host: String,
    connect_limit: Span,
    revision: Option<u64>,
    open: Option<Open>,
    /// The watch at an address that discovery has left, or one that fell silent: heeded until another stands.
    former: Option<Open>,
    /// What a former watch at the same address told, since the open one was called for, of caches that take no new work, and
    /// at which revision. Calls that are made later are answered later.
    ended: BTreeMap<String, (u64, Entry)>,
}

impl Watch {
    pub fn new(owner: Owner, discovery: SocketAddr, connect_limit: Span, revision: Option<u64>) -> Watch {
        let revision = revision.filter(|r| *r > 0);
        let host = discovery.to_string();
        Watch {
            owner,
            discovery,
            host,
            connect_limit,
            revision,
            open: None,
            former: None,
            ended: BTreeMap::new(),
        }
    }

    /// Goes on with the list at another address.
    pub fn move_to(
        &mut self,
        transport: &mut Transport,
        now: Time,
        discovery: SocketAddr,
        connect_limit: Span,
    ) -> Option<Heard> {
        self.connect_limit = connect_limit;
        if discovery == self.discovery {
            return None;
        }
        log::info!(event = "watch_moved"; "the watch on the list moves from {} to {discovery}", self.discovery);
        (self.discovery, self.host) = (discovery, discovery.to_string());
        // Whoever is there may count revisions of its own: the whole list is asked for. It changes only what differs.
        self.revision = None;
        if self.stands() {
            close(transport, &mut self.former, End::Done);
            self.former = self.open.take();
        }
        self.call(transport, now)
    }

    fn stands(&self) -> bool {
        self.open.as_ref().is_some_and(|o| o.stands)
    }

    fn is_former(&self, id: ConnId) -> bool {
        self.former.as_ref().is_some_and(|o| o.connection.id == id)
    }

    /// Asks for a watch, unless one stands or is out that may still be answered.
    pub fn ask(&mut self, transport: &mut Transport, now: Time) -> Option<Heard> {
        if self.open.as_ref().is_some_and(|o| o.stands || now < o.until) {
            return None;
        }
        self.call(transport, now)
    }

    /// Asks for a watch, in place of one that does not stand.
    fn call(&mut self, transport: &mut Transport, now: Time) -> Option<Heard> {
        close(transport, &mut self.open, End::GivenUp);
        self.ended.clear();
        let mut connection = match Connection::begin(transport, self.discovery, self.owner) {
            Ok(connection) => connection,
            Err(end) => {
                log::warn!(event = "watch_lost", end:? = end; "discovery can't be reached: {end:?}");
                return Some(Heard::Lost);
            }
        };
        let after = self.revision.map(|r| format!("&after={r}")).unwrap_or_default();
        let text = format!("GET /registry/instances?watch=1{after} HTTP/1.1\r\nHost: {}\r\n\r\n", self.host);
        connection.output.push(text.as_bytes());
        let until = now + ANSWER_LIMIT;
        transport.timers.set(connection.id, until.min(now + self.connect_limit));
        let reader = Reader::new(Side::Answering);
        self.open = Some(Open {
            at: self.discovery,
            connection,
            reader,
            answered: false,
            until,
            stands: false,
            line: Vec::new(),
            unfinished: Vec::new(),
        });
        None
    }

    pub fn event(&mut self, transport: &mut Transport, now: Time, event: Event) -> Vec<Heard> {
        let mut heard = Vec::new();
        let of_former = self.is_former(event.id);
        let watch = if of_former { &mut self.former } else { &mut self.open };
        let Some(open) = watch.as_mut().filter(|o| o.connection.id == event.id) else { return heard };
        let (at, stood) = (open.at, open.stands);
        let went_on = open.go_on(transport, now, event, &mut heard);
        let begins_to_stand = !stood && open.stands;
        let lists = heard.iter().filter_map(|h| if let Heard::Listed(list) = h { Some(list) } else { None });
        if of_former {
            // Elsewhere, revisions may be counted otherwise.
            lists.filter(|_| at == self.discovery).for_each(|list| note_ended(&mut self.ended, list));
        } else {
            let told = lists.map(|l| l.revision).filter(|r| *r > 0);
            self.revision = told.clone().next_back().or(self.revision);
            let first = told.min().unwrap_or(u64::MAX);
            if begins_to_stand {
                // The answer may have been written before what the former watch told since the call, and come after it: a
                // cache that is known to drain would be sent to again until the new watch tells of it, too.
                let later =
                    std::mem::take(&mut self.ended).into_values().filter(|(revision, _)| *revision > first);
                let entries: Vec<_> = later.map(|(_, entry)| entry).collect();
                let later = Listings { revision: first, entries, ..Listings::default() };
                heard.extend((!later.entries.is_empty()).then_some(Heard::Listed(later)));
            }
        }
        if let Err(end) = went_on {
            heard.extend(self.lose(transport, event.id, end));
        } else if self.stands() {
            close(transport, &mut self.former, End::Done);
        }
        // What a former one tells is no reason to do without another, which whoever asks would take it for.
        if of_former && self.open.is_none() && heard.iter().any(|h| matches!(h, Heard::Listed(_))) {
            heard.push(Heard::Lost);
        }
        heard
    }

    /// It did not come up, was not answered, or said nothing whole for too long.
    pub fn timer(&mut self, transport: &mut Transport, id: ConnId) -> Option<Heard> {
        if self.stands() && !self.is_former(id) {
            // It may only be slow: what it says after all counts as told, and another may be long in coming.
            log::warn!(event = "watch_lost", end:? = End::Silent; "the watch on the list is silent");
            close(transport, &mut self.former, End::Silent);
            self.former = self.open.take();
            return Some(Heard::Lost);
        }
        let now = transport.now();
        if self.open.as_ref().is_some_and(|o| o.connection.id == id && o.until <= now) {
            // It has had its wait already: with another before the next call, that one's answer would come too late.
            log::warn!(event = "watch_lost", end:? = End::Silent; "the call for the list is not answered");
            return self.call(transport, now);
        }
        self.lose(transport, id, End::NeverUp)
    }

    fn lose(&mut self, transport: &mut Transport, id: ConnId, end: End) -> Option<Heard> {
        if self.is_former(id) {
            // The one at the new address is asked for already.
            close(transport, &mut self.former, end);
            return None;
        }
        log::warn!(event = "watch_lost", end:? = end; "the watch on the list is lost: {end:?}");
        close(transport, &mut self.open, end);
        Some(Heard::Lost)
    }
}

fn close(transport: &mut Transport, watch: &mut Option<Open>, end: End) {
    if let Some(open) = watch.take() {
        log::debug!("connection to discovery ended: {end:?}");
        open.connection.close(transport);
    }
}

impl Open {
    fn go_on(
        &mut self,
        transport: &mut Transport,
        now: Time,
        event: Event,
        heard: &mut Vec<Heard>,
    ) -> Result<(), End> {
        if !self.connection.is_up() {
            self.connection.come_up()?;
            transport.timers.set(self.connection.id, self.until);
        }
        self.connection.flush()?;
        self.connection.take_in(&event);
        while let Some(piece) = self.reader.next(&mut self.connection.input).map_err(|_| End::Malformed)? {
            match piece {
                // That an answer is on its way is not the answer.
                Piece::Head(head) if head.status < 200 => {}
                Piece::Head(head) if head.status == 200 => {
                    self.answered = true;
                    // While nothing changes, the first line is a beat, two seconds on.
                    self.until = now + SILENCE;
                    transport.timers.set(self.connection.id, self.until);
                }
                Piece::Head(head) => {
                    log::warn!(event = "watch_refused", status = head.status; "discovery answers {}", head.status);
                    return Err(End::Closed);
                }
                Piece::End if self.answered => return Err(End::Closed),
                Piece::End => {}
                Piece::Body(part) => {
                    self.line.extend(part);
                    while let Some(end) = self.line.iter().position(|b| *b == b'\n') {
                        let line: Vec<u8> = self.line.drain(..=end).collect();
                        let list = whole(&mut self.unfinished, &line).and_then(|text| read_list(&text));
                        if !self.unfinished.is_empty() {
                            continue;
                        }
                        transport.timers.set(self.connection.id, now + SILENCE);
                        let first = !std::mem::replace(&mut self.stands, true);
                        // That there is a first line says that the watch stands, whatever is in it.
                        heard.extend(list.or_else(|| first.then(Listings::default)).map(Heard::Listed));
                    }
                    if self.line.len().max(self.unfinished.len()) > MOST_LINE {
                        return Err(End::Malformed);
                    }
                }
            }
        }
        if let Some(end) = self.connection.ended() {
            return Err(end);
        }
        self.connection.rearm(transport);
        Ok(())
    }
}

/// Keeps what a former watch told the end of, by cache.
fn note_ended(ended: &mut BTreeMap<String, (u64, Entry)>, list: &Listings) {
    for entry in &list.entries {
        if entry.state == State::Active {
            ended.remove(&entry.uid);
        } else if ended.len() < MOST_ENDED {
            ended.insert(entry.uid.clone(), (list.revision, entry.clone()));
        }
    }
}

/// The text of a list, once a line has made it whole. An indented one goes over many lines, of which only its first, and
/// where it stands alone its last, begin with the brace itself; what another first line breaks off is passed over, or it
/// would swallow all that follows.
fn whole(unfinished: &mut Vec<u8>, line: &[u8]) -> Option<Vec<u8>> {
    let text = line.trim_ascii();
    if text.is_empty() {
        return None;
    }
    let begins = line.first() == Some(&b'{');
    if begins && !unfinished.is_empty() {
        log::warn!(event = "line_skipped"; "a list that was broken off was passed over");
        unfinished.clear();
    }
    let was_whole = unfinished.is_empty();
    unfinished.extend(line);
    // Its last brace may stand behind others, as in the protocol's own examples. No line within ends in one but the last of
    // an object, so that little is read twice.
    let may_be_whole = was_whole || text.ends_with(b"}");
    let goes_on =
        !may_be_whole || serde_json::from_slice::<IgnoredAny>(unfinished).is_err_and(|e| e.is_eof());
    (!goes_on).then(|| std::mem::take(unfinished))
}

fn read_list(text: &[u8]) -> Option<Listings> {
    match Listings::read(text.trim_ascii()) {
        Ok(listings) => {
            for skipped in &listings.skipped {
                log::warn!(event = "entry_skipped"; "an entry of the list was passed over: {skipped}");
            }
            Some(listings)
        }
        Err(trouble) => {
            log::warn!(event = "line_skipped"; "a line of the list was passed over: {trouble}");
            None
        }
    }
}
