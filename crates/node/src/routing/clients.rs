//! The client side: takes API calls from clients' connections and gives the answers back.

use std::collections::BTreeMap;

use granitelb::calls::{Answer, ApiCall};
use granitelb::ids::{ApiCallId, Key, ProductId, TenantId};
use granitelb::units::{Span, Time};
use granitelb_settings::Names;

use super::exchange::{Exchanges, FinalAnswer};
use crate::protocol::{Assembler, Fault, Head, Message, Side, write_answer, write_plain};
use crate::transport::{ConnId, Connection, End, Event, Listener, Owner, Transport};

/// A message that was begun must be whole by then, and an answer taken: far longer than any live peer needs.
const STALL: Span = Span::from_millis(10_000);
/// An idle client is let go after this: one whose machine has vanished never says so.
const IDLE: Span = Span::from_millis(120_000);
/// The share of descriptors that clients may take: each call can then have a shot out, and some shots of calls
/// that have ended may be out besides.
const CLIENTS_SHARE: f64 = 0.4;
/// The share for those beyond, who are told at once to come again: left at the door their calls would be lost.
const BEYOND_SHARE: f64 = 0.1;
/// How long one that was turned away may go on sending before its connection is cut: cut at once, the answer
/// could be lost on its way.
const LINGER: Span = Span::from_millis(1000);

enum Doing {
    /// Reads, or waits for, the next call.
    Reading,
    /// A call is out.
    Waiting(ApiCallId),
    /// Writes an answer.
    Answering { keep: bool },
    /// Has told what was wrong, and lets the client finish.
    Lingering,
}

struct Client {
    connection: Connection,
    calls: Assembler,
    doing: Doing,
    /// Whether the client was told to go on with a body it asked about.
    told_to_go_on: bool,
    /// Whether it wants the connection kept.
    keeps: bool,
}

impl Client {
    fn is_idle(&self) -> bool {
        matches!(self.doing, Doing::Reading) && self.calls.is_between() && self.connection.input.is_empty()
    }
}

pub struct Clients {
    owner: Owner,
    clients: BTreeMap<ConnId, Client>,
    most: usize,
    beyond: usize,
    offer: Offer,
    closing: bool,
}

/// What can be asked for.
struct Offer {
    names: Names,
    client_timeouts: Vec<Span>,
}

impl Clients {
    pub fn new(owner: Owner, most_descriptors: usize, names: Names, client_timeouts: Vec<Span>) -> Clients {
        let offer = Offer { names, client_timeouts };
        let mut clients =
            Clients { owner, clients: BTreeMap::new(), most: 0, beyond: 0, offer, closing: false };
        clients.set_descriptors(most_descriptors);
        clients
    }

    /// Sets of how many descriptors in all clients have their shares.
    pub fn set_descriptors(&mut self, most: usize) {
        let share = |share: f64| ((most as f64 * share) as usize).max(1);
        (self.most, self.beyond) = (share(CLIENTS_SHARE), share(BEYOND_SHARE));
    }

    /// Whether there are as many clients as are served.
    pub fn is_crowded(&self) -> bool {
        self.clients.len() >= self.most
    }

    /// Whether there are as many as are taken in.
    pub fn is_full(&self) -> bool {
        self.clients.len() >= self.most + self.beyond
    }

    pub fn accept(&mut self, transport: &mut Transport, listener: &mut Listener, now: Time) -> bool {
        let Some(connection) = listener.accept(transport, self.owner) else { return false };
        let id = connection.id;
        let calls = Assembler::new(Side::Asking);
        let client = Client { connection, calls, doing: Doing::Reading, told_to_go_on: false, keeps: true };
        self.clients.insert(id, client);
        transport.idle(id, now);
        transport.timers.set(id, now + IDLE);
        true
    }

    pub fn event(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, event: Event) {
        let Some(client) = self.clients.get_mut(&event.id) else { return };
        client.connection.take_in(&event);
        self.go_on(transport, exchanges, now, event.id);
    }

    pub fn timer(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, id: ConnId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        match client.doing {
            // Half a message: its sender is told before the connection ends.
            Doing::Reading if !client.is_idle() => {
                self.turn_away(transport, now, id, 408);
                self.go_on(transport, exchanges, now, id);
            }
            Doing::Reading | Doing::Lingering => self.end(transport, exchanges, id, End::Done),
            Doing::Waiting(_) | Doing::Answering { .. } => self.end(transport, exchanges, id, End::Silent),
        }
    }

    /// Closes an idle connection, after a last look for a call on it: one that has come is not to be lost.
    pub fn evict(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time, id: ConnId) {
        self.event(transport, exchanges, now, Event { id, readable: true, over: false });
        if self.clients.get(&id).is_some_and(Client::is_idle) {
            self.end(transport, exchanges, id, End::Done);
        }
    }

    /// From now on connections end with the answer that is due on them.
    pub fn begin_closing(&mut self) {
        self.closing = true;
    }

