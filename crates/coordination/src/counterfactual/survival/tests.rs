use super::*;

fn mean(values: &[Value], of: fn(&Value) -> f64) -> f64 {
    values.iter().map(of).sum::<f64>() / values.len() as f64
}

#[test]
fn with_nothing_cut_values_are_the_times_themselves() {
    let group: Vec<_> = (1..=20).map(|n| Timed { took: f64::from(n), came: true }).collect();
    let values = values(&group, 10.0, 5).expect("enough");
    for (timed, value) in group.iter().zip(&values) {
        assert!((value.waited - timed.took.min(10.0) / 10.0).abs() < 1e-9, "{timed:?} {value:?}");
        assert!((value.in_time - f64::from(u8::from(timed.took <= 10.0))).abs() < 1e-9);
    }
}

/// A curve worked out by hand: 3 answered, 1 cut after the first answer, horizon 4.
#[test]
fn cut_ones_count_as_the_curve_has_them() {
    let t = |took, came| Timed { took, came };
    let group = [t(1.0, true), t(1.5, false), t(2.0, true), t(3.0, true), t(5.0, false)];
    let values = values(&group, 4.0, 1).expect("enough");
    // Left after 1: 0.8; after 2: 0.8 * 2/3; after 3: 0.8 * 1/3.
    let curve = 1.0 + 0.8 + 0.8 * 2.0 / 3.0 + 0.8 / 3.0;
    assert!((mean(&values, |v| v.waited) - curve / 4.0).abs() < 1e-9);
    assert!((mean(&values, |v| v.in_time) - (1.0 - 0.8 / 3.0)).abs() < 1e-9);
}

#[test]
fn a_group_of_which_hardly_any_was_seen_to_the_end_says_nothing() {
    let mut group = vec![Timed { took: 1.0, came: false }; 50];
    assert_eq!(values(&group, 4.0, 1), None);
    group.push(Timed { took: 0.5, came: true });
    assert_eq!(values(&group, 4.0, 1), None);
}
