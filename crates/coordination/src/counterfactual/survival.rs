//! Times that were cut short, made whole: Kaplan and Meier's curve, and what each call adds to it.
//!
//! Invariant: the mean of the values given equals the curve's own figure, censored ones counted as the curve counts them;
//! so whatever takes means of them, weighted or not, need not know that any was cut. It holds since each value is the
//! figure plus the call's influence on it, and influences add up to nothing. What it rests on: within a group, the ones
//! cut at a moment would have gone on like those that were not.

/// One time, and whether the answer came then (or the waiting was cut).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timed {
    pub took: f64,
    pub came: bool,
}

/// What one call adds, as if nothing had been cut.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Value {
    /// Share of the horizon that was waited.
    pub waited: f64,
    /// Share answered within the horizon.
    pub in_time: f64,
}

/// So much of the curve may be left where it ends before the horizon, for want of anyone who was waited for longer.
const LOOSE_END: f64 = 0.02;

/// The values of a group, in its order; none if too few were seen to the end to say anything, or none long enough.
pub fn values(group: &[Timed], horizon: f64, least: usize) -> Option<Vec<Value>> {
    let n = group.len() as f64;
    let known = group.iter().filter(|t| t.came || t.took >= horizon).count();
    if known < least || horizon <= 0.0 {
        return None;
    }
    let mut order: Vec<usize> = (0..group.len()).collect();
    // Of equal times the answers come first: what was cut at that moment was still waited for.
    order.sort_by(|a, b| {
        let key = |i: usize| (group[i].took, !group[i].came);
        key(*a).0.total_cmp(&key(*b).0).then(key(*a).1.cmp(&key(*b).1))
    });
    // The curve's steps: when, how many were at risk, what is left after it.
    let mut steps: Vec<(f64, f64, f64)> = Vec::new();
    let mut left = 1.0;
    for (passed, i) in order.iter().enumerate() {
        let (timed, at_risk) = (group[*i], n - passed as f64);
        if timed.came && timed.took <= horizon {
            left *= 1.0 - 1.0 / at_risk;
            steps.push((timed.took, at_risk, left));
        }
    }
    let longest = group.iter().map(|t| t.took).fold(0.0, f64::max);
    if longest < horizon && left > LOOSE_END {
        return None;
    }
    // The curve's area from each step to the horizon, from the last one on.
    let mut area = vec![0.0; steps.len()];
    let (mut sum, mut until) = (0.0, horizon);
    for (n, (at, _, after)) in steps.iter().enumerate().rev() {
        sum += (until - at) * after;
        area[n] = sum;
        until = *at;
    }
    let (mean, late) = (sum + until, left);
    // Each call's influence: what its own answer takes off, and what those before it had taken off while it was at risk.
    let mut value = vec![Value::default(); group.len()];
    let (mut step, mut hazard, mut hazard_area) = (0, 0.0, 0.0);
    for i in order {
        let timed = group[i];
        let mut own = (0.0, 0.0);
        if timed.came && timed.took <= horizon {
            let at_risk = steps[step].1;
            // The last one at risk takes all that is left: its own part and the sum's cancel out.
            let scale = if at_risk > 1.0 { n / (at_risk * (at_risk - 1.0)) } else { 0.0 };
            hazard += scale;
            hazard_area += scale * area[step];
            let part = if at_risk > 1.0 { n / (at_risk - 1.0) } else { 0.0 };
            own = (part, part * area[step]);
            step += 1;
        }
        let waited = mean - own.1 + hazard_area;
        let still = late - late * own.0 + late * hazard;
        value[i] = Value { waited: waited / horizon, in_time: 1.0 - still };
    }
    Some(value)
}

#[cfg(test)]
mod tests;