    /// Ends every connection that stands between two calls.
    pub fn close_idle(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, now: Time) {
        let idle: Vec<_> = self.clients.iter().filter(|(_, c)| c.is_idle()).map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|id| self.evict(transport, exchanges, now, id));
    }

    /// Whether nobody is owed anything: those that linger have had their answer.
    pub fn are_done(&self) -> bool {
        self.clients.values().all(|c| matches!(c.doing, Doing::Lingering))
    }

    /// Gives a final answer.
    pub fn answer(
        &mut self,
        transport: &mut Transport,
        exchanges: &mut Exchanges,
        now: Time,
        (call, id): (ApiCallId, ConnId),
        answer: &FinalAnswer,
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !matches!(client.doing, Doing::Waiting(waits_for) if waits_for == call) {
            return;
        }
        let keep = client.keeps && !self.closing;
        let output = &mut client.connection.output;
        match answer {
            FinalAnswer::Fulfilled(message) => write_answer(output, message, keep),
            FinalAnswer::Own(Answer::RateLimited { come_back }) => {
                let seconds = format!("{:.3}", come_back.as_secs_f64());
                let advice = [("Retry-After", seconds.as_bytes())];
                let advised = if *come_back > Span::ZERO { &advice[..] } else { &[] };
                write_plain(output, 429, advised, keep);
            }
            FinalAnswer::Own(Answer::Errored) => write_plain(output, 502, &[], keep),
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
                    client.connection.end_output();
                    client.doing = Doing::Lingering;
                    transport.timers.set(id, now + LINGER);
                }
                Doing::Lingering => {
                    client.connection.input.clear();
                    break;
                }
                Doing::Answering { keep: true } => {
                    client.doing = Doing::Reading;
                    client.connection.receive();
                }
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
            if client.is_idle() {
                transport.idle(id, now);
                transport.timers.set(id, now + IDLE);
            } else {
                transport.busy(id);
                transport.timers.set_first(id, now + STALL);
            }
        }
        client.connection.rearm(transport);
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
        // Those that are idle take nothing from the others, and go first once there is no room.
        let crowded = self.clients.len() - transport.idle_count(self.owner) > self.most;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.told_to_go_on = false;
        client.keeps = message.head.keeps;
        let keep = client.keeps && !self.closing;
        let output = &mut client.connection.output;
        if message.head.path().next() == Some("health") {
            let status = match message.head.path().nth(1) {
                Some("ready") if self.closing => 503,
                Some("ready" | "live") => 200,
                _ => 404,
            };
            write_plain(output, status, &[], keep);
        } else {
            match self.offer.read_call(&message.head) {
                Ok(_) if crowded => return self.turn_away(transport, now, id, 503),
                Ok(call) => {
                    client.doing = Doing::Waiting(exchanges.take(id, call, message));
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

    /// Tells a client what is wrong with its message, and ends its connection with that.
    fn turn_away(&mut self, transport: &mut Transport, now: Time, id: ConnId, status: u16) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        log::debug!("turned a client away: {status}");
        write_plain(&mut client.connection.output, status, &[], false);
        client.doing = Doing::Answering { keep: false };
        transport.busy(id);
        transport.timers.set(id, now + STALL);
    }

    fn end(&mut self, transport: &mut Transport, exchanges: &mut Exchanges, id: ConnId, end: End) {
        let Some(client) = self.clients.remove(&id) else { return };
        if let Doing::Waiting(call) = client.doing {
            exchanges.leave(call);
        }
        log::debug!("a client's connection ended: {end:?}");
        client.connection.close(transport);
    }
}

impl Offer {
    /// What a message asks for; else the status that tells what is wrong with it.
    fn read_call(&self, head: &Head) -> Result<ApiCall, u16> {
        let bad = Fault::Malformed.status();
        let write = match head.method.as_str() {
            "GET" => false,
            "PUT" => true,
            _ => return Err(405),
        };
        let number = |name: &str| match head.text(name) {
            Some(text) => text.trim().parse::<u64>().map(Some).map_err(|_| bad),
            None => Ok(None),
        };
        let mut path = head.path();
        let class = head.text("x-priority-class").or(path.next()).ok_or(404u16)?;
        let product = self.names.products.iter().position(|p| p == class).ok_or(404u16)?;
        let id = head.text("x-request-id").filter(|id| !id.is_empty());
        id.ok_or(bad)?;
        let timeout = number("x-timeout-ms")?.map(|ms| Span(ms.saturating_mul(1000)));
        // No client waits for longer than its product's timeout, whatever it says of one try.
        let longest = self.client_timeouts[product];
        let tenant = head.text("x-tenant-id").and_then(|t| self.names.tenants.iter().position(|n| n == t));
        Ok(ApiCall {
            product: ProductId(product as u16),
            tenant: tenant.map(|n| TenantId(n as u32)),
            key: Key(stable_hash(head.path().next_back().unwrap_or_default().as_bytes())),
            budget: timeout.map_or(longest, |t| t.min(longest)),
            // Only a hint: one that can't be read is none.
            work: number("x-cost").ok().flatten().map(Span),
            write,
        })
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
