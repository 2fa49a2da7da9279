//! The server side: connections to the caches and the origin, and the shots on them.
//!
//! Invariants: a shot's first byte passes [`Servers::gate`], whichever connection it waited for, and its message is written
//! only then, with the time that is left; a shot stands on one connection at a time; an answer goes to a call only after the
//! last byte of its shot was written, and once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use granitelb_balancer::calls::{Attempt, EndpointUpdate};
use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::time::{Span, Time};

use super::copies::{Given, Telling};
use super::exchange::Exchanges;
use super::outcome::ShotFate;
use crate::http::{Assembler, Side, write_call};
use crate::transport::{ConnId, Connection, End, Event, Owner, Transport};

/// An idle connection is closed after this share of the time after which a cache may close it: what is written
/// to one that is just being closed is lost.
const IDLE_SHARE: f64 = 0.7;
/// A second answer may come some milliseconds after the first. On a connection that carries the next call by then it would
/// be taken for that call's: one that has rested for this long goes first.
const RESTED: Span = Span::from_millis(20);
/// A cache that has sent what nobody asked for gets no call on another, until nothing of the kind has come for a while: a
/// new one is opened.
const DOUBT: Span = Span::from_millis(10_000);

/// After an answer that is held to be a copy, the one for the call is waited for this share of the time that is left to the
/// call. Where none comes, this cache's answers are alike: for a while none of its is held to be a copy.
const COPY_WAIT: f64 = 0.25;
const ALIKE: Span = Span::from_millis(300_000);

/// A connection that is not up after so many times the quickest one there, and so much more, is late: its first packet
/// may be lost, and the system sends the next a second later. Then, and again after as long, its shot goes to one that has
/// become idle; else another is begun beside it, and whichever is up first carries the shot. It was written to none
/// before, so it can't run twice.
const LATE_TIMES: f64 = 3.0;
const LATE_MORE: Span = Span::from_millis(10);
/// Where none was up yet, one is late after this share of the time that it has.
const LATE_SHARE: f64 = 0.2;
/// The quickest is let grow by so much with each that comes up, as ways change.
const QUICKEST_GROWS: f64 = 1.05;
/// Connections of a cache that may be on their way beside those that shots wait for: none is begun beyond, lest a cache
/// that is cut off has the node open them without end.
const MOST_SPARE: usize = 2;
/// Descriptors that are left for the watch on the list, and for another beside a former one: shots of clients that have gone
/// run on, and at silent caches they would take all, so that no drain is heard.
const LEFT_FOR_LIST: usize = 2;
/// One on its way that no shot waits for any more is let come up within this, for the next shot.
const SPARE_STAYS: Span = Span::from_millis(2000);

/// Where a cache is, and its connections that wait for work, the one used last at the end.
struct Place {
    endpoint: SocketAddr,
    idle: Vec<ConnId>,
    /// Those that are not up yet, the first begun first.
    on_their_way: Vec<ConnId>,
    /// How long the quickest of late took to come up.
    quickest: Option<Span>,
    /// Until when it is held to send what nobody asked for.
    doubted_until: Time,
    /// Until when its answers are known to be alike from call to call.
    alike_until: Time,
}

impl Place {
    fn new(endpoint: SocketAddr) -> Place {
        let (doubted_until, alike_until) = (Time(0), Time(0));
        let (idle, on_their_way, quickest) = (Vec::new(), Vec::new(), None);
        Place { endpoint, idle, on_their_way, quickest, doubted_until, alike_until }
    }

    /// Notes how long one took to come up.
    fn came_up(&mut self, took: Span) {
        self.quickest = Some(self.quickest.map_or(took, |q| q.scaled(QUICKEST_GROWS).min(took)));
    }

    /// After how long one is late, of all the time that it has.
    fn late_after(&self, limit: Span) -> Span {
        self.quickest.map_or(limit.scaled(LATE_SHARE), |q| q.scaled(LATE_TIMES) + LATE_MORE)
    }
}

