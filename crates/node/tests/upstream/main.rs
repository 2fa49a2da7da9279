//! The upstream side alone, over real loopback connections: which events the node has seen when an attempt is
//! sent, gets its response or is cancelled.

mod connecting;
mod duplicates;
mod fixture;
mod responses;
