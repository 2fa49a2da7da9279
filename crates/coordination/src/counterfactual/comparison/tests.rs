use super::super::estimate::{Estimate, NoSupport};
use super::super::message::{Comparison, ComparisonScale};
use super::super::settings::Settings;
use super::ComparisonTracker;

fn estimate(mean: f64) -> Result<Estimate, NoSupport> {
    Ok(Estimate {
        mean,
        low: mean - 0.03,
        high: mean + 0.03,
        p_value: 0.0,
        is_corroborated: true,
        requests: 100,
        strata: Vec::new(),
    })
}

#[test]
fn one_finding_changes_nothing_and_several_findings_end_a_comparison() {
    let settings = Settings::default();
    let mut tracker = ComparisonTracker::default();
    let mut update = |mean: f64, is_discovery: bool| {
        let changed = tracker.update(&settings, ComparisonScale::WaitedShare, estimate(mean), is_discovery);
        (changed, tracker.comparison())
    };
    assert_eq!(update(0.0, false), (true, Comparison::AsGood));
    assert!(!update(0.2, true).0);
    assert!(!update(0.0, false).0);
    for n in 1..=settings.findings_to_enter {
        assert_eq!(update(0.2, true).0, n == settings.findings_to_enter);
    }
    // An estimate that is no discovery keeps the comparison while its interval is above zero.
    assert_eq!(update(0.05, false), (false, Comparison::Worse));
    for n in 1..=settings.findings_to_leave {
        assert_eq!(update(0.01, false).0, n == settings.findings_to_leave);
    }
    assert_eq!(tracker.comparison(), Comparison::AsGood);
}
