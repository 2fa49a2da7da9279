//! The planners of an experiment, what the fleet shares, and how many nodes are up.

use serde::Deserialize;

use super::parts::within;
use super::{Experiment, FaultKind};

/// Nodes that start are asked so much later, and nodes that leave so much sooner: clients have lists of their own.
const READY_S: f64 = 2.0;
const LEFT_S: f64 = 0.3;
/// Planners that a world may have.
pub const MOST_PLANNERS: usize = 5;

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetForm {
    pub planners: usize,
    /// Nodes that are up when the run begins; all unless it is said.
    pub begin: Option<usize>,
    /// What is shared by leases; none without it.
    pub leases: Option<LeasesForm>,
    /// Whatever else the operator's file is to say, as it words it.
    pub operator: toml::Table,
    /// Whether planners keep their state on disk.
    pub forgetful: bool,
}

/// The wholes that the fleet shares.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeasesForm {
    pub origin_per_s: f64,
    /// Seconds of work a second, of a warm cache, at each cold cache.
    pub cold_work: f64,
    /// The part of each whole that is parted evenly for ever.
    pub reserve: f64,
    /// The part of the origin's whole that is handed out by usual need, for longer.
    pub standing: f64,
    pub lasts_ms: u64,
}

impl Default for LeasesForm {
    fn default() -> LeasesForm {
        LeasesForm { origin_per_s: 200.0, cold_work: 1.0, reserve: 0.25, standing: 0.0, lasts_ms: 2000 }
    }
}

impl FleetForm {
    pub fn check(&self, nodes: usize) -> Result<(), (String, String)> {
        let leases = self.leases.clone().unwrap_or_default();
        within(&[
            ("fleet.planners", self.planners as f64, 0.0, MOST_PLANNERS as f64),
            ("fleet.begin", self.begin.unwrap_or(nodes) as f64, 1.0, nodes as f64),
            ("fleet.leases.origin_per_s", leases.origin_per_s, 1.0, 1e6),
            ("fleet.leases.cold_work", leases.cold_work, 0.001, 1e4),
            ("fleet.leases.reserve", leases.reserve, 0.01, 1.0),
            ("fleet.leases.standing", leases.standing, 0.0, 1.0 - leases.reserve),
            ("fleet.leases.lasts_ms", leases.lasts_ms as f64, 100.0, 60_000.0),
        ])
    }
}

/// A change of how many nodes are up: each in turn, over some time.
struct Resize {
    at_s: f64,
    for_s: f64,
    from: usize,
    to: usize,
}

impl Resize {
    /// When a node starts or is told to stop.
    fn at(&self, node: usize) -> f64 {
        let many = self.from.abs_diff(self.to).max(1) as f64;
        let before = if self.to > self.from { node - self.from } else { self.from - 1 - node };
        self.at_s + self.for_s * before as f64 / many
    }
}

impl Experiment {
    pub fn begins_with(&self) -> usize {
        self.fleet.as_ref().and_then(|f| f.begin).unwrap_or(self.world.nodes)
    }

    fn resizes(&self) -> Vec<Resize> {
        let mut from = self.begins_with();
        let faults = self.faults().into_iter().filter(|f| f.kind == FaultKind::Resize);
        faults
            .map(|f| {
                let resize = Resize { at_s: f.at_s, for_s: f.for_s, from, to: f.count };
                from = f.count;
                resize
            })
            .collect()
    }

    /// When each node starts, or is told to stop, by the resize that begins at a time.
    pub fn resized(&self, at_s: f64) -> Vec<(usize, f64, bool)> {
        let found = self.resizes().into_iter().find(|r| (r.at_s - at_s).abs() < 1e-9);
        let all = found.into_iter().flat_map(|r| {
            let (low, high) = (r.from.min(r.to), r.from.max(r.to));
            (low..high).map(move |n| (n, r.at(n), r.to > r.from)).collect::<Vec<_>>()
        });
        all.collect()
    }

    /// How many nodes, from the first on, clients ask at a time.
    pub fn asked_at(&self, at_s: f64) -> usize {
        let mut asked = self.begins_with();
        for resize in self.resizes() {
            if resize.to > resize.from {
                asked += (resize.from..resize.to).filter(|n| resize.at(*n) + READY_S <= at_s).count();
            } else {
                asked -=
                    (resize.to..resize.from).filter(|n| resize.at(*n) - LEFT_S <= at_s).count().min(asked);
            }
        }
        asked.max(1)
    }

    /// The same without what befalls planners and letters: what a run is held against.
    pub fn without_planners_faults(&self) -> Experiment {
        let mut calm = self.clone();
        calm.name += "-undisturbed";
        calm.fault.retain(|f| !f.get_ref().kind.befalls_planners());
        calm
    }
}

#[cfg(test)]
mod tests;
