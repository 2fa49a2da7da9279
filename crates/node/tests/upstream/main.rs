//! Tests of the upstream side alone, over real loopback connections. Each test controls which events the node
//! has handled when an attempt is sent, gets its response or is cancelled.

mod connecting;
mod duplicates;
mod fixture;
mod responses;
