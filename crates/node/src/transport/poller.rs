//! The epoll instance, and what all connections share: their timers and the budget of descriptors.

use std::collections::BTreeMap;
use std::io;

use granitelb_balancer::time::{Span, Time};
use rustix::event::{Timespec, epoll};
use rustix::fd::{AsFd, OwnedFd};

use super::Clock;
use super::time_order::TimeOrder;

/// Which part of the program a descriptor belongs to; the layer above numbers its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner(pub u8);

/// A registered descriptor. Numbers are never used again, so that an event for one that was closed in the same
/// turn finds nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(u64);

impl ConnId {
    pub fn owner(self) -> Owner {
        Owner(self.0 as u8)
    }
}

/// What epoll says of a descriptor.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    pub id: ConnId,
    pub readable: bool,
    /// It is over, in both directions.
    pub over: bool,
    /// The other side sends nothing more.
    pub last: bool,
}

/// Events taken in one turn: enough to empty most queues, few enough that timers are not kept waiting.
const EVENTS: usize = 256;

/// A connection that was opened or used this short a time ago is not closed for being idle.
const FRESH: Span = Span::from_millis(100);

pub struct Transport {
    epoll: OwnedFd,
    clock: Clock,
    pub timers: TimeOrder,
    next: u64,
    /// Connections that are open, and how many may be.
    open: usize,
    most: usize,
    /// Whether the system had no descriptor to give, below that number too.
    ran_out: bool,
    /// Each owner's connections that could be closed without loss, by when they became so.
    idle: BTreeMap<u8, TimeOrder>,
    events: Vec<epoll::Event>,
}

impl Transport {
    pub fn new(most: usize) -> io::Result<Transport> {
        Ok(Transport {
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            clock: Clock::start(),
            timers: TimeOrder::default(),
            next: 0,
            open: 0,
            most,
            ran_out: false,
            idle: BTreeMap::new(),
            events: Vec::with_capacity(EVENTS),
        })
    }

    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The same clock, for others.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Waits for events until this point in time at the latest.
    pub fn wait(&mut self, until: Option<Time>) -> io::Result<Vec<Event>> {
        let timeout = until.map(|at| {
            let left = (at - self.now()).0;
            // Rounded up, lest the last part of a millisecond be spent in turns without an event.
            Timespec { tv_sec: (left / 1_000_000) as i64, tv_nsec: (left % 1_000_000 * 1000) as _ }
        });
        self.events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.events), timeout.as_ref()) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(trouble) => return Err(trouble.into()),
        }
        let events = self.events.iter().map(|event| {
            let flags = event.flags;
            let over = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
            Event {
                id: ConnId(event.data.u64()),
                over,
                last: flags.contains(epoll::EventFlags::RDHUP),
                readable: over || flags.intersects(epoll::EventFlags::IN | epoll::EventFlags::RDHUP),
            }
        });
        Ok(events.collect())
    }

    /// Has epoll tell whenever something of the caller's own can be read from.
    pub fn tell(&mut self, fd: impl AsFd, owner: Owner) -> io::Result<ConnId> {
        self.register(fd, owner, epoll::EventFlags::IN)
    }

    /// Sets how many connections may be open; those beyond go when they are idle.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    /// Registers a descriptor; closing it ends that.
    pub(super) fn register(
        &mut self,
        fd: impl AsFd,
        owner: Owner,
        flags: epoll::EventFlags,
    ) -> io::Result<ConnId> {
        self.next += 1;
        let id = ConnId(self.next << 8 | u64::from(owner.0));
        epoll::add(&self.epoll, fd, epoll::EventData::new_u64(id.0), flags)?;
        Ok(id)
    }

    pub(super) fn modify(&self, fd: impl AsFd, id: ConnId, flags: epoll::EventFlags) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, fd, epoll::EventData::new_u64(id.0), flags)?)
    }

    /// How many more connections there may be.
    pub fn room(&self) -> usize {
        self.most.saturating_sub(self.open)
    }

    pub(super) fn run_out(&mut self) {
        self.ran_out = true;
    }

    /// Whether descriptors ran out and nothing was done about it yet.
    pub fn has_run_out(&self) -> bool {
        self.ran_out
    }

    /// Whether descriptors ran out since this was last asked.
    pub fn take_ran_out(&mut self) -> bool {
        std::mem::take(&mut self.ran_out)
    }

    pub(super) fn opened(&mut self) {
        self.open += 1;
    }

    pub(super) fn closed(&mut self, id: ConnId) {
        self.open -= 1;
        self.timers.clear(id);
        self.busy(id);
    }

    /// Notes that a connection could now be closed without loss.
    pub fn idle(&mut self, id: ConnId, now: Time) {
        self.idle.entry(id.owner().0).or_default().set(id, now);
    }

    pub fn busy(&mut self, id: ConnId) {
        if let Some(idle) = self.idle.get_mut(&id.owner().0) {
            idle.clear(id);
        }
    }

    /// The connection of an owner's that has been idle for longest, and since when.
    pub fn idle_first(&self, owner: Owner) -> Option<(Time, ConnId)> {
        self.idle.get(&owner.0)?.first()
    }

    /// The connection that has been idle for longest, of one owner's or of all; none that became so only now,
    /// since what it is for may be on its way.
    pub fn idle_longest(&self, now: Time, owner: Option<Owner>) -> Option<ConnId> {
        let owners = self.idle.iter().filter(|(of, _)| owner.is_none_or(|o| o.0 == **of));
        let (since, id) = owners.filter_map(|(_, idle)| idle.first()).min()?;
        (now - since >= FRESH).then_some(id)
    }
}
