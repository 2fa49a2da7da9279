//! What is too long for a letter goes in parts that each make sense alone.

use serde::{Deserialize, Serialize};

use super::fault::HealthError;

/// A cache takes up to 22 bytes in a report, 16 in a plan: so many go into 1,100 bytes.
const IN_A_LETTER: usize = 46;
/// As many letters as it takes to name all caches that a planner knows.
const MOST_PARTS: u8 = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Part {
    /// From 0.
    pub index: u8,
    pub of: u8,
}

impl Part {
    pub const WHOLE: Part = Part { index: 0, of: 1 };

    /// # Errors
    /// Where there can be no such part.
    pub fn check(self) -> Result<(), HealthError> {
        let sound = self.of <= MOST_PARTS && self.index < self.of;
        if sound { Ok(()) } else { Err(HealthError::Part) }
    }

    /// Cuts what has to be said; nothing at all is one part too.
    pub fn cut<T: Clone>(all: &[T]) -> impl Iterator<Item = (Part, Vec<T>)> {
        let all = &all[..all.len().min(IN_A_LETTER * usize::from(MOST_PARTS))];
        let of = all.len().div_ceil(IN_A_LETTER).max(1) as u8;
        let part = |index: u8| all.iter().skip(usize::from(index) * IN_A_LETTER).take(IN_A_LETTER);
        (0..of).map(move |index| (Part { index, of }, part(index).cloned().collect()))
    }
}

/// Which parts of one batch came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Parts(u64);

impl Parts {
    /// Whether this one is new.
    pub fn take(&mut self, part: Part) -> bool {
        let bit = 1 << u32::from(part.index).min(63);
        let new = self.0 & bit == 0;
        self.0 |= bit;
        new
    }

    pub fn whole(self, of: u8) -> bool {
        self.0.count_ones() >= u32::from(of)
    }
}
