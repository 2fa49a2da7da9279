//! The lowest layer: non-blocking sockets, epoll, timers, and connections with one buffer per direction.
//!
//! This layer handles bytes, addresses and times, and does not interpret the bytes. [`Transport`] owns the
//! epoll instance, the timers and the budget of file descriptors. Each [`Connection`] and [`Listener`] is
//! registered with the transport. All of the layer runs on one thread.

mod clock;
mod close_reason;
mod connection;
mod listener;
mod poller;
mod ring_buffer;
mod socket;
mod time_queue;

pub use clock::Clock;
pub use close_reason::CloseReason;
pub use connection::Connection;
pub use listener::Listener;
pub use poller::{ConnectionId, Owner, ReadinessEvent, Transport};
pub use ring_buffer::RingBuffer;
pub use time_queue::TimeQueue;
