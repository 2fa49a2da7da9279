//! Loopback addresses of a world. Each run has addresses of its own, from 127.64.0.0 to 127.191.255.255:
//! several runs go side by side, also in several processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::event_log::Member;

/// The network in which all addresses lie.
const NETWORK: Ipv4Addr = Ipv4Addr::new(127, 64, 0, 0);
/// Processes whose runs have different IP addresses.
const PROCESSES: u32 = 32;
/// Runs of a process that have different IP addresses.
const RUNS: u8 = 16;
/// Members of a world that have different IP addresses.
const MEMBERS: u32 = 64;
/// Processes with the same IP addresses whose nodes have different ports.
const PORT_GROUPS: u32 = 64;
/// Lowest port of nodes. All their ports lie under those that the system assigns.
const FIRST_NODE_PORT: u16 = 16_384;
/// Ports for the nodes of one process: one for each run.
const PORTS_PER_PROCESS: u16 = 256;

/// Last byte of the origin's address for a node. The slots' addresses have lower ones.
const ORIGIN_HOST: usize = 200;
/// Last byte of discovery's address for a node.
const DISCOVERY_HOST: usize = 201;
/// Last byte of a node's own address.
const NODE_HOST: usize = 202;
/// Last byte of the address at which the message relay stands for the first planner.
const RELAYED_PLANNER_HOST: usize = 210;
/// Number of the first planner among the members: planners come after all nodes.
const FIRST_PLANNER: usize = 48;

/// The addresses of one run.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    run: u8,
}

impl Addresses {
    /// The addresses of the process's run with this number.
    pub fn new(run: u8) -> Addresses {
        Addresses { run }
    }

    /// Where a node reaches the cache server in a slot.
    pub fn slot(self, node: usize, slot: usize) -> IpAddr {
        self.ip(node, slot + 1)
    }

    /// Where a node reaches the origin.
    pub fn origin(self, node: usize) -> IpAddr {
        self.ip(node, ORIGIN_HOST)
    }

    /// Where a node reaches discovery.
    pub fn discovery(self, node: usize) -> IpAddr {
        self.ip(node, DISCOVERY_HOST)
    }

    /// Where a node listens.
    pub fn node(self, node: usize) -> SocketAddr {
        self.program(node)
    }

    /// Where a planner listens.
    pub fn planner(self, planner: usize) -> SocketAddr {
        self.program(FIRST_PLANNER + planner)
    }

    /// Where the message relay stands for a member toward another one, the `receiver`.
    pub fn relay(self, receiver: Member, represented: Member) -> IpAddr {
        let member = match receiver {
            Member::Node(node) => node,
            Member::Planner(planner) => FIRST_PLANNER + planner,
        };
        let host = match represented {
            Member::Node(node) => node + 1,
            Member::Planner(planner) => RELAYED_PLANNER_HOST + planner,
        };
        self.ip(member, host)
    }

    /// Where a member's process listens. The port is chosen without a socket: while a socket held it, even
    /// for a moment, a child that another thread forks would keep it open until its exec, and the process
    /// would find its address in use.
    fn program(self, member: usize) -> SocketAddr {
        let port_group = (std::process::id() / PROCESSES % PORT_GROUPS) as u16;
        let port = FIRST_NODE_PORT + port_group * PORTS_PER_PROCESS + u16::from(self.run);
        SocketAddr::new(self.ip(member, NODE_HOST), port)
    }

    /// Bits of the address below the network's: 5 for the process, 4 for the run, 6 for the member, 8 for the
    /// host.
    fn ip(self, member: usize, host: usize) -> IpAddr {
        let process = (std::process::id() % PROCESSES) << 18;
        let run = u32::from(self.run % RUNS) << 14;
        let member = (member as u32 % MEMBERS) << 8;
        let host = host as u32 % 256;
        IpAddr::V4(Ipv4Addr::from(u32::from(NETWORK) + (process | run | member | host)))
    }
}

#[cfg(test)]
mod tests;
