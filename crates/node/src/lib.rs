//! The granitelb node: the sidecar program that runs the balancer on network sockets.
//!
//! The layers from top to bottom are [`cli`], [`proxy`], [`http`] and [`transport`]. Each layer uses only the
//! layers below it.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod cli;
pub mod http;
pub mod proxy;
pub mod transport;
