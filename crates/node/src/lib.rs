//! granitelb's real node. The layers, each using only those below it: `program`, `routing`, `protocol`,
//! `transport`.

pub mod cli;
pub mod http;
pub mod proxy;
pub mod transport;
