//! The final response to a request.

use granitelb_balancer::LocalReply;

use crate::http::Message;

/// The one final response to a request.
pub enum FinalResponse {
    /// A response that an endpoint sent.
    Upstream(Message),
    /// A response that the node itself sends, as the balancer has decided.
    Local(LocalReply),
    /// The client has disconnected, and no response is sent.
    ClientDisconnected,
}