/// The shot that a connection is for.
struct Carried {
    call: RequestId,
    number: AttemptNumber,
    sent: Time,
    /// When its connection has to be up.
    up_by: Time,
    /// When its first byte has to have left.
    begin_by: Time,
    give_up: Time,
    /// How long its message is, once that was handed to its connection.
    length: Option<usize>,
    /// Whether something came on its connection before its last byte had left.
    early: bool,
}

impl Carried {
    /// Until when it waits for its connection.
    fn waits_until(&self) -> Time {
        self.up_by.min(self.begin_by).min(self.give_up)
    }
}

struct Link {
    connection: Connection,
    answers: Assembler,
    cache: EndpointId,
    endpoint: SocketAddr,
    shot: Option<Carried>,
    given: Given,
    /// When it was begun, came up, or its last answer came.
    since: Time,
}

impl Link {
    /// Whether a byte of its shot has left.
    fn has_begun(&self) -> bool {
        let unsent = self.connection.output.len();
        self.shot.as_ref().is_some_and(|s| s.length.is_some_and(|length| unsent < length))
    }

    /// Whether its shot's last byte has left.
    fn is_written(&self) -> bool {
        self.has_begun() && self.connection.output.is_empty()
    }
}

pub struct Servers {
    owner: Owner,
    places: BTreeMap<EndpointId, Place>,
    links: BTreeMap<ConnId, Link>,
    carriers: BTreeMap<(RequestId, AttemptNumber), ConnId>,
    connect_limit: Span,
    keepalive: Span,
    /// Of reads, and of writes.
    telling: [Telling; 2],
}

impl Servers {
    pub fn new(owner: Owner, connect_limit: Span, keepalive: Span) -> Servers {
        Servers {
            owner,
            places: BTreeMap::new(),
            links: BTreeMap::new(),
            carriers: BTreeMap::new(),
            connect_limit,
            keepalive: keepalive.scaled(IDLE_SHARE),
            telling: Default::default(),
        }
    }

    /// Sets the times of connections from now on.
    pub fn set_times(&mut self, connect_limit: Span, keepalive: Span) {
        (self.connect_limit, self.keepalive) = (connect_limit, keepalive.scaled(IDLE_SHARE));
    }

    /// Takes up where the caches are that are to get shots; any other is forgotten.
    pub fn place_all(
        &mut self,
        transport: &mut Transport,
        exchanges: &mut Exchanges,
        now: Time,
        placed: &BTreeMap<EndpointId, (SocketAddr, EndpointUpdate)>,
    ) {
        let stays =
            |cache: &EndpointId, place: &Place| placed.get(cache).is_some_and(|p| p.0 == place.endpoint);
        let gone: Vec<_> = self.places.iter().filter(|(c, p)| !stays(c, p)).map(|(c, _)| *c).collect();
        gone.into_iter().for_each(|cache| self.forget(transport, exchanges, now, cache));
        for (cache, (endpoint, _)) in placed {
            self.places.entry(*cache).or_insert_with(|| Place::new(*endpoint));
        }
    }

    /// Nothing new goes to this cache: what was not begun is not sent, what is idle is closed, and connections
    /// with a shot out end with its answer.
    fn forget(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, cache: EndpointId) {
        let Some(place) = self.places.remove(&cache) else { return };
        for id in place.on_their_way.into_iter().chain(place.idle) {
            self.end(transport, exchanges, now, id, End::Done);
        }
    }

    /// Sends a shot on an idle connection, or on a new one.
    pub fn send(
        &mut self,
        transport: &mut Transport,
        exchanges: &mut Exchanges,
        now: Time,
        shot: &Attempt,
        number: AttemptNumber,
    ) {
        let fail = |exchanges: &mut Exchanges, end| {
            let fate = ShotFate::Lost { end, whole: false };
            exchanges.on_attempt_finished(shot.request, number, shot.cache, fate, Span::ZERO);
        };
        let id = match self.live_link(transport, now, shot.cache) {
            Some(id) => id,
            None => match self.begin(transport, now, shot.cache) {
                Ok(id) => id,
                Err(end) => return fail(exchanges, end),
            },
        };
        let (give_up, up_by, begin_by) =
            (now + shot.give_up_after, now + self.connect_limit, now + shot.begin_within);
        let (call, sent, length, early) = (shot.request, now, None, false);
        let carried = Carried { call, number, sent, up_by, begin_by, give_up, length, early };
        self.carry(transport, exchanges, now, id, carried);
    }

