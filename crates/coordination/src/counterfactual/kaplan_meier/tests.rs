use super::{CensoredTime, PseudoValue, pseudo_values};

fn mean(values: &[PseudoValue], field: fn(&PseudoValue) -> f64) -> f64 {
    values.iter().map(field).sum::<f64>() / values.len() as f64
}

fn time(duration: f64, is_observed: bool) -> CensoredTime {
    CensoredTime { duration, is_observed }
}

#[test]
fn without_censoring_pseudo_values_are_the_times_themselves() {
    let group: Vec<_> = (1..=20).map(|n| time(f64::from(n), true)).collect();
    let values = pseudo_values(&group, 10.0, 5).expect("enough resolved times");
    for (time, value) in group.iter().zip(&values) {
        assert!((value.waited - time.duration.min(10.0) / 10.0).abs() < 1e-9, "{time:?} {value:?}");
        assert!((value.in_time - f64::from(u8::from(time.duration <= 10.0))).abs() < 1e-9);
    }
}

/// The expected curve is computed by hand: within the horizon of 4, three responses arrive and one request is
/// censored after the first response.
#[test]
fn the_mean_of_pseudo_values_is_the_estimate_of_the_curve() {
    let group = [time(1.0, true), time(1.5, false), time(2.0, true), time(3.0, true), time(5.0, false)];
    let values = pseudo_values(&group, 4.0, 1).expect("enough resolved times");
    // The survival after 1 is 0.8, after 2 it is 0.8 * 2/3, and after 3 it is 0.8 * 1/3.
    let curve = 1.0 + 0.8 + 0.8 * 2.0 / 3.0 + 0.8 / 3.0;
    assert!((mean(&values, |value| value.waited) - curve / 4.0).abs() < 1e-9);
    assert!((mean(&values, |value| value.in_time) - (1.0 - 0.8 / 3.0)).abs() < 1e-9);
}

#[test]
fn a_group_that_is_almost_all_censored_has_no_values() {
    let mut group = vec![time(1.0, false); 50];
    assert_eq!(pseudo_values(&group, 4.0, 1), None);
    group.push(time(0.5, true));
    assert_eq!(pseudo_values(&group, 4.0, 1), None);
}
