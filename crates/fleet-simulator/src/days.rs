//! Named days. A day is a fixed list of faults, which the binary and the examples run by name.

use crate::faults::{Fault, FaultKind};

/// The names of all days that [`faults_of_day`] accepts.
pub const DAY_NAMES: &[&str] =
    &["calm", "burst", "hot", "hang", "slow", "split", "zone", "join", "herd", "restart"];

/// A slowdown of an eighth of the caches to a quarter of their speed.
const SLOW_CACHES: FaultKind = FaultKind::Slow { share: 0.125, factor: 4.0 };

/// Returns the faults of a named day, or `None` if no day has this name.
pub fn faults_of_day(name: &str) -> Option<Vec<Fault>> {
    let faults = match name {
        "calm" => Vec::new(),
        "burst" => vec![Fault::new(FaultKind::Burst(1.5), 6.0, 14.0)],
        "hot" => vec![Fault::new(FaultKind::HotKey(0.1), 6.0, 14.0)],
        "hang" => vec![Fault::new(FaultKind::Hang(0.2), 6.0, 12.0)],
        "slow" => vec![Fault::new(SLOW_CACHES, 4.0, 16.0)],
        "split" => vec![Fault::new(FaultKind::ZoneCut, 6.0, 12.0)],
        "zone" => {
            vec![Fault::new(FaultKind::ZoneLost, 6.0, 11.0), Fault::new(SLOW_CACHES, 2.0, 18.0)]
        }
        "join" => vec![Fault::new(FaultKind::Replace(0.6), 4.0, 11.0)],
        "herd" => vec![Fault::new(FaultKind::NodesKilled(0.7), 8.0, 8.0)],
        "restart" => vec![Fault::new(FaultKind::NodesKilled(1.0 / 3.0), 8.0, 8.0)],
        _ => return None,
    };
    Some(faults)
}

#[cfg(test)]
mod tests;
