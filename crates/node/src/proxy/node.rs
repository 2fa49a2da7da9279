//! The loop: waits for events, hands each to whoever it is for, and settles what follows.

use std::io;
use std::net::SocketAddr;

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::time::{Span, Time};
use granitelb_control_plane::agent::Agent;
use granitelb_settings::Decoded;
use rustix::fd::AsFd;

use super::clients::{Clients, Limits};
use super::driver::{Driver, Sides};
use super::exchange::Exchanges;
use super::servers::Servers;
use super::watch::{Heard, Watch};
use super::witness::ObservationRecorder;
use crate::http::Listings;
use crate::transport::{ConnId, Event, Listener, Owner, Transport};

const LISTENER: Owner = Owner(0);
const CLIENTS: Owner = Owner(1);
const SERVERS: Owner = Owner(2);
const DISCOVERY: Owner = Owner(3);
const OPERATOR: Owner = Owner(4);

/// Descriptors that are no connections: standard streams, epoll, the listener, the signals' two, the letters' where there
/// are any, and a few that are opened for a moment, as for a configuration that is read again.
const OWN_DESCRIPTORS: usize = 12;
/// Descriptors that are kept free for shots by closing what is idle: this share of all, and so many at the most.
const FREE_SHARE: f64 = 0.125;
const MOST_FREE: usize = 16;
/// New connections taken in one turn: calls that wait must not be kept waiting by a crowd at the door.
const ACCEPTED_A_TURN: usize = 64;
/// After a stop signal clients may go on coming for 0.4 s; then nobody is sent here any more.
const COMING: Span = Span::from_millis(450);
/// Whoever came at the last moment may need so long to have its first bytes here.
const LAST_BYTES: Span = Span::from_millis(100);
/// How long past the longest client timeout a stopping node stays for its calls: past the last that can have come,
/// and within the 0.7 s that it has.
const STAYS: Span = Span::from_millis(650);
/// How long past the longest client timeout a stopping node's calls have their answers at the latest: those whose last
/// byte came late too, before the node is gone.
const ANSWERED: Span = Span::from_millis(600);
/// How often the log says what calls came to.
const TALLY: Span = Span::from_millis(60_000);
/// A listener without room is asked again after this.
const FULL: Span = Span::from_millis(20);

/// What a node is made from.
pub struct Setup {
    pub listen: SocketAddr,
    pub seed: u64,
    pub known: Option<Listings>,
    pub settings: Decoded,
    pub live: Live,
    /// For a node of a fleet that decides together.
    pub courier: Option<Agent>,
}

/// What a running node can take up anew.
pub struct Live {
    pub discovery: SocketAddr,
    pub descriptors: usize,
    /// In bytes.
    pub memory: usize,
    pub connect_limit: Span,
    pub keepalive: Span,
    /// The header of an answer that holds the cache's load report, if one does.
    pub load_header: Option<Box<str>>,
    /// Other settings than before, for a node that serves.
    pub settings: Option<Box<Decoded>>,
}

/// What a serving node is told to do.
pub enum Order {
    /// To finish what it has taken, and end.
    Stop,
    Reload(Live),
}

/// Whoever gives the orders; its descriptor can be read from when there are some.
pub trait FleetConfig: AsFd {
    fn orders(&mut self) -> Vec<Order>;
}

pub struct Node {
    transport: Transport,
    listener: Option<Listener>,
    exchanges: Exchanges,
    clients: Clients,
    servers: Servers,
    watch: Watch,
    driver: Driver,
    /// When the stop signal came.
    stopping: Option<Time>,
    /// Whether the connections that stood idle have been ended since.
    idle_closed: bool,
    longest_call: Span,
    kept_free: usize,
    /// When the log says next what calls came to.
    tally_at: Time,
    /// When connections that had no room are looked for again.
    full_until: Option<Time>,
}

impl Live {
    /// What connections may use.
    fn limits(&self) -> Limits {
        Limits { connections: self.descriptors.saturating_sub(OWN_DESCRIPTORS).max(8), memory: self.memory }
    }
}

/// How many of these are kept free.
fn kept_free(connections: usize) -> usize {
    ((connections as f64 * FREE_SHARE) as usize).min(MOST_FREE)
}

