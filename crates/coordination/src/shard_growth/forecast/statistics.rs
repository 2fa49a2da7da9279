//! Quantiles and medians.

/// The quantile of a sorted sample, interpolated linearly between adjacent values.
///
/// The sample must not be empty, and `fraction` must lie between 0 and 1.
pub(super) fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let position = fraction * (sorted.len() - 1) as f64;
    let below = sorted[position.floor() as usize];
    let above = sorted[position.ceil() as usize];
    below + (above - below) * position.fract()
}

/// The median of a sample, or the greater of its two middle values; none if it is empty. Reorders the sample.
pub(super) fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
