//! The client side: takes API calls from clients' connections and gives the answers back.

use std::collections::BTreeMap;

use granitelb_balancer::calls::{LocalReply, Request};
use granitelb_balancer::ids::{Key, RequestClassId, RequestId};
use granitelb_balancer::time::{Span, Time};
use granitelb_settings::Names;

use super::arrivals::Arrivals;
use super::exchange::{Exchanges, FinalAnswer};
use crate::http::{Assembler, Fault, Head, Message, Side, write_answer, write_plain};
use crate::transport::{ConnId, Connection, End, Event, Listener, Owner, Ring, TimeOrder, Transport};

/// A first message must be whole so long after its client connected, a later one so long after its first byte:
/// whoever sends what is none is owed an error or a close within 3 s, and no call waits for as long.
const WHOLE: Span = Span::from_millis(2500);
/// An answer must be taken by then: far longer than any live peer needs.
const STALL: Span = Span::from_millis(10_000);
/// An idle client is let go after this: one whose machine has vanished never says so.
const IDLE: Span = Span::from_millis(120_000);
/// An idle client may be let go after this. Beyond `MANY_SHARE` of the descriptors it is, lest those who asked once
/// and stay take what clients with calls may open.
const MAY_GO: Span = Span::from_millis(2000);
const MANY_SHARE: f64 = 0.2;
/// In a crowd whoever has brought nothing whole goes this long after coming, and whoever was told to end this long
/// after that, before anybody who may ask again: whoever has something to ask begins with it.
const UNWANTED: Span = Span::from_millis(250);
/// The share of descriptors that clients may take: each call can then have a shot out, and some shots of calls
/// that have ended may be out besides.
const CLIENTS_SHARE: f64 = 0.4;
/// The share of memory for them, and what one may hold: its input, and a longest body in its call, on the way to a
/// cache, back from there and on the way to it.
const MEMORY_SHARE: f64 = 0.75;
const HELD_BY_ONE: usize = (16 + 4 * 64) * 1024;
/// The share for those beyond, who are told at once to come again: left at the door their calls would be lost.
const BEYOND_SHARE: f64 = 0.1;
/// How long one that was turned away may go on sending before its connection is cut: cut at once, the answer
/// could be lost on its way.
const LINGER: Span = Span::from_millis(1000);
/// A last look at a connection reads so many times as much as is held of its input: more than a longest message.
const LOOKS: usize = 8;

enum Doing {
    /// Reads, or waits for, the next call.
    Reading,
    /// A call is out.
    Waiting(RequestId),
    /// Writes an answer.
    Answering { keep: bool },
    /// Has told what was wrong, and lets the client finish.
    Lingering,
}

struct Client {
    connection: Connection,
    calls: Assembler,
    arrivals: Arrivals,
    doing: Doing,
    /// Whether the client was told to go on with a body it asked about.
    told_to_go_on: bool,
    /// Whether it wants the connection kept.
    keeps: bool,
    /// Whether no whole message has come yet.
    is_new: bool,
}

impl Client {
    fn is_idle(&self) -> bool {
        matches!(self.doing, Doing::Reading) && self.calls.is_between() && self.connection.input.is_empty()
    }

    /// Takes in what has come, and says whether that was anything.
    fn receive(&mut self, now: Time, take_in: impl FnOnce(&mut Connection)) -> bool {
        let held = self.connection.input.len();
        take_in(&mut self.connection);
        let came = self.connection.input.len() - held;
        self.arrivals.note(came, now);
        came > 0
    }
}

/// What a node may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Descriptors for connections.
    pub connections: usize,
    /// Bytes.
    pub memory: usize,
}

pub struct Clients {
    owner: Owner,
    clients: BTreeMap<ConnId, Client>,
    /// Those without a whole message yet, by when they came, and those that linger, by since when.
    unwanted: TimeOrder,
    most: usize,
    beyond: usize,
    many: usize,
    offer: Offer,
    /// When those beyond are told to come back; zero where they can't be told.
    retry_after: Span,
    /// Once the node ends: by when every call has its answer.
    closing: Option<Time>,
    /// Whether connections between two calls are ended too.
    idle_closed: bool,
}

