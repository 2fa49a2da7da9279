//! granitelb's node: the sidecar that runs the balancer on sockets.
//!
//! The layers, each of which uses only those below it: [`cli`], [`proxy`], [`http`], [`transport`].

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod cli;
pub mod http;
pub mod proxy;
pub mod transport;
