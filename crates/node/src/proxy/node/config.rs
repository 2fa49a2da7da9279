//! The configuration of a node, and the commands that a node receives while it serves.

use std::net::SocketAddr;

use granitelb_balancer::time::Span;
use granitelb_control_plane::agent::Agent;
use granitelb_settings::DecodedSettings;
use rustix::fd::AsFd;

use crate::http::EndpointListUpdate;
use crate::proxy::downstream::ResourceLimits;

/// The number of descriptors that are not connections: standard streams, epoll, the listener, the two for
/// signals, the sockets of the control-plane agent if there is one, and a few that are open for a moment, as
/// while the configuration is reloaded.
const NON_CONNECTION_DESCRIPTORS: usize = 12;
/// The number of connections that a node may have at least, however few descriptors are configured.
const MIN_CONNECTIONS: usize = 8;

/// The configuration of a node.
pub struct NodeConfig {
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The seed of the balancer's random choices.
    pub seed: u64,
    /// The endpoint list that is used until discovery answers.
    pub known_endpoints: Option<EndpointListUpdate>,
    /// The decoded settings.
    pub settings: DecodedSettings,
    /// The part of the configuration that can be changed while the node serves.
    pub reloadable: ReloadableConfig,
    /// The control-plane agent of a node that is part of a fleet with a control plane.
    pub control_plane_agent: Option<Agent>,
}

/// The part of a node's configuration that can be changed while the node serves.
pub struct ReloadableConfig {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The maximum number of descriptors that the node uses.
    pub descriptors: usize,
    /// The memory that connections may use, in bytes.
    pub memory: usize,
    /// The time within which a connection has to be established.
    pub connect_timeout: Span,
    /// The time after which endpoints close idle connections.
    pub keepalive: Span,
    /// The response header that carries load reports, if there is one.
    pub load_report_header: Option<Box<str>>,
    /// Changed settings for a node that already serves; `None` if the settings stay as they are.
    pub settings: Option<Box<DecodedSettings>>,
}

impl ReloadableConfig {
    /// The resources that connections may use.
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

/// A source of commands for a node. Its descriptor is readable when commands are available.
pub trait CommandSource: AsFd {
    /// Returns the commands that have arrived.
    fn poll_commands(&mut self) -> Vec<NodeCommand>;
}
