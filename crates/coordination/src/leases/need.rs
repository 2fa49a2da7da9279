//! How much a forwarder needs of a resource: what it used of late and a little, and more where it used all that it had.

use granitelb_balancer::time::Time;

/// Shots come by chance: what is used is read over a short and a long while, and the greater counts.
const WHILES: [f64; 2] = [1.0, 4.0];
/// Who used so much of what it might over a while would have used more, and asks for so much more; but for no more than
/// so many times what it used, and an even part, or it would ask for ever more until the while has passed.
const CAPPED: f64 = 0.75;
const GROWS: f64 = 2.5;
const BEYOND: f64 = 3.0;
const SPARE: f64 = 1.2;
/// The part of an even part that comes on top, since few shots come unevenly.
const UNEVEN: f64 = 0.25;
/// Where all that is wanted is told, what was turned away too, so much is asked for on top, since calls come by chance;
/// and the short while counts by what it has beyond two fifths of its chance.
const WANTED: f64 = 1.1;
const CHANCE: f64 = 0.4;
/// An even part's part on top where wants are told: more of it took from the heaviest what light ones don't use.
const TOLD_UNEVEN: f64 = 0.1;
/// A need that was not used falls by this part of the difference with each ask.
const FALLS: f64 = 0.5;
/// Changes by less than this part are not told.
const STEADY: f64 = 0.15;

#[derive(Clone, Debug)]
pub struct Use {
    /// Thousandths a second, over each while.
    rates: [f64; 2],
    /// What it might use, likewise.
    might: [f64; 2],
    since: f64,
    at: Time,
    need: f64,
    /// Of one shot, if what is wanted and can't be sent is told too.
    told: Option<f64>,
}

impl Use {
    pub fn new(now: Time, told: Option<f64>) -> Use {
        Use { rates: [0.0; 2], might: [0.0; 2], since: 0.0, at: now, need: 0.0, told }
    }

    pub fn add(&mut self, amount: f64) {
        self.since += amount;
    }

    /// What it needs now, where it may use `allowed` and an even part for all would be `even`, all in thousandths a
    /// second.
    pub fn need(&mut self, now: Time, allowed: f64, even: f64) -> f64 {
        let passed = (now - self.at).as_secs_f64();
        if passed <= 0.0 {
            return self.need;
        }
        let just = self.since / passed;
        for ((rate, might), while_) in self.rates.iter_mut().zip(&mut self.might).zip(WHILES) {
            let new = 1.0 - (-passed / while_).exp();
            *rate += new * (just - *rate);
            *might += new * (allowed - *might);
        }
        (self.since, self.at) = (0.0, now);
        let used = self.rates[0].max(self.rates[1]);
        let capped =
            self.rates.iter().zip(self.might).any(|(rate, might)| *rate > 0.0 && *rate >= CAPPED * might);
        let need = if let Some(one) = self.told {
            let [short, long] = self.rates;
            let used = long.max(short - CHANCE * (short * one / (2.0 * WHILES[0])).sqrt());
            if used < 1.0 { 0.0 } else { used * WANTED + even * TOLD_UNEVEN }
        } else if capped {
            // Not from what it asked for: where that was not granted it would only grow without end.
            (allowed * GROWS).min(used * BEYOND + even).max(even)
        } else {
            let down = used * SPARE + even * UNEVEN;
            if used < 1.0 { 0.0 } else { (self.need + FALLS * (down - self.need)).max(down) }
        };
        // What wavers is counted twice at the planner for a while.
        if (need - self.need).abs() > STEADY * self.need {
            self.need = need;
        }
        self.need
    }
}
