use super::{MIN_FAULTS, Timeline};

#[test]
fn each_seed_draws_the_same_valid_timeline() {
    for seed in 0..300 {
        let timeline = Timeline::draw(seed, 12.0);
        assert_eq!(timeline, Timeline::draw(seed, 12.0));
        assert!(timeline.faults.len() >= MIN_FAULTS);
        timeline.experiment().unwrap_or_else(|t| panic!("seed {seed}: {t}\n{}", timeline.text()));
    }
    assert_ne!(Timeline::draw(1, 12.0).faults, Timeline::draw(2, 12.0).faults);
}
