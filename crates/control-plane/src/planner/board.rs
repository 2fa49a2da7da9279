//! What one faculty of a planner has to know of another: each desk writes its own note, and reads those of others. The
//! last one is all that there is to know, so nothing waits. One that nobody renews is passed over: its desk may be dead.

use std::collections::BTreeSet;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::leases::Spare;
use granitelb_coordination::shard_growth::FleetStatus;
use granitelb_coordination::shard_growth::shard_map::ShardMapVersion;
use tokio::sync::watch;

/// Notes are written anew so often, and count for so long.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(250);
const LASTS: Span = Span::from_millis(3000);

#[derive(Clone, Debug)]
struct Dated<T> {
    at: Time,
    what: T,
}

impl<T> Dated<T> {
    fn fresh(&self, now: Time) -> Option<&T> {
        (now - self.at < LASTS).then_some(&self.what)
    }
}

/// A channel's two ends together: whoever has the board may read and write.
#[derive(Clone, Debug)]
pub struct Board {
    failing: watch::Sender<Option<Dated<BTreeSet<EndpointId>>>>,
    spare: watch::Sender<Option<Dated<Spare>>>,
    /// The version by which the table was new last; it stays so.
    table: watch::Sender<Option<ShardMapVersion>>,
}

impl Board {
    pub fn new() -> Board {
        let (failing, spare) = (watch::Sender::new(None), watch::Sender::new(None));
        Board { failing, spare, table: watch::Sender::new(None) }
    }

    pub fn write_failing(&self, now: Time, what: BTreeSet<EndpointId>) {
        self.failing.send_replace(Some(Dated { at: now, what }));
    }

    pub fn write_spare(&self, now: Time, what: Option<Spare>) {
        self.spare.send_replace(what.map(|what| Dated { at: now, what }));
    }

    pub fn write_table(&self, new: ShardMapVersion) {
        self.table.send_replace(Some(new));
    }

    /// The version by which the table was new last, where growth has said so.
    pub fn table(&self) -> Option<ShardMapVersion> {
        *self.table.borrow()
    }

    /// What growth has to know: none where any of it is not known. By the operator's figure where there are no leases;
    /// where there are, no more than that.
    pub fn fleet(&self, now: Time, leased: bool, figure: Option<f64>) -> Option<FleetStatus> {
        let failing = self.failing.borrow().as_ref().and_then(|f| f.fresh(now)).cloned()?;
        let spare = match (leased, figure) {
            (true, most) => {
                let spare = *self.spare.borrow().as_ref()?.fresh(now)?;
                Spare { per_s: spare.per_s.min(most.unwrap_or(f64::MAX)), ..spare }
            }
            (false, figure) => Spare { per_s: figure?, short: false },
        };
        Some(FleetStatus { failing, is_origin_slow: spare.short, spare_fetches_per_second: spare.per_s })
    }
}

#[cfg(test)]
mod tests;
