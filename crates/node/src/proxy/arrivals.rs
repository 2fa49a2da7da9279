//! When the bytes of a client's input came: a call's time counts from its last byte, also while it waits behind another.
//!
//! Invariant: marks stand in the order of the bytes, the newest last, and there are none for bytes that were taken long
//! before.

use std::collections::VecDeque;

use granitelb_balancer::time::{Span, Time};

/// Bytes that come within this after others share their mark, with the earlier time: there are so few marks, also
/// where bytes drip in while a call is out.
const SHARED: Span = Span::from_millis(10);

#[derive(Default)]
pub struct Arrivals {
    /// Up to which byte, counted from the connection's first, what came at this time reaches.
    marks: VecDeque<(u64, Time)>,
    /// Bytes that have come in all.
    came: u64,
}

impl Arrivals {
    /// Notes that so many more bytes have come.
    pub fn note(&mut self, bytes: usize, now: Time) {
        if bytes == 0 {
            return;
        }
        self.came += bytes as u64;
        match self.marks.back_mut() {
            Some((up_to, at)) if now - *at < SHARED => *up_to = self.came,
            _ => self.marks.push_back((self.came, now)),
        }
    }

    /// When the last byte came of what was taken, so many bytes being left; `None` where nothing is known of it.
    pub fn of_last_taken(&mut self, left: usize) -> Option<Time> {
        let taken = self.came.saturating_sub(left as u64);
        while self.marks.front().is_some_and(|mark| mark.0 < taken) {
            self.marks.pop_front();
        }
        let at = self.marks.front()?.1;
        if left == 0 {
            // What comes next came by itself, and shares no mark with what was taken.
            self.marks.clear();
        }
        Some(at)
    }
}
