//! What goes wrong in a day.

/// A fault and its time, in seconds from the day's start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub kind: Kind,
    pub from: f64,
    pub to: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// So many times the calls.
    Burst(f64),
    /// One key takes this share of the calls.
    HotKey(f64),
    /// This share of the caches take calls and connections and answer nothing.
    Hang(f64),
    /// This share of the caches take so many times as long.
    Slow(f64, f64),
    /// Nothing passes between the first zone and the others; discovery's list stays as it was.
    ZoneCut,
    /// The caches of the first zone are gone without a word, and come back cold and empty. The list tells late.
    ZoneLost,
    /// This share of the caches is replaced, evenly over the time: each old one drains as a new, cold one is listed.
    Replace(f64),
    /// This share of all nodes is killed at the start of the fault, and starts anew, knowing nothing.
    NodesKilled(f64),
}

impl Fault {
    pub fn new(kind: Kind, from: f64, to: f64) -> Fault {
        Fault { kind, from, to }
    }

    pub fn acts(&self, at: f64) -> bool {
        at >= self.from && at < self.to
    }
}