/// What can be asked for.
struct Offer {
    names: Names,
    client_timeouts: Vec<Span>,
}

impl Clients {
    pub fn new(
        owner: Owner,
        limits: Limits,
        names: Names,
        client_timeouts: Vec<Span>,
        retry_after: Span,
    ) -> Clients {
        let offer = Offer { names, client_timeouts };
        let (clients, unwanted) = (BTreeMap::new(), TimeOrder::default());
        let (most, beyond, many, closing, idle_closed) = (0, 0, 0, None, false);
        let mut clients = Clients {
            owner,
            clients,
            unwanted,
            most,
            beyond,
            many,
            offer,
            retry_after,
            closing,
            idle_closed,
        };
        clients.set_limits(limits);
        clients
    }

    /// Sets what can be asked for from now on.
    pub fn set_offer(&mut self, names: Names, client_timeouts: Vec<Span>, retry_after: Span) {
        (self.offer, self.retry_after) = (Offer { names, client_timeouts }, retry_after);
    }

    /// Sets of how much in all clients have their shares.
    pub fn set_limits(&mut self, limits: Limits) {
        let share = |share: f64| ((limits.connections as f64 * share) as usize).max(1);
        let by_memory = (limits.memory as f64 * MEMORY_SHARE) as usize / HELD_BY_ONE;
        (self.most, self.beyond) = (share(CLIENTS_SHARE).min(by_memory.max(1)), share(BEYOND_SHARE));
        self.many = share(MANY_SHARE);
    }

    /// Whether there are as many clients as are served.
    pub fn is_crowded(&self) -> bool {
        self.clients.len() >= self.most
    }

    /// Whether there are as many as are taken in.
    pub fn is_full(&self) -> bool {
        self.clients.len() >= self.most + self.beyond
    }

    /// Who is to go first for one who comes: who says nothing whole or was turned away, else who is idle for longest.
    pub fn first_to_go(&self, transport: &Transport, now: Time) -> Option<ConnId> {
        let unwanted = self.unwanted.first().filter(|(since, _)| now - *since >= UNWANTED);
        unwanted.map(|(_, id)| id).or_else(|| transport.idle_longest(now, Some(self.owner)))
    }

    /// Whoever is idle for so long that it may go, where there are many.
    pub fn idle_too_long(&self, transport: &Transport, now: Time) -> Option<ConnId> {
        let first = transport.idle_first(self.owner).filter(|_| self.clients.len() > self.many);
        first.filter(|(since, _)| now - *since >= MAY_GO).map(|(_, id)| id)
    }

    pub fn accept(&mut self, transport: &mut Transport, listener: &mut Listener, now: Time) -> bool {
        let Some(connection) = listener.accept(transport, self.owner) else { return false };
        let id = connection.id;
        let (calls, arrivals) = (Assembler::new(Side::Asking), Arrivals::default());
        let (doing, told_to_go_on, keeps, is_new) = (Doing::Reading, false, true, true);
        self.clients.insert(id, Client { connection, calls, arrivals, doing, told_to_go_on, keeps, is_new });
        self.unwanted.set(id, now);
        transport.idle(id, now);
        transport.timers.set(id, now + WHOLE);
        true
    }

    pub fn event(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, event: Event) {
        let Some(client) = self.clients.get_mut(&event.id) else { return };
        client.receive(now, |connection| connection.take_in(&event));
        self.go_on(transport, exchanges, now, event.id);
        // A call and its client's end may come at once, also after the event was told of. The end stands behind the call: it
        // is looked for before the call is told of, or it would be sent on for one who has gone.
        let waits = self.clients.get(&event.id).is_some_and(|c| matches!(c.doing, Doing::Waiting(_)));
        if event.last || event.over || waits {
            self.take_all(transport, exchanges, now, event.id);
        }
    }

