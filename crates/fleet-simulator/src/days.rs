//! Days that are played by name.

use crate::faults::{Fault, Kind};

/// The names of the days, for whoever asks for one that is not there.
pub const NAMES: &[&str] =
    &["calm", "burst", "hot", "hang", "slow", "split", "zone", "join", "herd", "restart"];

/// The faults of a day.
pub fn named(name: &str) -> Option<Vec<Fault>> {
    let one = |kind, from, to| Some(vec![Fault::new(kind, from, to)]);
    match name {
        "calm" => Some(Vec::new()),
        "burst" => one(Kind::Burst(1.5), 6.0, 14.0),
        "hot" => one(Kind::HotKey(0.1), 6.0, 14.0),
        "hang" => one(Kind::Hang(0.2), 6.0, 12.0),
        "slow" => one(Kind::Slow(0.125, 4.0), 4.0, 16.0),
        "split" => one(Kind::ZoneCut, 6.0, 12.0),
        "zone" => {
            let slow = Fault::new(Kind::Slow(0.125, 4.0), 2.0, 18.0);
            Some(vec![Fault::new(Kind::ZoneLost, 6.0, 11.0), slow])
        }
        "join" => one(Kind::Replace(0.6), 4.0, 11.0),
        "herd" => one(Kind::NodesKilled(0.7), 8.0, 8.0),
        "restart" => one(Kind::NodesKilled(1.0 / 3.0), 8.0, 8.0),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
