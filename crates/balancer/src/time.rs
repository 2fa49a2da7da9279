//! Points in time and lengths of time, which can't be mixed up.

use std::ops::{Add, Sub};

/// A point in time, in microseconds of the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Span(pub u64);

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_millis(ms: u64) -> Span {
        Span(ms * 1000)
    }

    pub fn from_secs_f64(seconds: f64) -> Span {
        Span((seconds.max(0.0) * 1e6) as u64)
    }

    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This span times `factor`; a negative or undefined product is no time at all.
    pub fn scaled(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Time {
    type Output = Span;

    /// The span since `earlier`, or none when `earlier` lies ahead.
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}
