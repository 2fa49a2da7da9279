//! granitelb's real node. The layers, each using only those below it: `program`, `routing`, `protocol`,
//! `transport`.

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
