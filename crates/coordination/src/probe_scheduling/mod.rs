//! Assignment of forwarders to probe failing endpoints.
//!
//! A fleet must learn when a failing endpoint has recovered, and one probe every other second is enough for
//! that. So a few forwarders are assigned to probe the endpoint, and all others treat it as failing.
//!
//! Invariants, and the reasons for them:
//! - **The rate of probes does not grow with the fleet.** The number of assignees follows the probes that
//!   were observed: after a window without probes, twice as many forwarders are assigned in the next window;
//!   after a window with too many, half as many. An assignee sends no extra requests: it behaves as it would
//!   without the planners' updates. So if an assignee has no request for the endpoint, more assignees are
//!   needed.
//! - **At least one live forwarder is assigned.** The assignees are the live forwarders with the greatest
//!   hashes ([`assignees`]), chosen anew in each window. A forwarder whose failure is not yet known stays
//!   assigned until the window ends; a forwarder that is known to have failed is not chosen.
//! - **Planners need not agree on windows.** Each planner counts windows by its own clock. The live planner
//!   with the lowest number assigns probes. A planner with a higher number assigns probes only after windows
//!   in which no probe was observed, for example when the planner with the lowest number has just started and
//!   does not know of the failure, and stops while there are more probes than the target. All planners
//!   observe the same probes, since forwarders report to all planners. A forwarder is assigned if any planner
//!   assigns it; in the worst case, when planners do not see one another, the number of probes is multiplied
//!   by the number of planners.
//! - **Recovery does not depend on assignments.** When planners are silent, forwarders that are not assigned
//!   still probe by their own backoff.

mod assignment;
mod scheduler;

pub use assignment::{Task, Window, assignees};
pub use scheduler::{ProbeOutcome, ProbeScheduler, Settings};
