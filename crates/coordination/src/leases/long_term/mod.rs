//! Long-term allocations: a part of the origin's capacity that is granted by each forwarder's long-term
//! demand, for longer than planners are usually unavailable. Each planner has a part of this capacity, its
//! *long-term escrow*, separate from the escrow of which it grants leases and loans. Each forwarder requests
//! its share from every planner.
//!
//! # Invariant
//!
//! At every moment, the sum of what forwarders hold of a planner's long-term escrow by their own clocks is at
//! most that escrow.
//!
//! # Why the invariant holds
//!
//! The arguments in the documentation of [`leases`](super) about expiry, about using the grant that was
//! requested last, and about balanced ledgers apply here too. Two points differ:
//!
//! - **A planner that starts grants held amounts again before they have expired.** For the grantor duration
//!   of a long-term allocation it increases no share. But a forwarder that reports, in a request addressed to
//!   this incarnation of the planner, what it holds of an earlier one is granted the same amount again. When
//!   this incarnation starts, let m be the most that each forwarder may come to hold of the grants of earlier
//!   incarnations: the sum of all m is within the escrow, because it was so at the end of the previous
//!   incarnation. A request that names this incarnation was written after this incarnation started, so the
//!   amount that it reports is within its forwarder's m; and the forwarder uses the new grant in place of the
//!   old one, never both. So no m becomes greater during the wait, and after the wait all valid grants were
//!   made by this incarnation and are in its ledger. If requests did not name the incarnation, a request from
//!   before the start could reach a later incarnation, when other forwarders had been granted amounts that
//!   had expired in between.
//! - **A later incarnation of a forwarder revokes the grants to earlier ones** by its first request. This
//!   assumes that only one process at a time runs under a forwarder's name. A process that continues under a
//!   new incarnation notifies its balancer before it sends any message of that incarnation.
//!
//! The usable amount falls gradually: a holder uses all of an allocation for three quarters of its duration,
//! and from then on linearly less, down to zero at its expiry.

mod allocations;
mod apportionment;
mod demand;
mod grantor;

pub use allocations::{LongTermAllocations, REQUEST_INTERVAL, ReleasedAllocations};
pub use demand::LongTermDemandEstimator;
pub use grantor::LongTermGrantor;
