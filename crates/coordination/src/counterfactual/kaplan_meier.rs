//! Estimation from right-censored times: the Kaplan-Meier curve of a group, and the pseudo-value of each
//! request of the group.
//!
//! A pseudo-value is the curve's estimate plus the request's influence on the estimate (the infinitesimal
//! jackknife). Influences sum to zero, so the mean of the pseudo-values equals the curve's estimate, in which
//! censored requests count as in the curve. Estimators that take means of pseudo-values, weighted or not,
//! need not handle censoring.
//!
//! Assumption: within a group, censoring is independent of the time. From the moment of their cancellation
//! on, cancelled requests would have taken as long as those of the group that were still in flight then.

/// The time of a request, and whether the time is observed or only bounded from below.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CensoredTime {
    /// How long the response was waited for, in any unit that increases with time.
    pub duration: f64,
    /// Whether the response arrived after `duration`; otherwise the time is right-censored.
    pub is_observed: bool,
}

impl CensoredTime {
    /// Whether the response arrived within the horizon and so makes a step of the curve.
    fn is_event(self, horizon: f64) -> bool {
        self.is_observed && self.duration <= horizon
    }

    /// Whether the time is known up to the horizon.
    fn is_resolved(self, horizon: f64) -> bool {
        self.is_observed || self.duration >= horizon
    }
}

/// One request's contribution to the estimates of its group, as if no time had been censored.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PseudoValue {
    /// The share of the horizon that the request waited (restricted mean survival time).
    pub waited: f64,
    /// The contribution to the share of requests that are answered within the horizon.
    pub in_time: f64,
}

/// The greatest survival at which the curve may end before the horizon, as it does if no request was waited
/// for until the horizon.
const MAX_SURVIVAL_AT_EARLY_END: f64 = 0.02;

/// Returns the pseudo-values of a group, in the order of the group.
///
/// Returns none if fewer than `min_resolved` times are known up to the horizon, or if the curve ends before
/// the horizon while too many requests were still waiting.
pub fn pseudo_values(group: &[CensoredTime], horizon: f64, min_resolved: usize) -> Option<Vec<PseudoValue>> {
    let resolved = group.iter().filter(|time| time.is_resolved(horizon)).count();
    if resolved < min_resolved || horizon <= 0.0 {
        return None;
    }
    let order = order_by_time(group);
    let curve = SurvivalCurve::fit(group, &order, horizon);
    let longest = group.iter().map(|time| time.duration).fold(0.0, f64::max);
    if longest < horizon && curve.survival_at_horizon > MAX_SURVIVAL_AT_EARLY_END {
        return None;
    }
    Some(curve.pseudo_values(group, &order, horizon))
}

/// Returns the group's indices in the order of time. Of equal times the observed come first: a request that
/// was cancelled at that time was still at risk.
fn order_by_time(group: &[CensoredTime]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..group.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (group[*a], group[*b]);
        a.duration.total_cmp(&b.duration).then((!a.is_observed).cmp(&!b.is_observed))
    });
    order
}

/// A step of the curve, at the arrival of one response.
struct CurveStep {
    time: f64,
    /// The number of requests still in flight just before the step, including the one that was answered.
    at_risk: f64,
    /// The survival after the step.
    survival: f64,
    /// The area under the curve from the step to the horizon.
    area_to_horizon: f64,
}

/// The Kaplan-Meier curve up to the horizon.
struct SurvivalCurve {
    steps: Vec<CurveStep>,
    survival_at_horizon: f64,
    /// The area under the curve up to the horizon: the restricted mean survival time.
    mean: f64,
}

impl SurvivalCurve {
    fn fit(group: &[CensoredTime], order: &[usize], horizon: f64) -> SurvivalCurve {
        let size = group.len() as f64;
        let mut steps = Vec::new();
        let mut survival = 1.0;
        for (earlier_count, index) in order.iter().enumerate() {
            let time = group[*index];
            let at_risk = size - earlier_count as f64;
            if time.is_event(horizon) {
                survival *= 1.0 - 1.0 / at_risk;
                steps.push(CurveStep { time: time.duration, at_risk, survival, area_to_horizon: 0.0 });
            }
        }
        let mut area = 0.0;
        let mut segment_end = horizon;
        for step in steps.iter_mut().rev() {
            area += (segment_end - step.time) * step.survival;
            step.area_to_horizon = area;
            segment_end = step.time;
        }
        SurvivalCurve { steps, survival_at_horizon: survival, mean: area + segment_end }
    }

    /// Returns the pseudo-values of the group. A request's influence has two parts: its own response lowers
    /// the curve, and the responses that arrived while it was at risk would have lowered the curve more
    /// without it.
    fn pseudo_values(&self, group: &[CensoredTime], order: &[usize], horizon: f64) -> Vec<PseudoValue> {
        let size = group.len() as f64;
        let survival_at_horizon = self.survival_at_horizon;
        let mut values = vec![PseudoValue::default(); group.len()];
        let mut steps = self.steps.iter();
        let mut hazard = 0.0;
        let mut hazard_area = 0.0;
        for index in order {
            let mut own_hazard = 0.0;
            let mut own_area = 0.0;
            if group[*index].is_event(horizon)
                && let Some(step) = steps.next()
            {
                // The last request at risk lowers the survival to 0: its own part of the influence and its
                // part of the cumulative hazard cancel out.
                let is_last = step.at_risk <= 1.0;
                let increment = if is_last { 0.0 } else { size / (step.at_risk * (step.at_risk - 1.0)) };
                hazard += increment;
                hazard_area += increment * step.area_to_horizon;
                own_hazard = if is_last { 0.0 } else { size / (step.at_risk - 1.0) };
                own_area = own_hazard * step.area_to_horizon;
            }
            let waited = self.mean - own_area + hazard_area;
            let survival =
                survival_at_horizon - survival_at_horizon * own_hazard + survival_at_horizon * hazard;
            values[*index] = PseudoValue { waited: waited / horizon, in_time: 1.0 - survival };
        }
        values
    }
}

#[cfg(test)]
mod tests;
