//! Sums and averages with exponential decay. The decay is computed when a value is read, so no timer is
//! needed.

use crate::time::{Span, Time};

/// A sum whose terms each decay by a factor of e per time constant.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    sum: f64,
    updated_at: Time,
    time_constant: Span,
}

impl DecayingSum {
    /// An empty sum.
    pub fn new(time_constant: Span, now: Time) -> DecayingSum {
        DecayingSum { sum: 0.0, updated_at: now, time_constant }
    }

    /// Adds a term.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.sum = self.read(now) + amount;
        self.updated_at = now;
    }

    /// Subtracts the remainder, after decay, of a term that was added at the time `added_at`. The sum does
    /// not become negative.
    pub fn subtract(&mut self, now: Time, added_at: Time, amount: f64) {
        let left = amount * decay(now - added_at, self.time_constant);
        self.sum = (self.read(now) - left).max(0.0);
        self.updated_at = now;
    }

    /// The sum at the time `now`.
    pub fn read(&self, now: Time) -> f64 {
        self.sum * decay(now - self.updated_at, self.time_constant)
    }
}

/// The decaying time average of a level that changes in steps, such as the number of attempts in flight.
#[derive(Clone, Copy, Debug)]
pub struct DecayingLevel {
    average: f64,
    level: f64,
    updated_at: Time,
    time_constant: Span,
}

impl DecayingLevel {
    /// An average of zero, for a level that was zero until now and is `level` from now on.
    pub fn starting_at(level: f64, time_constant: Span, now: Time) -> DecayingLevel {
        DecayingLevel { average: 0.0, level, updated_at: now, time_constant }
    }

    /// Adds `change` to the level.
    pub fn change_by(&mut self, now: Time, change: f64) {
        self.average = self.read(now);
        self.updated_at = now;
        self.level += change;
    }

    /// The average at the time `now`.
    pub fn read(&self, now: Time) -> f64 {
        self.level + (self.average - self.level) * decay(now - self.updated_at, self.time_constant)
    }
}

/// The mean of samples, in which newer samples have a higher weight.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    sum: DecayingSum,
    count: DecayingSum,
    initial: f64,
}

impl DecayingMean {
    /// A mean that reads `initial` until the first sample.
    pub fn new(time_constant: Span, now: Time, initial: f64) -> DecayingMean {
        DecayingMean {
            sum: DecayingSum::new(time_constant, now),
            count: DecayingSum::new(time_constant, now),
            initial,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, now: Time, sample: f64) {
        self.sum.add(now, sample);
        self.count.add(now, 1.0);
    }

    /// The mean at the time `now`. The initial value counts as one sample that never decays, so that the
    /// first samples change the mean little.
    pub fn read(&self, now: Time) -> f64 {
        (self.sum.read(now) + self.initial) / (self.count.read(now) + 1.0)
    }
}

/// The factor by which a value of this age has decayed.
fn decay(age: Span, time_constant: Span) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