impl Node {
    pub fn open(setup: Setup) -> io::Result<Node> {
        let live = setup.live;
        let limits = live.limits();
        let mut transport = Transport::new(limits.connections)?;
        let listener = Listener::open(&mut transport, setup.listen, LISTENER)?;
        let now = transport.now();
        let Decoded { decisions, names, client_timeouts, .. } = setup.settings;
        let longest_call = client_timeouts.iter().copied().max().unwrap_or_default();
        let unasked = !decisions.list_on_request;
        let (retry_after, only_draining_binds) = (decisions.max_retry_after, decisions.only_draining_binds);
        let clock = transport.clock();
        let desk = setup.courier.map(|courier| courier.start(move || clock.now())).transpose()?;
        let witness = desk.map(|desk| ObservationRecorder::new(desk, decisions.clone()));
        let balancer = Balancer::new(decisions, setup.seed, now);
        let mut exchanges = Exchanges::default();
        exchanges.set_load_header(live.load_header);
        let revision = setup.known.as_ref().map(|k| k.revision);
        let mut node = Node {
            clients: Clients::new(CLIENTS, limits, names.clone(), client_timeouts, retry_after),
            servers: Servers::new(SERVERS, live.connect_limit, live.keepalive),
            watch: Watch::new(DISCOVERY, live.discovery, live.connect_limit, revision),
            driver: Driver::new(balancer, names, only_draining_binds, witness),
            exchanges,
            listener: Some(listener),
            transport,
            stopping: None,
            idle_closed: false,
            longest_call,
            kept_free: kept_free(limits.connections),
            tally_at: now + TALLY,
            full_until: None,
        };
        let (driver, mut sides) = node.parts();
        if let Some(known) = &setup.known {
            driver.remembered(&mut sides, now, known);
        }
        if unasked {
            driver.watch_unasked(&mut sides, now);
        }
        Ok(node)
    }

    fn parts(&mut self) -> (&mut Driver, Sides<'_>) {
        let Node { driver, transport, exchanges, clients, servers, watch, .. } = self;
        (driver, Sides { transport, exchanges, clients, servers, watch })
    }

    /// Serves until it is told to stop, and then until what was taken is answered.
    pub fn serve(mut self, mut operator: impl FleetConfig) -> io::Result<()> {
        self.transport.tell(&operator, OPERATOR)?;
        let mut now = self.transport.now();
        loop {
            let (driver, mut sides) = self.parts();
            driver.settle(&mut sides, now);
            if self.has_ended(now) {
                self.driver.close();
                self.log_tally();
                return Ok(());
            }
            let until = self.poll_timeout(now);
            let events = self.transport.wait(until)?;
            now = self.transport.now();
            if events.iter().any(|e| e.id.owner() == OPERATOR) {
                operator.orders().into_iter().for_each(|order| self.carry_out(now, order));
            }
            self.turn(now, &events);
        }
    }

    fn carry_out(&mut self, now: Time, order: Order) {
        match order {
            // Told again, it keeps to the time that it has.
            Order::Stop if self.stopping.is_some() => {}
            Order::Stop => {
                log::info!(event = "stopping"; "stopping: finishing what was taken");
                self.stopping = Some(now);
                self.clients.begin_closing(now + self.longest_call + ANSWERED);
            }
            Order::Reload(live) => {
                let limits = live.limits();
                self.transport.set_most(limits.connections);
                self.clients.set_limits(limits);
                self.kept_free = kept_free(limits.connections);
                self.servers.set_times(live.connect_limit, live.keepalive);
                self.exchanges.set_load_header(live.load_header);
                if let Some(settings) = live.settings {
                    self.move_to(now, *settings);
                }
                if let Some(heard) =
                    self.watch.move_to(&mut self.transport, now, live.discovery, live.connect_limit)
                {
                    self.hear(now, &[heard]);
                }
            }
        }
    }

    /// Goes on under other settings, with what was learnt.
    fn move_to(&mut self, now: Time, settings: Decoded) {
        let Decoded { decisions, names, client_timeouts, .. } = settings;
        log::info!(event = "moved"; "settings taken up; calls that are open keep their terms");
        // Those of former products, whose calls may be open still, are among them.
        self.longest_call = client_timeouts.iter().copied().max().unwrap_or_default();
        self.clients.set_offer(names.clone(), client_timeouts, decisions.max_retry_after);
        self.driver.move_to(now, decisions, names);
    }