    /// A connection has a shot to carry, which is written once it is up.
    fn carry(
        &mut self,
        transport: &mut Transport,
        exchanges: &mut Exchanges,
        now: Time,
        id: ConnId,
        shot: Carried,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        transport.busy(id);
        self.carriers.insert((shot.call, shot.number), id);
        transport.timers.set(id, shot.give_up);
        if !link.connection.is_up() {
            let late = self.places.get(&link.cache).map_or(Span::ZERO, |p| p.late_after(self.connect_limit));
            transport.timers.set(id, (now + late).min(shot.waits_until()));
        }
        link.shot = Some(shot);
        self.go_on(transport, exchanges, now, id);
    }

    /// Begins a connection to a cache that has a place. Until a shot waits for it, it is a spare.
    fn begin(&mut self, transport: &mut Transport, now: Time, cache: EndpointId) -> Result<ConnId, End> {
        let place = self.places.get_mut(&cache).ok_or(End::Done)?;
        if transport.room() <= LEFT_FOR_LIST {
            return Err(End::NoDescriptor);
        }
        let connection = Connection::begin(transport, place.endpoint, self.owner)?;
        let (id, answers, endpoint) = (connection.id, Assembler::new(Side::Answering), place.endpoint);
        place.on_their_way.push(id);
        transport.timers.set(id, now + SPARE_STAYS);
        let (shot, given) = (None, Given::default());
        self.links.insert(id, Link { connection, answers, cache, endpoint, shot, given, since: now });
        Ok(id)
    }

    /// A connection that a shot waits for is late.
    fn late(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, id: ConnId) {
        let Some((cache, shot)) = self.links.get(&id).and_then(|l| Some((l.cache, l.shot.as_ref()?))) else {
            return;
        };
        // Nothing is opened or taken for a call that has its answer; this connection stays for the next shot.
        if !exchanges.is_waiting(shot.call) {
            return self.set_free(transport, exchanges, now, id, End::Done);
        }
        let again = self.places.get(&cache).map_or(shot.up_by, |p| now + p.late_after(self.connect_limit));
        transport.timers.set(id, again.min(shot.waits_until()));
        if let Some(idle) = self.live_link(transport, now, cache) {
            return self.hand_over(transport, exchanges, now, id, idle);
        }
        if self.spares(cache) < MOST_SPARE && transport.room() > MOST_SPARE {
            // One that can't be begun leaves the shot where it is.
            let _ = self.begin(transport, now, cache);
        }
    }

    /// How many connections to a cache are on their way that no shot waits for.
    fn spares(&self, cache: EndpointId) -> usize {
        let is_spare = |id: &&ConnId| self.links.get(id).is_some_and(|l| l.shot.is_none());
        self.places.get(&cache).map_or(0, |p| p.on_their_way.iter().filter(is_spare).count())
    }

    /// The shot of a connection that is not up goes to one that is. The first goes on as a spare; nothing was written to
    /// it.
    fn hand_over(
        &mut self,
        transport: &mut Transport,
        exchanges: &mut Exchanges,
        now: Time,
        from: ConnId,
        to: ConnId,
    ) {
        let Some(late) = self.links.get_mut(&from).filter(|l| !l.connection.is_up()) else { return };
        let Some(shot) = late.shot.take() else { return };
        transport.timers.set(from, now + SPARE_STAYS);
        self.carry(transport, exchanges, now, to, shot);
    }

