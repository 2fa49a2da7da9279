use super::*;

fn looks(watch: &mut Watch, ms: impl IntoIterator<Item = u64>) -> Vec<Finding> {
    ms.into_iter().filter_map(|ms| watch.look(Time(ms * 1000))).collect()
}

#[test]
fn one_that_does_not_come_back_is_named_once_and_then_lost() {
    let pulse = Pulse::default();
    let mut watch = Watch::new(pulse.clone(), Patience::default(), Time(0));
    assert_eq!(looks(&mut watch, (0..10_000).step_by(100)), [], "it waits");
    pulse.0.fetch_add(1, Ordering::Relaxed);
    let found = looks(&mut watch, (10_000..39_900).step_by(100));
    assert_eq!(found, [Finding::Hangs]);
    pulse.0.fetch_add(1, Ordering::Relaxed);
    assert_eq!(looks(&mut watch, [39_900]), [Finding::GoesOn]);
    pulse.0.fetch_add(1, Ordering::Relaxed);
    let found = looks(&mut watch, (40_000..70_100).step_by(100));
    assert_eq!(found, [Finding::Hangs, Finding::Lost]);
}

#[test]
fn a_process_that_stood_still_blames_nobody() {
    let pulse = Pulse::default();
    let mut watch = Watch::new(pulse.clone(), Patience::default(), Time(0));
    pulse.0.fetch_add(1, Ordering::Relaxed);
    assert_eq!(looks(&mut watch, [0, 100, 60_000, 60_100]), []);
}