    fn turn(&mut self, now: Time, events: &[Event]) {
        // Whoever has gone is heard of first: a shot that only waits for its connection would else be written to one that
        // came up in the same turn.
        let leaves = |e: &&Event| e.id.owner() == CLIENTS && (e.last || e.over);
        let (leaving, others): (Vec<&Event>, Vec<&Event>) = events.iter().partition(leaves);
        for event in leaving.into_iter().chain(others) {
            match event.id.owner() {
                CLIENTS => self.clients.event(&mut self.transport, &mut self.exchanges, now, *event),
                SERVERS => self.servers.event(&mut self.transport, &mut self.exchanges, now, *event),
                LISTENER => {
                    self.accept(now);
                }
                DISCOVERY => {
                    let heard = self.watch.event(&mut self.transport, now, *event);
                    self.hear(now, &heard);
                }
                _ => {}
            }
        }
        while let Some(id) = self.transport.timers.due(now) {
            self.timer(now, id);
        }
        if self.full_until.is_some_and(|at| at <= now) {
            self.accept(now);
        }
        if self.tally_at <= now {
            self.tally_at = now + TALLY;
            self.log_tally();
        }
        self.keep_room(now);
        let since = self.stopping.map_or(Span::ZERO, |at| now - at);
        if self.listener.is_some() && since >= COMING {
            // Whoever has come is still taken in, though more have come than one turn takes: a node that stood still for a
            // moment just then would reset the rest.
            while self.accept(now) {}
            self.listener = None;
        }
        if !self.idle_closed && since >= COMING + LAST_BYTES {
            self.idle_closed = true;
            self.clients.close_idle(&mut self.transport, &mut self.exchanges, now);
        }
    }

    fn timer(&mut self, now: Time, id: ConnId) {
        match id.owner() {
            CLIENTS => self.clients.timer(&mut self.transport, &mut self.exchanges, now, id),
            SERVERS => self.servers.timer(&mut self.transport, &mut self.exchanges, now, id),
            DISCOVERY => {
                let heard = self.watch.timer(&mut self.transport, id);
                self.hear(now, heard.as_slice());
            }
            _ => {}
        }
    }

    fn hear(&mut self, now: Time, heard: &[Heard]) {
        let (driver, mut sides) = self.parts();
        heard.iter().for_each(|h| driver.on_message(&mut sides, now, h));
    }

    /// Takes in those who have come, as far as there is room; whether more may have come than it takes at once.
    fn accept(&mut self, now: Time) -> bool {
        let Some(listener) = &mut self.listener else {
            self.full_until = None;
            return false;
        };
        let mut more = true;
        for _ in 0..ACCEPTED_A_TURN {
            if self.clients.is_crowded()
                && let Some(id) = self.clients.first_to_go(&self.transport, now)
            {
                self.clients.evict(&mut self.transport, &mut self.exchanges, now, id);
            }
            let no_room = self.clients.is_full() || self.transport.room() <= self.kept_free;
            if no_room || self.transport.has_run_out() {
                // Epoll would tell of them without end: they wait at the door until there is room.
                listener.pause(&self.transport, true);
                if self.full_until.is_none() {
                    log::warn!(event = "no_room"; "no room for new clients");
                }
                self.full_until = Some(now + FULL);
                return false;
            }
            let came = self.clients.accept(&mut self.transport, listener, now);
            if !came && !self.transport.has_run_out() {
                more = false;
                break;
            }
        }
        listener.pause(&self.transport, false);
        self.full_until = None;
        more
    }

    fn log_tally(&mut self) {
        let tally = self.exchanges.take_tally();
        if !tally.is_empty() {
            tally.log();
        }
    }

    /// Closes what is idle for longest while descriptors are short, and clients that are idle for long and many.
    fn keep_room(&mut self, now: Time) {
        while let Some(id) = self.clients.idle_too_long(&self.transport, now) {
            self.clients.evict(&mut self.transport, &mut self.exchanges, now, id);
        }
        let ran_out = self.transport.take_ran_out();
        if ran_out {
            log::warn!(event = "no_descriptors"; "descriptors ran out");
        }
        let mut to_close = if ran_out { self.kept_free } else { 0 };
        while self.transport.room() <= self.kept_free || to_close > 0 {
            to_close = to_close.saturating_sub(1);
            let Some(id) = self.transport.idle_longest(now, None) else { return };
            match id.owner() {
                CLIENTS => self.clients.evict(&mut self.transport, &mut self.exchanges, now, id),
                _ => self.servers.evict(&mut self.transport, id),
            }
        }
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        let step = match (&self.listener, self.idle_closed) {
            (Some(_), _) => COMING,
            (None, false) => COMING + LAST_BYTES,
            (None, true) => self.longest_call + STAYS,
        };
        let stopping = self.stopping.map(|at| at + step);
        let wakes = [
            self.driver.poll_timeout(now),
            self.transport.timers.first().map(|t| t.0),
            stopping,
            self.full_until,
            Some(self.tally_at),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Whether a stopping node has nothing left to do, or no time.
    fn has_ended(&self, now: Time) -> bool {
        let Some(at) = self.stopping else { return false };
        let late = now - at >= self.longest_call + STAYS;
        if late {
            let waiting = self.exchanges.waiting();
            log::warn!(event = "stopped_short", waiting = waiting; "stopping with {waiting} calls unanswered");
        }
        late || self.idle_closed && self.clients.are_done()
    }
}
