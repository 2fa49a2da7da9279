//! The control-plane agent of a node: a thread beside the event loop that owns the sockets to the planners
//! and the forwarder's side of each coordination component.
//!
//! The event loop reports its observations to the agent, and applies the updates that the agent publishes;
//! see [`AgentHandle`].
//!
//! The agent is a plain thread without a runtime, since it waits for messages only. It runs a round every 25
//! ms, or when a planner's message arrives, and reads a bounded number of datagrams in a round. A flood of
//! invalid datagrams therefore costs a few hundredths of a core; the kernel drops the excess of the flood,
//! but no datagrams of planners.
//!
//! # Invariants
//!
//! - **Requests never depend on the agent.** The event loop does not wait for the agent, and each update that
//!   the agent publishes expires: a lease has an expiry by this process's clock, and endpoint health is
//!   ignored after a second. If the agent is slow, stopped or dead, the balancer continues as it does without
//!   a control plane.
//! - **An incarnation never uses leases that were granted to another incarnation.** An agent that panics, or
//!   that the planners declared failed, is restarted with a new incarnation, and the restart is logged.
//!   Leases that the balancer got from the former incarnation keep their expiry.

mod components;
mod handle;
mod metrics;
mod observations;
mod reload;
mod sockets;
#[cfg(test)]
mod tests;
mod worker;

use std::io;
use std::net::Ipv4Addr;
use std::thread;

use granitelb_balancer::time::Time;
use granitelb_coordination::ForwarderId;
use xxhash_rust::xxh3::xxh3_64;

pub use self::handle::AgentHandle;
pub use self::observations::{RawObservation, SentAttempt};
pub use self::reload::ConfigReloadHandle;
use self::worker::Worker;
use crate::fleet_config::FleetConfig;

/// The name of the agent's thread, as tools such as `top -H` show it.
const THREAD_NAME: &str = "agent";

/// The hash of the name that a client gave its request. All nodes get the same hash for the same name.
pub fn hash_request_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// An agent that is configured but not started.
pub struct Agent {
    forwarder: ForwarderId,
    address: Ipv4Addr,
    config: FleetConfig,
    reload: ConfigReloadHandle,
}

impl Agent {
    /// Configures an agent for the forwarder of this name. The agent sends and receives at the local
    /// `address`.
    pub fn new(config: FleetConfig, name: &str, address: Ipv4Addr) -> Agent {
        Agent {
            forwarder: ForwarderId::of_name(name),
            address,
            config,
            reload: ConfigReloadHandle::default(),
        }
    }

    /// A handle that passes new fleet configurations to the agent while it runs.
    pub fn reload_handle(&self) -> ConfigReloadHandle {
        self.reload.clone()
    }

    /// Starts the agent's thread. `clock` has to be the event loop's own clock. The thread ends when the
    /// returned handle is closed or dropped.
    ///
    /// # Errors
    /// Returns the system's error if the thread cannot be started.
    pub fn start(self, clock: impl Fn() -> Time + Send + 'static) -> io::Result<AgentHandle> {
        let (handle, channel) = handle::channel();
        let worker =
            Worker::new(self.forwarder, self.address, self.config, self.reload, Box::new(clock), channel);
        thread::Builder::new().name(THREAD_NAME.into()).spawn(move || worker.supervise())?;
        Ok(handle)
    }
}