    /// Takes in all that the system holds for a connection, an end too; whether that was all.
    fn take_all(
        &mut self,
        transport: &mut Transport,
        exchanges: &mut Exchanges,
        now: Time,
        id: ConnId,
    ) -> bool {
        for _ in 0..LOOKS {
            let Some(client) = self.clients.get_mut(&id) else { return true };
            let came = client.receive(now, Connection::receive);
            self.go_on(transport, exchanges, now, id);
            if !came {
                return true;
            }
        }
        false
    }

    pub fn timer(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, id: ConnId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        match client.doing {
            // What stands in the system's buffers came in time: of a long message only a part is read in one turn.
            Doing::Reading => {
                self.take_all(transport, exchanges, now, id);
                let Some(client) = self.clients.get(&id) else { return };
                if client.is_idle() {
                    self.end(transport, exchanges, id, End::Done);
                } else if let Doing::Reading = client.doing {
                    // Half a message: its sender is told before the connection ends.
                    self.turn_away(transport, now, id, 408);
                    self.go_on(transport, exchanges, now, id);
                }
            }
            Doing::Lingering => self.end(transport, exchanges, id, End::Done),
            Doing::Waiting(_) | Doing::Answering { .. } => self.end(transport, exchanges, id, End::Silent),
        }
    }

    /// Closes a connection that is idle, has brought nothing whole or was told to end, after a last look for a call
    /// on it: one that has come is not to be lost.
    pub fn evict(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, id: ConnId) {
        let looked = self.take_all(transport, exchanges, now, id);
        let is_lingering = |c: &Client| matches!(c.doing, Doing::Lingering);
        let spent = |c: &Client| looked && (c.is_idle() || c.is_new) || is_lingering(c);
        if self.clients.get(&id).is_some_and(spent) {
            self.end(transport, exchanges, id, End::Done);
        }
    }

    /// From now on connections end with the answer that is due on them, and calls that are taken have theirs by then.
    pub fn begin_closing(&mut self, answered_by: Time) {
        self.closing = Some(answered_by);
    }