    /// A spare is up: it carries the shot that has waited longest for another to its cache, else it waits for the next.
    fn spare_is_up(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, id: ConnId) {
        let unharmed = |l: &&Link| l.connection.input.is_empty() && l.connection.ended().is_none();
        let link = self.links.get(&id).filter(unharmed);
        let Some(place) = link.and_then(|l| self.places.get_mut(&l.cache)) else { return };
        let waits = |shot: &Carried| exchanges.is_waiting(shot.call);
        let has_shot = |id: &&ConnId| self.links.get(id).is_some_and(|l| l.shot.as_ref().is_some_and(waits));
        if let Some(late) = place.on_their_way.iter().find(has_shot).copied() {
            return self.hand_over(transport, exchanges, now, late, id);
        }
        place.idle.push(id);
        transport.idle(id, now);
        transport.timers.set(id, now + self.keepalive);
    }

    /// An idle connection that the cache has not ended meanwhile: what is written to one that it has is lost.
    fn live_link(&mut self, transport: &mut Transport, now: Time, cache: EndpointId) -> Option<ConnId> {
        loop {
            let place = self.places.get_mut(&cache)?;
            // They stand in the order in which they came to rest.
            let links = &self.links;
            let rested = |id: &ConnId| links.get(id).is_none_or(|l| now - l.since >= RESTED);
            let at = match place.idle.partition_point(rested).checked_sub(1) {
                Some(last) => last,
                None if place.doubted_until > now || place.idle.is_empty() => return None,
                None => 0,
            };
            let id = place.idle.remove(at);
            let connection = &mut self.links.get_mut(&id)?.connection;
            connection.receive();
            if connection.ended().is_none() && connection.input.is_empty() {
                return Some(id);
            }
            if !connection.input.is_empty() {
                self.doubt(now, cache);
            }
            self.drop_link(transport, id, End::Closed);
        }
    }

    /// Notes that a cache has sent what nobody asked for.
    fn doubt(&mut self, now: Time, cache: EndpointId) {
        if let Some(place) = self.places.get_mut(&cache) {
            place.doubted_until = now + DOUBT;
        }
    }

    /// Calls a shot off.
    pub fn recall(
        &mut self,
        transport: &mut Transport,
        exchanges: &mut Exchanges,
        now: Time,
        call: RequestId,
        number: AttemptNumber,
    ) {
        let Some(id) = self.carriers.get(&(call, number)).copied() else { return };
        if self.links.get(&id).is_some_and(Link::has_begun) {
            self.end(transport, exchanges, now, id, End::Recalled);
        } else {
            self.set_free(transport, exchanges, now, id, End::Recalled);
        }
    }

    pub fn event(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, event: Event) {
        let Some(link) = self.links.get_mut(&event.id) else { return };
        if !link.connection.is_up() {
            if let Err(end) = link.connection.come_up() {
                return self.end(transport, exchanges, now, event.id, end);
            }
            if link.connection.is_up() {
                let took = now - link.since;
                link.since = now;
                // What stands there before the message is written is no answer to it.
                link.connection.receive();
                if let Some(place) = self.places.get_mut(&link.cache) {
                    place.on_their_way.retain(|i| *i != event.id);
                    place.came_up(took);
                }
                match &link.shot {
                    Some(shot) => transport.timers.set(event.id, shot.give_up),
                    None => self.spare_is_up(transport, exchanges, now, event.id),
                }
            }
        }
        let Some(link) = self.links.get_mut(&event.id) else { return };
        link.connection.take_in(&event);
        self.go_on(transport, exchanges, now, event.id);
    }

    pub fn timer(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, id: ConnId) {
        let Some(link) = self.links.get(&id) else { return };
        let end = match &link.shot {
            None => End::Done,
            Some(shot) if shot.give_up <= now => End::GivenUp,
            Some(shot) if !link.connection.is_up() && shot.begin_by <= now => {
                return self.set_free(transport, exchanges, now, id, End::Done);
            }
            Some(shot) if !link.connection.is_up() && shot.up_by > now => {
                return self.late(transport, exchanges, now, id);
            }
            Some(_) if !link.connection.is_up() => End::NeverUp,
            // Nothing followed what was held to be a copy. It may have been the answer, or not: it is given to nobody.
            Some(_) => {
                if let Some(place) = self.places.get_mut(&link.cache) {
                    place.alike_until = now + ALIKE;
                }
                End::Malformed
            }
        };
        self.end(transport, exchanges, now, id, end);
    }

