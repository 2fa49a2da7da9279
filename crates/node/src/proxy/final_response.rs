//! The final response to a request.

use granitelb_balancer::LocalReply;

use crate::http::Message;

/// The one final response to a request.
pub enum FinalResponse {
    /// The response of an endpoint.
    Upstream(Message),
    /// A response that the node gives itself, as the balancer decides.
    Local(LocalReply),
    /// The client has disconnected; no response is due.
    ClientDisconnected,
}
