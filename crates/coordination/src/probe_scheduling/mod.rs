//! Assignment of forwarders to probe failing endpoints.
//!
//! A fleet needs to know when an endpoint has recovered, and one probe every other second is enough for that. So a few
//! forwarders are assigned to probe it, and for all others the endpoint is failing.
//!
//! Invariants, and the reasons for them:
//! - **The rate of probes does not grow with the fleet.** The number of assignees follows the probes that were observed:
//!   after a window without any, twice as many are assigned in the next; after one with too many, half as many. An
//!   assignee sends nothing extra: it behaves as it would without the planners' updates. So where an assignee has no
//!   request for the endpoint, more of them are needed.
//! - **Someone is assigned.** The assignees are the live forwarders with the greatest hashes ([`assignees`]), chosen anew
//!   in each window: one that failed unnoticed is assigned until the window's end, and none is chosen once it is known to
//!   have failed.
//! - **Windows need not agree.** Each planner counts its own by its own clock. The live planner with the lowest number
//!   assigns probes. One further on assigns them only after windows in which no probe was observed, as when the first has
//!   just started and knows of no failure, and stops while there are more probes than the target. All planners observe
//!   the same probes, since forwarders report to all. A forwarder is assigned if any planner assigns it; in the worst
//!   case, with planners that do not see one another, there are as many times the probes as there are planners.
//! - **Nothing depends on it.** A forwarder that is not assigned still probes by its own backoff when planners are silent.

mod assignment;
mod scheduler;

pub use assignment::{Task, Window, assignees};
pub use scheduler::{ProbeOutcome, ProbeScheduler, Settings};
