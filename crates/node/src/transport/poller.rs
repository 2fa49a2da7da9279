//! The epoll instance and the state that all connections share: timers, idle connections, and the budget of
//! file descriptors.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

use granitelb_balancer::time::{Span, Time};
use rustix::event::{Timespec, epoll};
use rustix::fd::{AsFd, OwnedFd};

use super::Clock;
use super::time_queue::TimeQueue;

/// Largest number of events per turn of the event loop: enough to empty most queues, few enough to keep
/// timers on time.
const MAX_EVENTS_PER_TURN: usize = 1024;

/// Shortest idle time after which a connection may be closed to free its descriptor.
const MIN_IDLE_TIME: Span = Span::from_millis(100);

/// Number of low bits of a connection identifier that contain the owner.
const OWNER_BITS: u32 = 8;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1000;

/// The part of the program that a file descriptor belongs to. The layer above assigns the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner(pub u8);

/// The identifier of a registered file descriptor. Identifiers are never reused, so that an event of a
/// descriptor that was closed in the same turn cannot match another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

impl ConnectionId {
    /// The part of the program that the file descriptor belongs to.
    pub fn owner(self) -> Owner {
        Owner(self.0 as u8)
    }
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0 >> OWNER_BITS)
    }
}

/// An event that epoll reports for a file descriptor.
#[derive(Clone, Copy, Debug)]
pub struct ReadinessEvent {
    /// The identifier of the file descriptor.
    pub id: ConnectionId,
    /// Whether a read returns at once, with data, the end of the data or an error.
    pub readable: bool,
    /// Whether the connection has ended in both directions.
    pub closed: bool,
    /// Whether the peer has closed its sending direction.
    pub read_closed: bool,
}

impl ReadinessEvent {
    fn from_epoll(event: &epoll::Event) -> ReadinessEvent {
        let flags = event.flags;
        let closed = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
        ReadinessEvent {
            id: ConnectionId(event.data.u64()),
            closed,
            read_closed: flags.contains(epoll::EventFlags::RDHUP),
            readable: closed || flags.intersects(epoll::EventFlags::IN | epoll::EventFlags::RDHUP),
        }
    }
}

/// The epoll instance, with the state that all connections share.
pub struct Transport {
    epoll: OwnedFd,
    clock: Clock,
    /// The timers of connections, at most one per connection.
    pub timers: TimeQueue,
    last_id: u64,
    open_connections: usize,
    max_connections: usize,
    /// Whether the system has refused a file descriptor, even though fewer than `max_connections` are open.
    descriptors_exhausted: bool,
    /// By owner, the connections that can be closed without loss, ordered by the time at which they became
    /// idle.
    idle: BTreeMap<u8, TimeQueue>,
    events: Vec<epoll::Event>,
}