    /// Ends every connection that stands between two calls, or comes to.
    pub fn close_idle(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time) {
        self.idle_closed = true;
        let idle: Vec<_> = self.clients.iter().filter(|(_, c)| c.is_idle()).map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|id| self.evict(transport, exchanges, now, id));
    }

    /// Whether nobody is owed anything. Those that linger have been given their answer and may not have it yet: were the
    /// process to end over bytes of theirs that nobody has read, their connections would be reset, and what of the
    /// answer is on its way be lost.
    pub fn are_done(&self) -> bool {
        self.clients.is_empty()
    }

    /// Gives a final answer.
    pub fn answer(
        &mut self,
        transport: &mut Transport,
        exchanges: &mut Exchanges,
        now: Time,
        (call, id): (RequestId, ConnId),
        answer: &FinalAnswer,
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !matches!(client.doing, Doing::Waiting(waits_for) if waits_for == call) {
            return;
        }
        let keep = client.keeps && self.closing.is_none();
        let output = &mut client.connection.output;
        match answer {
            FinalAnswer::Fulfilled(message) => write_answer(output, message, keep),
            FinalAnswer::Own(LocalReply::RateLimited { retry_after }) => {
                write_own(output, 429, *retry_after, keep)
            }
            FinalAnswer::Own(LocalReply::Errored) => write_plain(output, 502, &[], keep),
            FinalAnswer::ClientLeft => return,
        }
        client.doing = Doing::Answering { keep };
        transport.timers.set(id, now + STALL);
        self.go_on(transport, exchanges, now, id);
    }

    /// Goes as far with a connection as what has come and what can be written allow.
    fn go_on(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, id: ConnId) {
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if let Err(end) = client.connection.flush() {
                return self.end(transport, exchanges, id, end);
            }
            match client.doing {
                Doing::Answering { .. } if !client.connection.output.is_empty() => break,
                Doing::Answering { keep: false } => {
                    self.linger(transport, now, id);
                }
                Doing::Lingering => {
                    client.connection.input.clear();
                    break;
                }
                // What more has come is told of in the next turn: nobody who sends without end keeps this one.
                Doing::Answering { keep: true } => client.doing = Doing::Reading,
                Doing::Waiting(_) => break,
                Doing::Reading => match client.calls.next(&mut client.connection.input) {
                    Ok(Some(message)) => self.take(transport, exchanges, now, id, message),
                    Ok(None) if self.tell_to_go_on(id) => {}
                    Ok(None) => break,
                    Err(fault) => self.turn_away(transport, now, id, fault.status()),
                },
            }
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Some(end) = client.connection.ended() {
            return self.end(transport, exchanges, id, end);
        }
        if let Doing::Reading = client.doing {
            if client.is_idle() && self.idle_closed {
                // Its last answer was begun before the node was told to end, and did not say so.
                self.linger(transport, now, id);
            } else if client.is_idle() {
                transport.idle(id, now);
                if !client.is_new {
                    transport.timers.set(id, now + IDLE);
                }
            } else {
                transport.busy(id);
                // The first byte sets it: more that drip in move nothing.
                transport.timers.set_first(id, now + WHOLE);
            }
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.connection.rearm(transport);
    }

    /// Tells a client that nothing more will come, and lets it finish: what it sends still is read and not heeded, since a
    /// close over it would reset the connection.
    fn linger(&mut self, transport: &mut Transport, now: Time, id: ConnId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.connection.end_output();
        client.doing = Doing::Lingering;
        self.unwanted.set(id, now);
        transport.busy(id);
        transport.timers.set(id, now + LINGER);
    }

    /// A client that asked whether to send its body is told to, once.
    fn tell_to_go_on(&mut self, id: ConnId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let asks = client.calls.head().is_some_and(|h| h.lists("expect", "100-continue"));
        let tells = asks && !client.told_to_go_on;
        if tells {
            client.told_to_go_on = true;
            client.connection.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        tells
    }

    /// Takes a whole message in.
    fn take(
        &mut self,
        transport: &mut Transport,
        exchanges: &mut Exchanges,
        now: Time,
        id: ConnId,
        message: Message,
    ) {
        transport.busy(id);
        // Those without a call out take nothing from the others, and go first once there is no room.
        let crowded = exchanges.waiting() >= self.most;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.told_to_go_on = false;
        client.is_new = false;
        self.unwanted.clear(id);
        client.keeps = message.head.keeps;
        let keep = client.keeps && self.closing.is_none();
        let came = client.arrivals.of_last_taken(client.connection.input.len()).unwrap_or(now);
        let output = &mut client.connection.output;
        if message.head.path().next() == Some("health") {
            let status = match message.head.path().nth(1) {
                Some("ready") if self.closing.is_some() => 503,
                Some("ready" | "live") => 200,
                _ => 404,
            };
            write_plain(output, status, &[], keep);
        } else {
            match self.offer.read_call(&message.head) {
                Ok(_) if crowded => return self.turn_away(transport, now, id, 503),
                Ok((mut call, name)) => {
                    // Its time counts from its last byte: behind another on its connection it may have waited long.
                    call.budget = (came + call.budget).min(self.closing.unwrap_or(Time(u64::MAX))) - now;
                    if call.budget == Span::ZERO {
                        return self.refuse_late(transport, now, id);
                    }
                    let Some(taken) = exchanges.take(id, call, name, message) else {
                        return self.turn_away(transport, now, id, 409);
                    };
                    client.doing = Doing::Waiting(taken);
                    // The decisions answer in time; this guards against a call that none is given for.
                    transport.timers.set(id, now + call.budget + STALL);
                    return;
                }
                Err(405) => write_plain(output, 405, &[("Allow", b"GET, PUT")], keep),
                Err(404) => write_plain(output, 404, &[], keep),
                Err(status) => return self.turn_away(transport, now, id, status),
            }
        }
        client.doing = Doing::Answering { keep };
        transport.timers.set(id, now + STALL);
    }

    /// Refuses a call whose time was up before it was its turn: nothing was sent on for it.
    fn refuse_late(&mut self, transport: &mut Transport, now: Time, id: ConnId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let keep = client.keeps && self.closing.is_none();
        write_own(&mut client.connection.output, 503, self.retry_after, keep);
        client.doing = Doing::Answering { keep };
        transport.timers.set(id, now + STALL);
    }

    /// Tells a client what is wrong with its message, and ends its connection with that.
    fn turn_away(&mut self, transport: &mut Transport, now: Time, id: ConnId, status: u16) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        log::debug!("turned a client away: {status}");
        // Only for want of room is there a time to come back at: the rest would be no better then.
        let advised = if status == 503 { self.retry_after } else { Span::ZERO };
        write_own(&mut client.connection.output, status, advised, false);
        client.doing = Doing::Answering { keep: false };
        client.is_new = false;
        self.unwanted.clear(id);
        transport.busy(id);
        transport.timers.set(id, now + STALL);
    }

    fn end(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, id: ConnId, end: End) {
        let Some(client) = self.clients.remove(&id) else { return };
        self.unwanted.clear(id);
        if let Doing::Waiting(call) = client.doing {
            exchanges.leave(call);
        }
        log::debug!("a client's connection ended: {end:?}");
        client.connection.close(transport);
    }
}

