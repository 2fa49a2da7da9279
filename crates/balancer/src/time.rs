//! Points in time and spans of time as distinct types.
//!
//! Unlike a `std::time::Instant`, a [`Time`] counts from the host's epoch and can be compared with times from
//! the wire. Arithmetic saturates, and [`Time`] and [`Span`] have a resolution of one microsecond.

use std::ops::{Add, Sub};

/// A point in time, in microseconds of the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A span of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Span(pub u64);

impl Span {
    /// A span of zero.
    pub const ZERO: Span = Span(0);

    /// A span of this many milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms * 1000)
    }

    /// A span of this many seconds, rounded down to microseconds; a negative number or NaN gives zero.
    pub fn from_secs_f64(seconds: f64) -> Span {
        Span((seconds.max(0.0) * 1e6) as u64)
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span multiplied by `factor`; a negative product or NaN gives zero.
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

    /// The span since `earlier`, or zero if `earlier` is later.
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}