    /// Closes an idle connection to make room.
    pub fn evict(&mut self, transport: &mut Transport, id: ConnId) {
        if let Some(place) = self.links.get(&id).and_then(|l| self.places.get_mut(&l.cache)) {
            place.idle.retain(|i| *i != id);
        }
        self.drop_link(transport, id, End::Done);
    }

    /// Writes what is to be written and reads what has come.
    fn go_on(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, id: ConnId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let connection = &mut link.connection;
        // On a resting connection nothing is due. A part of an answer, once read, would stand before the next call's, and
        // its client be given what was made for no call.
        if link.shot.is_none() && !connection.input.is_empty() {
            let cache = link.cache;
            self.doubt(now, cache);
            return self.end(transport, exchanges, now, id, End::Malformed);
        }
        // For a call that has its answer the rest of a message does not go out either.
        let unwritten = link.shot.as_ref().filter(|_| !connection.output.is_empty());
        if link.has_begun() && unwritten.is_some_and(|shot| !exchanges.is_waiting(shot.call)) {
            return self.end(transport, exchanges, now, id, End::Done);
        }
        if let Err(end) = self.gate(exchanges, now, id) {
            return self.set_free(transport, exchanges, now, id, end);
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        let is_written = link.is_written();
        let connection = &mut link.connection;
        let has_come = !connection.input.is_empty();
        link.shot.iter_mut().for_each(|shot| shot.early |= has_come && !is_written);
        // To one that the cache has ended nothing more is written: what has not left yet never runs there.
        let written = if connection.ended().is_none() { connection.flush() } else { Ok(()) };
        loop {
            let answer = match link.answers.next(&mut connection.input) {
                Ok(Some(answer)) => Some(answer),
                Ok(None) => {
                    connection.ended().filter(|e| *e == End::Closed).and_then(|_| link.answers.finish())
                }
                Err(_) => return self.end(transport, exchanges, now, id, End::Malformed),
            };
            let Some(answer) = answer else { break };
            let Some(shot) = &link.shot else { break };
            let mut place = self.places.get_mut(&link.cache);
            // A cache begins with a message once it has all of it: this was made for no call that waits.
            if answer.head.status == 200 && shot.early {
                place.into_iter().for_each(|p| p.doubted_until = now + DOUBT);
                return self.end(transport, exchanges, now, id, End::Malformed);
            }
            // One that its connection gave a moment ago is that call's, come a second time: this call's follows it.
            let alike = place.as_ref().is_some_and(|p| p.alike_until > now);
            let writes = exchanges.message(shot.call).is_some_and(|m| m.head.method != "GET");
            let telling = &mut self.telling[usize::from(writes)];
            if !alike && telling.is_shown() && link.given.holds(now, &answer) {
                place.into_iter().for_each(|p| p.doubted_until = now + DOUBT);
                transport.timers.set_first(id, now + (shot.give_up - now).scaled(COPY_WAIT));
                continue;
            }
            let Some(shot) = link.shot.take() else { break };
            link.given.note(now, &answer);
            telling.note(&answer);
            self.carriers.remove(&(shot.call, shot.number));
            let clean = answer.head.keeps && !shot.early && connection.input.is_empty();
            let usable = clean && connection.ended().is_none() && written.is_ok();
            let fate = ShotFate::Answered(answer);
            exchanges.on_attempt_finished(shot.call, shot.number, link.cache, fate, now - shot.sent);
            link.since = now;
            if let Some(place) = place.as_mut().filter(|_| !connection.input.is_empty()) {
                place.doubted_until = now + DOUBT;
            }
            let Some(place) = place.filter(|p| usable && p.endpoint == link.endpoint) else {
                return self.drop_link(transport, id, End::Done);
            };
            place.idle.push(id);
            transport.idle(id, now);
            transport.timers.set(id, now + self.keepalive);
        }
        // Word that an answer is on its way is no part of it.
        let between = link.answers.is_between() && connection.input.is_empty();
        link.shot.iter_mut().for_each(|shot| shot.early &= !between);
        // Bytes came before the message was written, and are no answer.
        let early = (connection.is_up() && link.shot.as_ref().is_some_and(|s| s.length.is_none()))
            .then_some(End::Malformed);
        if let Some(end) = connection.ended().or(written.err()).or(early) {
            return self.end(transport, exchanges, now, id, end);
        }
        connection.rearm(transport);
    }

    /// The gate of each shot's first byte: it goes out while its call waits for it, before its time to begin is up, and to
    /// where its cache is. The message is written here, with the time that is left by now: a connection may have taken long to come
    /// up. Where bytes have come before it, or the connection's end, it isn't written: they are looked at first.
    fn gate(&mut self, exchanges: &Exchanges, now: Time, id: ConnId) -> Result<(), End> {
        let Some(link) = self.links.get_mut(&id) else { return Ok(()) };
        let has_begun = link.has_begun();
        let Some(shot) = link.shot.as_mut().filter(|_| link.connection.is_up() && !has_begun) else {
            return Ok(());
        };
        let placed = self.places.get(&link.cache).is_some_and(|p| p.endpoint == link.endpoint);
        let message = exchanges.message(shot.call).filter(|_| placed && exchanges.is_waiting(shot.call));
        let message = message.ok_or(End::Done)?;
        if shot.give_up <= now {
            return Err(End::GivenUp);
        }
        // A repeat that goes out later is dropped by nobody.
        if shot.begin_by <= now {
            return Err(End::Done);
        }
        let connection = &mut link.connection;
        if shot.length.is_none() && connection.input.is_empty() && connection.ended().is_none() {
            write_call(&mut connection.output, message, (shot.give_up - now).0 / 1000);
            shot.length = Some(connection.output.len());
        }
        Ok(())
    }

    /// A shot of which nothing has left ends, and its connection waits for the next: it is not at fault.
    fn set_free(
        &mut self,
        transport: &mut Transport,
        exchanges: &mut Exchanges,
        now: Time,
        id: ConnId,
        end: End,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let Some(shot) = link.shot.take() else { return };
        self.carriers.remove(&(shot.call, shot.number));
        link.connection.output.clear();
        let fate = ShotFate::Lost { end, whole: false };
        exchanges.on_attempt_finished(shot.call, shot.number, link.cache, fate, now - shot.sent);
        if !link.connection.is_up() {
            let cache = link.cache;
            transport.timers.set(id, now + SPARE_STAYS);
            if self.spares(cache) > MOST_SPARE {
                self.drop_link(transport, id, end);
            }
            return;
        }
        let usable = link.connection.ended().is_none() && link.connection.input.is_empty();
        let place = self.places.get_mut(&link.cache).filter(|p| usable && p.endpoint == link.endpoint);
        let Some(place) = place else { return self.drop_link(transport, id, end) };
        link.since = now;
        place.idle.push(id);
        transport.idle(id, now);
        transport.timers.set(id, now + self.keepalive);
        link.connection.rearm(transport);
    }

    /// A connection ends, and with it the shot on it.
    fn end(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, id: ConnId, end: End) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let whole = link.is_written();
        if let Some(shot) = link.shot.take() {
            self.carriers.remove(&(shot.call, shot.number));
            let fate = ShotFate::Lost { end, whole };
            exchanges.on_attempt_finished(shot.call, shot.number, link.cache, fate, now - shot.sent);
        } else if let Some(place) = self.places.get_mut(&link.cache) {
            place.idle.retain(|i| *i != id);
        }
        self.drop_link(transport, id, end);
    }

    fn drop_link(&mut self, transport: &mut Transport, id: ConnId, end: End) {
        if let Some(link) = self.links.remove(&id) {
            if let Some(place) = self.places.get_mut(&link.cache) {
                place.on_their_way.retain(|i| *i != id);
            }
            log::debug!("connection to {} ended: {end:?}", link.endpoint);
            link.connection.close(transport);
        }
    }
}