/// Writes an answer of the node's own, with advice on when to come back where there is any.
fn write_own(output: &mut Ring, status: u16, retry_after: Span, keep: bool) {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    let advice = [("Retry-After", seconds.as_bytes())];
    write_plain(output, status, if retry_after > Span::ZERO { &advice } else { &[] }, keep);
}

impl Offer {
    /// What a message asks for, and what its client calls it; else the status that tells what is wrong with it.
    fn read_call(&self, head: &Head) -> Result<(Request, Box<str>), u16> {
        let bad = Fault::Malformed.status();
        let only = |name| head.only(name).map_err(Fault::status);
        let write = match head.method.as_str() {
            "GET" => false,
            "PUT" => true,
            _ => return Err(405),
        };
        let number = |text: &str| text.trim().parse::<u64>().map_err(|_| bad);
        // Caches go by the path: a product that only a header names would be turned away there.
        let class = head.path().next().ok_or(404u16)?;
        let request_class = self.names.request_classes.iter().position(|p| p == class).ok_or(404u16)?;
        if only("x-priority-class")?.is_some_and(|named| named != class) {
            return Err(bad);
        }
        let name = only("x-request-id")?.filter(|id| !id.is_empty()).ok_or(bad)?;
        // No time at all is none that an answer could keep to.
        let timeout = only("x-timeout-ms")?.map(number).transpose()?;
        if timeout == Some(0) {
            return Err(bad);
        }
        let timeout = timeout.map(|ms| Span(ms.saturating_mul(1000)));
        // No client waits for longer than its product's timeout, whatever it says of one try.
        let longest = self.client_timeouts[request_class];
        let call = Request {
            request_class: RequestClassId(request_class as u16),
            key: Key(stable_hash(head.path().next_back().unwrap_or_default().as_bytes())),
            budget: timeout.map_or(longest, |t| t.min(longest)),
            // Only a hint: one that can't be read is none.
            work: head.text("x-cost").and_then(|text| number(text).ok()).map(Span),
            write,
        };
        Ok((call, name.into()))
    }
}

/// The same number for the same text at every node, whatever it was built with: nodes that differed here would
/// send a key to different caches. FNV-1a, stirred once more since its low bits mix best.
pub fn stable_hash(text: &[u8]) -> u64 {
    let hash = text
        .iter()
        .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3));
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}
