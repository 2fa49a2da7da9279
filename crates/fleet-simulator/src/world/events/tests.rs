use std::cmp::Reverse;
use std::collections::BinaryHeap;

use granitelb_balancer::time::Time;

use super::{EventKind, ScheduledEvent};

#[test]
fn events_are_ordered_by_time_and_then_by_sequence() {
    let mut heap = BinaryHeap::new();
    for (time, sequence) in [(5, 1), (3, 2), (3, 0)] {
        let kind = EventKind::CacheStops { server: 0 };
        heap.push(Reverse(ScheduledEvent { at: Time(time), sequence, kind }));
    }
    let order: Vec<_> =
        std::iter::from_fn(|| heap.pop()).map(|Reverse(event)| (event.at.0, event.sequence)).collect();
    assert_eq!(order, [(3, 0), (3, 2), (5, 1)]);
}
