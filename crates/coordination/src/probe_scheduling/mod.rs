//! Who tries a failing cache. A fleet needs to know when the cache is back, and needs only a trial every other second for
//! it; so a few forwarders have the turn, and to all others the cache is said to fail.
//!
//! How it holds together:
//! - **Trials a second do not grow with the fleet.** How many hold a turn goes by the trials that were seen: with none in
//!   a window twice as many hold the next, with more than wanted half as many. A holder sends nothing extra: it goes on
//!   as it would by itself, so where a holder has no call for the cache the turn has to be held by more.
//! - **Someone has the turn.** Holders are the greatest hashes among those that live ([`rank`]), anew in each window: one
//!   that died unnoticed holds it until the window's end, and none is picked once it is known to be dead.
//! - **Windows need not agree.** Each planner counts its own by its own clock. The planner with the least number that
//!   lives gives turns; one further on gives them only after windows in which no trial was seen, as when the first has
//!   just started and knows of no failure, and takes them back while there are more trials than wanted. All count
//!   the same trials, since forwarders report to all. A forwarder has the turn if any planner says so; in the worst
//!   case, planners that do not see one another, there are as many times the trials as there are planners.
//! - **Nothing rests on it.** A forwarder without the turn still tries by its own clock when planners fall silent.

mod rank;
mod trials;

pub use rank::{Duty, Window, holders};
pub use trials::{Settings, Trials};
