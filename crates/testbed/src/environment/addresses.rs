//! Loopback addresses of a test environment. Each run has its own addresses, from 127.64.0.0 to
//! 127.191.255.255, so that several runs can go on at once, also in several processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::event_log::Member;

/// The network in which all addresses lie.
const NETWORK: Ipv4Addr = Ipv4Addr::new(127, 64, 0, 0);
/// Number of testbed processes whose runs have different IP addresses.
const PROCESSES: u32 = 32;
/// Number of runs of one process that have different IP addresses.
const RUNS: u8 = 16;
/// Number of members of one run that have different IP addresses.
const MEMBERS: u32 = 64;
/// Number of testbed processes with the same IP addresses whose nodes have different ports.
const PORT_GROUPS: u32 = 64;
/// Lowest port of nodes. All ports of nodes lie below the ephemeral ports that the system assigns.
const FIRST_NODE_PORT: u16 = 16_384;
/// Number of ports for the nodes of one testbed process: one for each run.
const PORTS_PER_PROCESS: u16 = 256;

/// Last byte of the origin's address for a node. The last bytes of the slots' addresses are lower.
const ORIGIN_HOST: usize = 200;
/// Last byte of discovery's address for a node.
const DISCOVERY_HOST: usize = 201;
/// Last byte of a node's own address.
const NODE_HOST: usize = 202;
/// Last byte of the address at which the message relay stands for the first planner.
const RELAYED_PLANNER_HOST: usize = 210;
/// Number of the first planner among the members. Nodes have the lower numbers.
const FIRST_PLANNER: usize = 48;

/// The addresses of one run.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    run: u8,
}

impl Addresses {
    /// The addresses for the run with this number in the testbed's process.
    pub fn new(run: u8) -> Addresses {
        Addresses { run }
    }

    /// IP address at which a node reaches the cache server in a slot.
    pub fn slot(self, node: usize, slot: usize) -> IpAddr {
        self.ip(node, slot + 1)
    }

    /// IP address at which a node reaches the origin.
    pub fn origin(self, node: usize) -> IpAddr {
        self.ip(node, ORIGIN_HOST)
    }

    /// IP address at which a node reaches discovery.
    pub fn discovery(self, node: usize) -> IpAddr {
        self.ip(node, DISCOVERY_HOST)
    }

    /// Address and port at which a node listens.
    pub fn node(self, node: usize) -> SocketAddr {
        self.program(node)
    }

    /// Address and port at which a planner listens.
    pub fn planner(self, planner: usize) -> SocketAddr {
        self.program(FIRST_PLANNER + planner)
    }

    /// IP address of the message relay that stands for the member `represented` toward the member `receiver`.
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

    /// Address and port at which a member's process listens. The port is computed and not probed with a
    /// socket: a child process that another thread forks meanwhile would inherit that socket and hold it open
    /// until its exec, and the member's process would find its address in use.
    fn program(self, member: usize) -> SocketAddr {
        let port_group = (std::process::id() / PROCESSES % PORT_GROUPS) as u16;
        let port = FIRST_NODE_PORT + port_group * PORTS_PER_PROCESS + u16::from(self.run);
        SocketAddr::new(self.ip(member, NODE_HOST), port)
    }

    /// IP address of a host in a member's range. The bits below those of the network are, from the highest: 5
    /// for the process, 4 for the run, 6 for the member, 8 for the host.
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
