//! Leases: the fleet's fetches at the origin and its work at each cold cache, handed out by need, so that what all
//! forwarders may send adds up to no more than the whole.
//!
//! Of a whole W each of N forwarders has `own = rho W / N` for ever. The rest is parted evenly among the P planners of
//! the operator's file: each one's *escrow*. A planner grants leases from its escrow and from what others lend it, and
//! lends from its escrow alone. Nothing is handed out without an end.
//!
//! The invariant: at every moment, what forwarders hold by their own clocks, with all own parts, is at most W.
//!
//! Why it holds. Let *hold* be a lease's or a loan's length stretched by the margin of clocks.
//!
//! - **A holder's end is first.** It counts from the moment at which it sent the ask that a grant answers; the planner
//!   counts from when it grants, which is later, and for the hold, which is longer by any clock within the margin. So
//!   what is held is always among what the planner counts. A grant that is late, or that a stopped process takes up
//!   when it goes on, has ended.
//! - **A holder uses one grant a planner and a resource: the last one asked for.** The planner counts the greatest of
//!   those that have not ended, until the holder says which one it uses; it never goes back to an earlier one. So any
//!   order of letters, doubles and losses leave what is held within what is counted.
//! - **A planner's books balance for all time to come.** It grants a lease at a moment g only if that one, and the
//!   greatest that each other holder may still have, come to at most its escrow and those loans to it that last until
//!   g + hold of a lease; it lends only if they come to at most the escrow alone; it gives up an older loan only if the
//!   books balance without it. Take any moment t, of each holder the greatest grant that lives then, and of those the
//!   one that was granted last, at g. All the others were counted at g, so the sum is within what that grant was held
//!   to; and t is before g + hold, up to which the loans last.
//! - **A loan is taken from the lender's books before it is in the borrower's,** and is out of the borrower's before it
//!   is back in the lender's, by the first point. So escrows and loans sum up to the escrows, which are W less the own
//!   parts.
//! - **A planner that starts knows nothing,** so it gives nothing until the hold of the longest lease or loan that
//!   settings allow is over; what its earlier life was lent it doesn't know of, and leases that rest on it end before
//!   that loan does. Lives are counted apart. The same wait follows a change of settings.
//!
//! Of the origin's whole a part may be handed out for longer, by each forwarder's usual need: `standing`.
//!
//! The bound of waiting. A planner's targets are max-min fair over the needs that it was told of in the last while. If
//! needs stay as they are from a moment on, all leases granted after it are within targets; those granted before it
//! have ended a hold later; then each next ask is granted its whole target. So an unmet need waits at most a hold and
//! one beat of asks (and 100 ms, since targets are made anew so often), whatever the others do. Mostly it is two beats,
//! since others say at their next ask that they use less.
//!
//! What it takes for granted: no more than N forwarders are up; one process a planner's number, all with the same
//! settings; clocks that go on while a process is stopped, and differ in rate by less than the margin.

mod book;
mod forwarder;
mod holder;
mod need;
mod planner;
pub mod standing;

use std::collections::BTreeSet;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;
use serde::{Deserialize, Serialize};

pub use forwarder::ForwarderComponent;
pub use holder::Holder;
pub use planner::{PlannerComponent, Spare};

use crate::component::{HEARTBEAT_INTERVAL, Remediation};
use crate::member::{Incarnation, PlannerId};

/// What is shared out. Amounts are thousandths of a fetch a second, or millionths of a second of work a second of a warm
/// cache: the own part of one in 300 was less than a thousandth, and rounded to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Resource {
    Origin,
    Cold(#[serde(with = "cache_id")] EndpointId),
}

impl Resource {
    /// Of so many amounts is one: a fetch, or a second of work.
    pub fn parts(self) -> f64 {
        match self {
            Resource::Origin => 1e3,
            Resource::Cold(_) => 1e6,
        }
    }
}

mod cache_id {
    use granitelb_balancer::ids::EndpointId;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(id: &EndpointId, to: S) -> Result<S::Ok, S::Error> {
        id.0.serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<EndpointId, D::Error> {
        u64::deserialize(from).map(EndpointId)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Need {
    pub resource: Resource,
    pub amount: u32,
    /// The number of the ask whose grant is used now: earlier ones are given back by this.
    pub using: u64,
    /// How many go short, where a planner asks for several; and what they have already without this lender.
    pub heads: u32,
    pub has: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// A forwarder asks for leases, or a planner for loans. Numbers rise with each ask of a life.
    Ask {
        ask: u64,
        needs: Vec<Need>,
    },
    /// Answers an ask: so much, for so long from when that ask was sent.
    Grant {
        ask: u64,
        granted: Vec<(Resource, u32)>,
        lasts: Span32,
    },
    /// The sender uses nothing of what it asked for up to this ask, and won't.
    Return {
        ask: u64,
    },
    /// A forwarder asks for its standing part of the origin's fetches, which numbers of their own: what it usually needs,
    /// the ask whose grant is in use, the planner's life that this is to, and what is held of that planner's.
    AskStanding {
        ask: u64,
        need: u32,
        using: u64,
        to: Incarnation,
        has: u32,
    },
    Standing {
        ask: u64,
        amount: u32,
        lasts: Span32,
    },
    ReturnStanding {
        ask: u64,
    },
}

/// Microseconds on the wire: leases last seconds.
pub type Span32 = u32;

/// So many needs of any size go into 1,100 bytes.
pub const MOST_NEEDS: usize = 30;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Fetches a second that the origin stands, in thousandths.
    pub whole_origin: u32,
    /// Millionths of a second of work a second that a cache of size 1 stands when it is warm.
    pub whole_cold: u32,
    /// Thousandths of the whole that are the forwarders' own for ever.
    pub reserve: u32,
    /// Thousandths of the origin's whole that are handed out as standing parts. None are without.
    pub standing: u32,
    /// How long a standing part lasts. The same for all and for ever: what a planner that starts waits out.
    pub standing_lasts: Span,
    /// No more forwarders than these are ever up.
    pub forwarders: u32,
    pub planners: BTreeSet<PlannerId>,
    pub lease: Span,
    pub loan: Span,
    /// No lease or loan was ever set to last longer: what a planner that starts waits out.
    pub longest: Span,
    /// Thousandths by which two clocks may differ in rate, and a fixed time on top.
    pub drift: u32,
    pub slack: Span,
    /// Asks come so often.
    pub beat: Span,
    /// A planner makes its targets anew after this, not with each ask.
    pub fresh: Span,
    /// The share of its capacity that a cache starts with.
    pub cold_from: f64,
    /// More than these are not taken in.
    pub most_cold: usize,
    pub most_forwarders: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            whole_origin: 100_000,
            whole_cold: 1_000_000,
            reserve: 250,
            standing: 0,
            standing_lasts: Span::from_millis(20_000),
            forwarders: 300,
            planners: BTreeSet::from([PlannerId(1)]),
            lease: Span::from_millis(2000),
            loan: Span::from_millis(4000),
            longest: Span::from_millis(5000),
            drift: 10,
            slack: Span::from_millis(50),
            beat: HEARTBEAT_INTERVAL,
            fresh: Span::from_millis(100),
            cold_from: 0.25,
            most_cold: 256,
            most_forwarders: 4096,
        }
    }
}

