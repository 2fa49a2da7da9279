use super::WatchBackoff;
use crate::time::{Span, Time};

const POLL_INTERVAL: Span = Span::from_millis(10_000);
/// The jitter with which a wait equals the backoff.
const NO_JITTER: f64 = 0.5;

fn at(ms: u64) -> Time {
    Time(1_000_000) + Span::from_millis(ms)
}

#[test]
fn watch_is_requested_at_the_start_only_where_the_list_comes_on_request() {
    assert!(WatchBackoff::new(true, at(0)).poll(at(0), POLL_INTERVAL));
    let mut pushed_list = WatchBackoff::new(false, at(0));
    assert!(!pushed_list.poll(at(60_000), POLL_INTERVAL));
    assert_eq!(pushed_list.next_request_at(), None);
}

#[test]
fn backoff_doubles_up_to_its_maximum_and_is_reset_by_an_update() {
    let mut watch = WatchBackoff::new(false, at(0));
    for backoff_ms in [500, 1000, 1000] {
        watch.on_failure(at(0), NO_JITTER);
        assert_eq!(watch.next_request_at(), Some(at(backoff_ms)));
    }
    watch.on_update();
    assert_eq!(watch.next_request_at(), None);
    watch.on_failure(at(0), NO_JITTER);
    assert_eq!(watch.next_request_at(), Some(at(500)));
}

#[test]
fn jitter_is_half_of_the_backoff_in_either_direction() {
    for (jitter, expected_ms) in [(0.0, 250), (1.0, 750)] {
        let mut watch = WatchBackoff::new(false, at(0));
        watch.on_failure(at(0), jitter);
        assert_eq!(watch.next_request_at(), Some(at(expected_ms)));
    }
}

#[test]
fn unanswered_watch_request_is_repeated() {
    for (poll_interval, expected_ms) in
        [(POLL_INTERVAL, 2500), (Span::from_millis(1500), 1500), (Span::ZERO, 2500)]
    {
        let mut watch = WatchBackoff::new(true, at(0));
        assert!(watch.poll(at(0), poll_interval));
        assert!(!watch.poll(at(expected_ms - 1), poll_interval));
        assert!(watch.poll(at(expected_ms), poll_interval));
    }
}
