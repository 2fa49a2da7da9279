//! Control of the false discovery rate over all hypotheses of a round of comparisons.

/// Returns which hypotheses are rejected by Benjamini and Hochberg's procedure. The expected share of false
/// rejections among all rejections is at most `rate`. If all hypotheses are true, the probability that at
/// least one is rejected is `rate`.
pub(super) fn benjamini_hochberg(p_values: &[f64], rate: f64) -> Vec<bool> {
    let mut order: Vec<usize> = (0..p_values.len()).collect();
    order.sort_by(|a, b| p_values[*a].total_cmp(&p_values[*b]));
    let passes = |rank: usize| {
        let threshold = rate * (rank + 1) as f64 / p_values.len() as f64;
        p_values[order[rank]] <= threshold
    };
    let last_rank = (0..order.len()).rev().find(|rank| passes(*rank));
    mark_up_to(&order, last_rank)
}

/// Returns which hypotheses are rejected by the e-BH procedure, which controls the false discovery rate by
/// e-values. E-values may be checked any number of times, and may depend on each other in any way.
pub(super) fn e_benjamini_hochberg(e_values: &[f64], rate: f64) -> Vec<bool> {
    let mut order: Vec<usize> = (0..e_values.len()).collect();
    order.sort_by(|a, b| e_values[*b].total_cmp(&e_values[*a]));
    let passes = |rank: usize| {
        let threshold = e_values.len() as f64 / (rate * (rank + 1) as f64);
        e_values[order[rank]] >= threshold
    };
    let last_rank = (0..order.len()).rev().find(|rank| passes(*rank));
    mark_up_to(&order, last_rank)
}

/// Returns, in the original order, whether each hypothesis is of a rank up to `last_rank`.
fn mark_up_to(order: &[usize], last_rank: Option<usize>) -> Vec<bool> {
    let mut is_discovery = vec![false; order.len()];
    let count = last_rank.map_or(0, |rank| rank + 1);
    for index in order.iter().take(count) {
        is_discovery[*index] = true;
    }
    is_discovery
}

#[cfg(test)]
mod tests;
