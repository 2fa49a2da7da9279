//! Sums and averages that forget, brought up to date when they are read.

use crate::time::{Span, Time};

/// A sum whose parts fade by a factor e in each `memory`.
#[derive(Clone, Copy, Debug)]
pub struct FadingSum {
    sum: f64,
    at: Time,
    memory: Span,
}

impl FadingSum {
    pub fn new(memory: Span, now: Time) -> FadingSum {
        FadingSum { sum: 0.0, at: now, memory }
    }

    pub fn add(&mut self, now: Time, amount: f64) {
        self.sum = self.read(now) + amount;
        self.at = now;
    }

    pub fn read(&self, now: Time) -> f64 {
        self.sum * fade(now - self.at, self.memory)
    }
}

/// The average over time of a level that moves in steps, such as a count of what is in flight.
#[derive(Clone, Copy, Debug)]
pub struct FadingLevel {
    average: f64,
    level: f64,
    at: Time,
    memory: Span,
}

impl FadingLevel {
    /// It steps from zero to this level now.
    pub fn at(level: f64, memory: Span, now: Time) -> FadingLevel {
        FadingLevel { average: 0.0, level, at: now, memory }
    }

    pub fn step_by(&mut self, now: Time, change: f64) {
        self.average = self.read(now);
        self.at = now;
        self.level += change;
    }

    pub fn read(&self, now: Time) -> f64 {
        self.level + (self.average - self.level) * fade(now - self.at, self.memory)
    }
}

/// The mean of samples, newer ones weighing more; `start` stands until the first.
#[derive(Clone, Copy, Debug)]
pub struct FadingMean {
    sum: FadingSum,
    count: FadingSum,
    start: f64,
}

impl FadingMean {
    pub fn new(memory: Span, now: Time, start: f64) -> FadingMean {
        FadingMean { sum: FadingSum::new(memory, now), count: FadingSum::new(memory, now), start }
    }

    pub fn add(&mut self, now: Time, sample: f64) {
        self.sum.add(now, sample);
        self.count.add(now, 1.0);
    }

    /// The mean, with the start counted as one sample, so that few samples move it little.
    pub fn read(&self, now: Time) -> f64 {
        (self.sum.read(now) + self.start) / (self.count.read(now) + 1.0)
    }
}

fn fade(age: Span, memory: Span) -> f64 {
    (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}