impl Transport {
    /// Creates the epoll instance. At most `max_connections` connections may be open at a time.
    ///
    /// # Errors
    ///
    /// Returns an error if the system has no file descriptor for epoll.
    pub fn new(max_connections: usize) -> io::Result<Transport> {
        Ok(Transport {
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            clock: Clock::start(),
            timers: TimeQueue::default(),
            last_id: 0,
            open_connections: 0,
            max_connections,
            descriptors_exhausted: false,
            idle: BTreeMap::new(),
            events: Vec::with_capacity(MAX_EVENTS_PER_TURN),
        })
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The node's clock, for use by other threads.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Waits for events until `deadline`, or without a limit if there is no deadline, and returns the events.
    ///
    /// # Errors
    ///
    /// Returns an error if epoll fails. An interruption by a signal is not an error.
    pub fn wait(&mut self, deadline: Option<Time>) -> io::Result<Vec<ReadinessEvent>> {
        let timeout = deadline.map(|at| timespec(at - self.now()));
        self.events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.events), timeout.as_ref()) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        Ok(self.events.iter().map(ReadinessEvent::from_epoll).collect())
    }

    /// Registers a file descriptor of the caller, so that epoll reports when it becomes readable.
    ///
    /// # Errors
    ///
    /// Returns an error if epoll does not accept the file descriptor.
    pub fn register_readable(&mut self, fd: impl AsFd, owner: Owner) -> io::Result<ConnectionId> {
        self.register(fd, owner, epoll::EventFlags::IN)
    }

    /// Sets the limit on open connections. Connections above a lowered limit are closed once they are idle.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Registers a file descriptor with epoll. Closing the descriptor ends the registration.
    pub(super) fn register(
        &mut self,
        fd: impl AsFd,
        owner: Owner,
        flags: epoll::EventFlags,
    ) -> io::Result<ConnectionId> {
        self.last_id += 1;
        let id = ConnectionId(self.last_id << OWNER_BITS | u64::from(owner.0));
        epoll::add(&self.epoll, fd, epoll::EventData::new_u64(id.0), flags)?;
        Ok(id)
    }

    pub(super) fn modify(&self, fd: impl AsFd, id: ConnectionId, flags: epoll::EventFlags) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, fd, epoll::EventData::new_u64(id.0), flags)?)
    }

    /// The number of further connections that may be opened.
    pub fn available_connections(&self) -> usize {
        self.max_connections.saturating_sub(self.open_connections)
    }

    pub(super) fn record_descriptor_exhaustion(&mut self) {
        self.descriptors_exhausted = true;
    }

    /// Whether the system has refused a file descriptor since the last call of
    /// [`Transport::take_descriptors_exhausted`].
    pub fn descriptors_exhausted(&self) -> bool {
        self.descriptors_exhausted
    }

    /// Returns whether the system has refused a file descriptor since the last call, and resets the flag.
    pub fn take_descriptors_exhausted(&mut self) -> bool {
        std::mem::take(&mut self.descriptors_exhausted)
    }

    pub(super) fn connection_opened(&mut self) {
        self.open_connections += 1;
    }

    pub(super) fn connection_closed(&mut self, id: ConnectionId) {
        self.open_connections -= 1;
        self.timers.remove(id);
        self.mark_busy(id);
    }

    /// Records that a connection is idle from `now` on, so that it can be closed without loss.
    pub fn mark_idle(&mut self, id: ConnectionId, now: Time) {
        self.idle.entry(id.owner().0).or_default().set(id, now);
    }

    /// Records that a connection is in use.
    pub fn mark_busy(&mut self, id: ConnectionId) {
        if let Some(idle) = self.idle.get_mut(&id.owner().0) {
            idle.remove(id);
        }
    }

    /// The connection of an owner that has been idle for the longest time, with the time at which it became
    /// idle.
    pub fn first_idle(&self, owner: Owner) -> Option<(Time, ConnectionId)> {
        self.idle.get(&owner.0)?.first()
    }

    /// The connection that has been idle for the longest time, of one owner or of all owners.
    ///
    /// Returns `None` if that connection became idle less than `MIN_IDLE_TIME` ago, since data for which it
    /// is kept open may be on its way.
    pub fn longest_idle(&self, now: Time, owner: Option<Owner>) -> Option<ConnectionId> {
        let queues = self.idle.iter().filter(|(of, _)| owner.is_none_or(|o| o.0 == **of));
        let (since, id) = queues.filter_map(|(_, queue)| queue.first()).min()?;
        (now - since >= MIN_IDLE_TIME).then_some(id)
    }
}

/// Converts a span to the timeout of epoll without rounding: a timeout that was rounded down would end in
/// turns of the event loop without an event.
fn timespec(span: Span) -> Timespec {
    let micros = span.0;
    Timespec {
        tv_sec: (micros / MICROS_PER_SECOND) as i64,
        tv_nsec: (micros % MICROS_PER_SECOND * NANOS_PER_MICRO) as _,
    }
}
