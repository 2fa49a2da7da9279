//! Leases on shared capacity: the origin's fetches and the work of each cache server that is warming up are handed out
//! by demand, so that what all forwarders may send together never exceeds the capacity.
//!
//! Of a capacity W, each of N forwarders has a *guaranteed share* of `rho W / N` that never expires. The rest is divided
//! evenly among the P planners of the fleet configuration; each planner's part is its *escrow*. A planner grants leases
//! to forwarders from its escrow and from loans that other planners make to it, and makes loans from its escrow alone.
//! Every grant expires.
//!
//! # Invariant
//!
//! At every moment, the amounts that forwarders hold by their own clocks, plus all guaranteed shares, add up to at most
//! W.
//!
//! # Why the invariant holds
//!
//! The *grantor duration* of a lease or a loan is its duration extended by the margin for clock drift.
//!
//! - **A holder's grant expires before the grantor stops counting it.** The holder measures the duration from the moment
//!   at which it sent the request that the grant answers. The planner measures from the moment at which it grants, which
//!   is later, and for the grantor duration, which is longer by any clock within the margin. So what is held is always
//!   part of what the planner counts. A grant that arrives late, or that a suspended process reads when it resumes, has
//!   already expired.
//! - **A holder uses one grant for each planner and resource: the one that it requested last.** The planner counts the
//!   greatest grant that has not expired, until the holder reports which one it uses; the holder never returns to an
//!   earlier one. So whatever the order, duplication or loss of messages, what is held stays within what is counted.
//! - **A planner's ledger balances for all time to come.** It grants a lease at a moment g only if that lease, plus the
//!   greatest grant that each other holder may still have, adds up to at most its escrow and those loans to it that last
//!   until g plus the grantor duration of a lease. It makes a loan only if these add up to at most the escrow alone. It
//!   gives up an older loan only if the ledger balances without it. Take any moment t, the greatest grant of each holder
//!   that is live at t, and among these the grant that was made last, at g. All the others were counted at g, so the sum
//!   is within the limit that was applied to that grant; and t is before g plus the grantor duration, up to which the
//!   loans last.
//! - **A loan leaves the lender's ledger before it enters the borrower's,** and leaves the borrower's before it returns to
//!   the lender's, by the first point. So escrows and loans add up to the sum of the escrows, which is W less the
//!   guaranteed shares.
//! - **A planner that starts has no knowledge of earlier grants,** so it grants nothing until the grantor duration of the
//!   longest lease or loan that the settings allow has passed. It does not know the loans that were made to its previous
//!   incarnation, and the leases that rest on such a loan expire before the loan does. Incarnations are counted
//!   separately. The same wait follows a change of settings.
//!
//! A part of the origin's capacity may be handed out for longer, by each forwarder's long-term demand: see
//! [`long_term`].
//!
//! # Bound on waiting
//!
//! A planner's targets are max-min fair over the demands that were reported to it recently. If demands stay constant from
//! some moment on, all leases granted after it are within their targets; those granted before it have expired one grantor
//! duration later; then each next request is granted its whole target. So an unmet demand waits at most one grantor
//! duration plus one request interval (plus 100 ms, the interval at which targets are recomputed), whatever the other
//! forwarders do. Usually it waits two request intervals, because the others report at their next request that they use
//! less.
//!
//! # Assumptions
//!
//! At most N forwarders are up. One process runs under each planner's number, and all have the same settings. Clocks
//! advance while a process is suspended, and their rates differ by less than the margin.

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

/// One incarnation of a planner. What different incarnations grant is counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerIncarnation {
    /// The planner's number in the fleet configuration.
    pub planner: PlannerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}
