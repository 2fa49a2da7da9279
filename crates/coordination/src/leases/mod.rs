//! Leases on shared capacity: the origin's fetches, and the work of each cache server that is warming up.
//! Capacity is granted by demand, so that what all forwarders together may send never exceeds the capacity.
//!
//! Of a capacity W, each of N forwarders has a *guaranteed share* of `rho W / N` that never expires, where
//! rho is the guaranteed part of the capacity. The remaining capacity is divided evenly among the P planners
//! of the fleet configuration; each planner's part is its *escrow*. A planner grants leases to forwarders
//! from its escrow and from loans that other planners make to it. It makes loans to other planners from its
//! escrow alone. Every lease and every loan expires.
//!
//! # Invariant
//!
//! At every moment, the amounts that forwarders hold by their own clocks, plus all guaranteed shares, add up
//! to at most W.
//!
//! # Why the invariant holds
//!
//! The *grantor duration* of a lease or a loan is its duration plus a margin for clock drift.
//!
//! - **A grant expires at its holder before the grantor stops counting it.** The holder measures the duration
//!   from the moment at which it sent the request that the grant answers. The grantor measures from the
//!   moment at which it grants, which is later, and for the grantor duration, which is longer on any clock
//!   whose drift is within the margin. So the amount held never exceeds the amount that the grantor counts. A
//!   grant that arrives late, or that a suspended process reads when it resumes, has already expired.
//! - **A holder uses one grant for each planner and resource: the grant that it requested last.** The planner
//!   counts the greatest grant that has not expired, until the holder reports which grant it uses; the holder
//!   never returns to an earlier grant. So the amount held stays within the amount counted, whichever
//!   messages are reordered, duplicated or lost.
//! - **A planner's ledger balances at every later moment.** The planner grants a lease at a moment g only if
//!   that lease, plus the greatest grant that each other holder may still have, adds up to at most its escrow
//!   plus the loans to it that last until g plus the grantor duration of a lease. It makes a loan only if the
//!   same sum is within the escrow alone. It releases an older loan only if the ledger balances without that
//!   loan. Take any moment t, the greatest grant of each holder that is valid at t, and among these grants
//!   the one that was made last, at g. All the others were counted at g, so the sum is within the limit that
//!   was applied to the last grant; and t is before g plus the grantor duration, until which the loans last.
//! - **A loan is subtracted in the lender's ledger before it is added in the borrower's,** and it expires in
//!   the borrower's ledger before the lender has the amount again, by the first point. So escrows and loans
//!   add up to the sum of the escrows, which is W less the guaranteed shares.
//! - **A planner that starts does not know the grants of its earlier incarnations,** so it grants nothing
//!   until the grantor duration of the longest lease or loan that the settings allow has passed. It does not
//!   know the loans that were made to its previous incarnation either; leases that were granted from such a
//!   loan expire before the loan does. The grants of each incarnation are counted separately. A change of
//!   settings is followed by the same wait.
//!
//! A part of the origin's capacity may be granted for longer, by each forwarder's long-term demand: see
//! [`long_term`].
//!
//! # Bound on waiting
//!
//! A planner's targets are max-min fair over the demands that were reported to it recently. If demands stay
//! constant from some moment on, all leases granted after that moment are within their targets. Leases
//! granted before it have expired one grantor duration later; from then on each request is granted its whole
//! target. So an unmet demand waits at most one grantor duration plus one request interval (plus 100 ms, the
//! interval at which targets are recomputed), whatever the other forwarders do. It usually waits two request
//! intervals, because the other forwarders report at their next request that they use less.
//!
//! # Assumptions
//!
//! At most N forwarders run at a time. One process runs under each planner's number, and all members have the
//! same settings. Clocks advance while a process is suspended, and the rates of two clocks differ by less
//! than the margin.

mod demand_estimator;
mod error;
mod forwarder;
mod holdings;
mod ledger;
pub mod long_term;
mod message;
mod planner;
mod resource;
mod settings;

pub use error::LeaseError;
pub use forwarder::ForwarderComponent;
pub use holdings::Holdings;
pub use message::{Demand, LeaseMessage, LongTermRequest, MAX_DEMANDS_PER_MESSAGE, WireDuration};
pub use planner::{OutstandingGrants, PlannerComponent, Surplus};
pub use resource::{Resource, ResourceAmount};
pub use settings::Settings;

use crate::member::{Incarnation, PlannerId};

/// One incarnation of a planner. The grants of different incarnations are counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerIncarnation {
    /// The planner's number in the fleet configuration.
    pub planner: PlannerId,
    /// The planner's incarnation.
    pub incarnation: Incarnation,
}
