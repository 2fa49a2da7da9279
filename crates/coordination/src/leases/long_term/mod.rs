//! Long-term allocations: a part of the origin's capacity, handed out by each forwarder's long-term demand for
//! longer than planners are usually unavailable. A planner has a part of this capacity, its *long-term escrow*, separate from
//! what it leases and lends, and each forwarder requests its share of every planner.
//!
//! # Invariant
//!
//! What forwarders hold of a planner's long-term escrow is at most that escrow, at every moment and by their own clocks.
//!
//! # Why the invariant holds
//!
//! What the documentation of [`leases`](super) says of expiry, of using the grant that was requested last, and of balanced
//! ledgers applies here too. Two points are different:
//!
//! - **A planner that starts does not wait until what is held has expired.** For the grantor duration of a long-term
//!   allocation it increases no share. But a forwarder that reports, in a request addressed to this incarnation of the
//!   planner, what it holds of an earlier one is granted the same amount again. When this incarnation starts, let m be
//!   the most that each forwarder may come to hold of what earlier incarnations granted: the sum of all m is within the
//!   escrow, because that was so at the end of the incarnation before. A request that names this incarnation was written
//!   after it began, so what it reports is within its forwarder's m; and the forwarder uses the new grant in place of the
//!   old one, never both. So no m becomes greater during the wait, and after it all live grants were made by this
//!   incarnation and are in its ledger. Without the name, a request from before could still reach a later incarnation,
//!   when others had been granted what had expired in between.
//! - **A later incarnation of a forwarder revokes what earlier ones were granted**, by its first request. This assumes
//!   that only one process at a time runs under a forwarder's name. A process that continues under a new incarnation has
//!   notified its balancer before any message of that incarnation is sent.
//!
//! Amounts do not change in steps: a holder uses all of an allocation for three quarters of its duration, and from then on
//! linearly less, down to nothing at its expiry.

mod allocations;
mod apportionment;
mod demand;
mod grantor;

pub use allocations::{LongTermAllocations, REQUEST_INTERVAL, ReleasedAllocations};
pub use demand::LongTermDemandEstimator;
pub use grantor::LongTermGrantor;
