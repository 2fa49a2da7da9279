//! Which letters of a life were taken: each is taken once, in whatever order they come.

use std::collections::BTreeSet;

/// The last so many are remembered. Numbers rise with each letter of a sender, whoever it is to: two that come here one
/// after the other may be hundreds apart. So what is remembered is counted in letters that came here, not in numbers.
const LAST: usize = 32;

#[derive(Clone, Debug, Default)]
pub struct Window {
    taken: BTreeSet<u64>,
    /// Up to here all count as taken. Those that are forgotten are: nothing is taken twice, and one that comes so
    /// late is taken for lost.
    below: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    New,
    Taken,
    TooLate,
}

impl Window {
    pub fn place(&self, number: u64) -> Place {
        if self.below.is_some_and(|below| number <= below) {
            return Place::TooLate;
        }
        if self.taken.contains(&number) { Place::Taken } else { Place::New }
    }

    pub fn take(&mut self, number: u64) {
        self.taken.insert(number);
        if self.taken.len() > LAST {
            self.below = self.taken.pop_first();
        }
    }
}
