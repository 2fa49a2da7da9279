//! Right-censored times made comparable: the Kaplan-Meier curve of a group, and the pseudo-value of each of its requests.
//!
//! A pseudo-value is the curve's own figure plus the request's influence on it (the infinitesimal jackknife). Influences
//! sum to zero, so the mean of the pseudo-values equals the curve's figure, with censored requests counted as the curve
//! counts them. Whatever takes means of pseudo-values, weighted or not, need not know that any time was censored.
//!
//! Assumption: censoring is independent of the time within a group. Requests that were cancelled at a moment would have
//! gone on like those of the group that were not.

/// A time, and whether it is known or only bounded from below.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CensoredTime {
    /// How long the request was waited for, in any unit that grows with time.
    pub duration: f64,
    /// Whether the response arrived then; otherwise the time is right-censored.
    pub is_observed: bool,
}

impl CensoredTime {
    /// Whether the response arrived within the horizon, which is a step of the curve.
    fn is_event(self, horizon: f64) -> bool {
        self.is_observed && self.duration <= horizon
    }

    /// Whether it is known if the response arrived within the horizon.
    fn is_resolved(self, horizon: f64) -> bool {
        self.is_observed || self.duration >= horizon
    }
}

/// What one request contributes to the figures of its group, as if nothing had been censored.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PseudoValue {
    /// The share of the horizon that was waited (restricted mean survival time).
    pub waited: f64,
    /// The share answered within the horizon.
    pub in_time: f64,
}

/// The most that may be left of the curve where it ends before the horizon, because no request was waited for any
/// longer.
const MAX_OPEN_TAIL: f64 = 0.02;

/// The pseudo-values of a group, in its order.
///
/// There are none if fewer than `min_resolved` times are known up to the horizon, or if the curve ends long before it.
pub fn pseudo_values(group: &[CensoredTime], horizon: f64, min_resolved: usize) -> Option<Vec<PseudoValue>> {
    let resolved = group.iter().filter(|time| time.is_resolved(horizon)).count();
    if resolved < min_resolved || horizon <= 0.0 {
        return None;
    }
    let order = order_by_time(group);
    let curve = SurvivalCurve::fit(group, &order, horizon);
    let longest = group.iter().map(|time| time.duration).fold(0.0, f64::max);
    if longest < horizon && curve.survival_at_horizon > MAX_OPEN_TAIL {
        return None;
    }
    Some(curve.pseudo_values(group, &order, horizon))
}

/// The group's indices by time. Of equal times the observed ones are first: a request that was cancelled at that moment
/// was still at risk.
fn order_by_time(group: &[CensoredTime]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..group.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (group[*a], group[*b]);
        a.duration.total_cmp(&b.duration).then((!a.is_observed).cmp(&!b.is_observed))
    });
    order
}

/// A step of the curve, where one response arrived.
struct CurveStep {
    time: f64,
    /// Requests that were still waited for, this one included.
    at_risk: f64,
    /// What is left of the curve after the step.
    survival: f64,
    /// The curve's area from the step to the horizon.
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
        for (passed, index) in order.iter().enumerate() {
            let time = group[*index];
            let at_risk = size - passed as f64;
            if time.is_event(horizon) {
                survival *= 1.0 - 1.0 / at_risk;
                steps.push(CurveStep { time: time.duration, at_risk, survival, area_to_horizon: 0.0 });
            }
        }
        let mut area = 0.0;
        let mut until = horizon;
        for step in steps.iter_mut().rev() {
            area += (until - step.time) * step.survival;
            step.area_to_horizon = area;
            until = step.time;
        }
        SurvivalCurve { steps, survival_at_horizon: survival, mean: area + until }
    }

    /// Each request's influence is what its own response takes off the curve, and what responses before it had taken off
    /// while it was at risk.
    fn pseudo_values(&self, group: &[CensoredTime], order: &[usize], horizon: f64) -> Vec<PseudoValue> {
        let size = group.len() as f64;
        let late = self.survival_at_horizon;
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
                // The last request at risk takes all that is left: its own part and the sum's cancel out.
                let is_last = step.at_risk <= 1.0;
                let increment = if is_last { 0.0 } else { size / (step.at_risk * (step.at_risk - 1.0)) };
                hazard += increment;
                hazard_area += increment * step.area_to_horizon;
                own_hazard = if is_last { 0.0 } else { size / (step.at_risk - 1.0) };
                own_area = own_hazard * step.area_to_horizon;
            }
            let waited = self.mean - own_area + hazard_area;
            let survival = late - late * own_hazard + late * hazard;
            values[*index] = PseudoValue { waited: waited / horizon, in_time: 1.0 - survival };
        }
        values
    }
}

#[cfg(test)]
mod tests;