impl Settings {
    pub fn whole(&self, of: Resource) -> u32 {
        match of {
            Resource::Origin => self.whole_origin,
            Resource::Cold(_) => self.whole_cold,
        }
    }

    /// Each forwarder's for ever. Rounded down, so that all of them are within the reserve.
    pub fn own(&self, of: Resource) -> u32 {
        let reserve = u64::from(self.whole(of)) * u64::from(self.reserve.min(1000)) / 1000;
        (reserve / u64::from(self.forwarders.max(1))) as u32
    }

    /// Each planner's part of what is left.
    pub fn escrow(&self, of: Resource) -> u32 {
        let own = u64::from(self.own(of)) * u64::from(self.forwarders.max(1));
        let left = u64::from(self.whole(of)).saturating_sub(own + self.standing_whole(of));
        (left / self.planners.len().max(1) as u64) as u32
    }

    fn standing_whole(&self, of: Resource) -> u64 {
        match of {
            Resource::Origin => u64::from(self.whole_origin) * u64::from(self.standing.min(1000)) / 1000,
            Resource::Cold(_) => 0,
        }
    }

    /// Each planner's part of what is handed out as standing parts.
    pub fn standing_escrow(&self) -> u32 {
        (self.standing_whole(Resource::Origin) / self.planners.len().max(1) as u64) as u32
    }

    /// How long the giver counts what lasts so long at the holder.
    pub fn hold(&self, lasts: Span) -> Span {
        lasts + Span(lasts.0 * u64::from(self.drift) / 1000) + self.slack
    }

    /// # Errors
    /// Says which figures can't be kept.
    pub fn check(&self) -> Result<(), LeaseError> {
        let short = self.longest.0 > 60_000_000 || self.lease > self.longest || self.loan > self.longest;
        match () {
            () if self.planners.is_empty() || self.forwarders == 0 => Err(LeaseError::Nobody),
            () if self.reserve > 1000 || self.standing > 1000 - self.reserve => Err(LeaseError::Reserve),
            // A loan that is shorter than what is granted from it would never serve.
            () if short || self.lease.0 == 0 || self.loan <= self.hold(self.lease) => {
                Err(LeaseError::Lengths)
            }
            () => Ok(()),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    #[error("leases: an ask that is no newer than one before")]
    Old,
    #[error("leases: more forwarders or cold caches than are kept")]
    TooMany,
    #[error("leases: a planner that the operator's file does not have")]
    Stranger,
    #[error("leases: a grant that nothing was asked for, or long ago")]
    Unasked,
    #[error("leases: a message that is not for this side")]
    NotForUs,
    #[error("leases: neither forwarders nor planners to share among")]
    Nobody,
    #[error("leases: a reserve and standing parts of more than the whole")]
    Reserve,
    #[error(
        "leases: lengths that can't be kept: a lease has to be shorter than a loan, by the margin of clocks, and both within the longest"
    )]
    Lengths,
}

impl Remediation for LeaseError {
    fn remediation(&self) -> &'static str {
        match self {
            LeaseError::Old => {
                "Nothing to do: letters were doubled or passed one another. If it goes on, two processes may bear one name."
            }
            LeaseError::TooMany => {
                "Raise most_forwarders or most_cold in the planners' files, or look for who makes up names."
            }
            LeaseError::Stranger => "Give all planners and forwarders the same operator's file.",
            LeaseError::Unasked => {
                "Nothing to do if it is rare: an answer was late. If it goes on, look at the network between the two."
            }
            LeaseError::NotForUs => {
                "Look whether a planner's address is listed as a forwarder's, or a version is mixed."
            }
            LeaseError::Nobody => "Name at least one planner and one forwarder in the operator's file.",
            LeaseError::Reserve => "Set the reserve and the standing share so that both come to 1 at most.",
            LeaseError::Lengths => {
                "Set lease, then loan, then longest, each greater than the one before; 2 s, 4 s and 5 s serve."
            }
        }
    }
}
