//! Control of the false discovery rate over all hypotheses of a round.

/// Which hypotheses are rejected by Benjamini and Hochberg's procedure: of all so named the expected share of false ones is
/// `rate` at most. Where nothing differs at all, the chance that it names anything is `rate`.
pub(super) fn benjamini_hochberg(p_values: &[f64], rate: f64) -> Vec<bool> {
    let mut order: Vec<usize> = (0..p_values.len()).collect();
    order.sort_by(|a, b| p_values[*a].total_cmp(&p_values[*b]));
    let passes = |rank: usize| {
        let threshold = rate * (rank + 1) as f64 / p_values.len() as f64;
        p_values[order[rank]] <= threshold
    };
    let last = (0..order.len()).rev().find(|rank| passes(*rank));
    name_up_to(&order, last)
}

/// Which hypotheses are rejected by the e-BH procedure, the same by e-values. E-values may be looked at as often as one
/// likes, and may depend on each other in any way.
pub(super) fn e_benjamini_hochberg(e_values: &[f64], rate: f64) -> Vec<bool> {
    let mut order: Vec<usize> = (0..e_values.len()).collect();
    order.sort_by(|a, b| e_values[*b].total_cmp(&e_values[*a]));
    let passes = |rank: usize| {
        let threshold = e_values.len() as f64 / (rate * (rank + 1) as f64);
        e_values[order[rank]] >= threshold
    };
    let last = (0..order.len()).rev().find(|rank| passes(*rank));
    name_up_to(&order, last)
}

/// Marks the hypotheses up to the last rank that passes, in their original order.
fn name_up_to(order: &[usize], last: Option<usize>) -> Vec<bool> {
    let mut is_discovery = vec![false; order.len()];
    let count = last.map_or(0, |rank| rank + 1);
    for index in order.iter().take(count) {
        is_discovery[*index] = true;
    }
    is_discovery
}

#[cfg(test)]
mod tests;
