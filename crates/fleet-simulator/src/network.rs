//! Ways between zones: how long they take, and what is cut.

use granitelb_balancer::time::{Span, Time};
use rand::{Rng, RngExt};

use crate::faults::Kind;
use crate::play::Play;

pub struct Network<'a> {
    pub play: &'a Play,
    pub start: Time,
}

impl Network<'_> {
    /// The faults that act now.
    pub fn acting(&self, now: Time) -> impl Iterator<Item = Kind> {
        let at = now.0 as f64 / 1e6 - self.start.0 as f64 / 1e6;
        self.play.faults.iter().filter(move |f| f.acts(at)).map(|f| f.kind)
    }

    pub fn is_cut(&self, now: Time, a: usize, b: usize) -> bool {
        a != b && (a == 0 || b == 0) && self.acting(now).any(|k| k == Kind::ZoneCut)
    }

    /// How long a word takes one way.
    pub fn way(&self, chance: &mut impl Rng, a: usize, b: usize) -> Span {
        let mean = if a == b { self.play.near } else { self.play.far };
        mean.scaled(0.85 + 0.3 * chance.random::<f64>())
    }
}
