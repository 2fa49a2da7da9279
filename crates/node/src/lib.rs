//! granitelb's node: the sidecar that runs the balancer on sockets.
//!
//! The layers, each of which uses only those below it: [`cli`], [`proxy`], [`http`], [`transport`].

pub mod cli;
#[warn(missing_docs)]
pub mod http;
#[warn(missing_docs)]
pub mod proxy;
#[warn(missing_docs)]
pub mod transport;
