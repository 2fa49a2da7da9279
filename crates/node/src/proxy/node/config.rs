//! What a node is made from, and the commands that it gets while it serves.

use std::net::SocketAddr;

use granitelb_balancer::time::Span;
use granitelb_control_plane::agent::Agent;
use granitelb_settings::DecodedSettings;
use rustix::fd::AsFd;

use crate::http::EndpointListUpdate;
use crate::proxy::downstream::ResourceLimits;

/// Descriptors that are no connections: standard streams, epoll, the listener, the two of the signals, the
/// sockets of the control-plane agent where there is one, and a few that are open for a moment, as for a
/// configuration that is reloaded.
const NON_CONNECTION_DESCRIPTORS: usize = 12;
/// Connections that a node has at least, however few descriptors are configured.
const MIN_CONNECTIONS: usize = 8;

/// What a node is made from.
pub struct NodeConfig {
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The seed of the balancer's random choices.
    pub seed: u64,
    /// The endpoint list that is used until discovery answers.
    pub known: Option<EndpointListUpdate>,
    /// The decoded settings.
    pub settings: DecodedSettings,
    /// What can be changed while the node serves.
    pub reloadable: ReloadableConfig,
    /// The control-plane agent of a node that is part of a fleet with a control plane.
    pub control_plane_agent: Option<Agent>,
}

/// What can be changed while a node serves.
pub struct ReloadableConfig {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The number of descriptors that the node may use.
    pub descriptors: usize,
    /// The memory that the node may use, in bytes.
    pub memory: usize,
    /// The time within which a connection has to be established.
    pub connect_timeout: Span,
    /// The time after which endpoints close idle connections.
    pub keepalive: Span,
    /// The response header that carries load reports, if there is one.
    pub load_header: Option<Box<str>>,
    /// Changed settings, for a node that serves.
    pub settings: Option<Box<DecodedSettings>>,
}

impl ReloadableConfig {
    /// What connections may use.
    pub(super) fn connection_limits(&self) -> ResourceLimits {
        let connections = self.descriptors.saturating_sub(NON_CONNECTION_DESCRIPTORS).max(MIN_CONNECTIONS);
        ResourceLimits { connections, memory: self.memory }
    }
}

/// A command to a serving node.
pub enum NodeCommand {
    /// Finish the requests that were accepted, and end.
    Shutdown,
    /// Use this configuration from now on.
    Reload(ReloadableConfig),
}

/// Where commands come from. Its descriptor is readable when there are some.
pub trait CommandSource: AsFd {
    /// Returns the commands that have arrived.
    fn poll_commands(&mut self) -> Vec<NodeCommand>;
}
