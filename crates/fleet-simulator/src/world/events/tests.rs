use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::*;

#[test]
fn events_come_in_order_of_time_and_then_of_making() {
    let mut heap = BinaryHeap::new();
    for (time, order) in [(5, 1), (3, 2), (3, 0)] {
        heap.push(Reverse(Next(Time(time), order, What::Leaves { server: 0 })));
    }
    let order: Vec<_> = std::iter::from_fn(|| heap.pop()).map(|Reverse(n)| (n.0.0, n.1)).collect();
    assert_eq!(order, [(3, 0), (3, 2), (5, 1)]);
}
