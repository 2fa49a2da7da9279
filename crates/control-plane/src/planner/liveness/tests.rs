use granitelb_balancer::time::Time;

use super::{LivenessCounter, LivenessEvent, LivenessMonitor, LivenessTimeouts};

fn check_at(monitor: &mut LivenessMonitor, times_ms: impl IntoIterator<Item = u64>) -> Vec<LivenessEvent> {
    times_ms.into_iter().filter_map(|ms| monitor.check(Time(ms * 1000))).collect()
}

#[test]
fn unresponsive_task_is_reported_once_and_then_times_out() {
    let counter = LivenessCounter::default();
    let mut monitor = LivenessMonitor::new(counter.clone(), LivenessTimeouts::default(), Time(0));
    assert_eq!(check_at(&mut monitor, (0..10_000).step_by(100)), [], "the task waits");
    counter.increment();
    let events = check_at(&mut monitor, (10_000..39_900).step_by(100));
    assert_eq!(events, [LivenessEvent::Unresponsive]);
    counter.increment();
    assert_eq!(check_at(&mut monitor, [39_900]), [LivenessEvent::Recovered]);
    counter.increment();
    let events = check_at(&mut monitor, (40_000..70_100).step_by(100));
    assert_eq!(events, [LivenessEvent::Unresponsive, LivenessEvent::TimedOut]);
}

#[test]
fn suspended_process_reports_no_task_as_unresponsive() {
    let counter = LivenessCounter::default();
    let mut monitor = LivenessMonitor::new(counter.clone(), LivenessTimeouts::default(), Time(0));
    counter.increment();
    assert_eq!(check_at(&mut monitor, [0, 100, 60_000, 60_100]), []);
}
