use super::RequestQueue;
use crate::ids::{Key, RequestClassId, RequestId};
use crate::pending_request::PendingRequest;
use crate::request::Request;
use crate::time::{Span, Time};

fn at(ms: u64) -> Time {
    Time(1_000_000) + Span::from_millis(ms)
}

fn insert(queue: &mut RequestQueue, id: u64, value: f64) {
    let client_timeout = Span::from_millis(100);
    let request =
        Request { request_class: RequestClassId(0), key: Key(1), client_timeout, work: None, write: false };
    let pending = PendingRequest {
        request,
        priority: queue.next_priority(value),
        slo_deadline: at(50),
        value_deadline: at(50),
        client_deadline: at(100),
        queue_deadline: at(20),
        attempts: Vec::new(),
        max_attempts: 3,
        retry_after: Span::ZERO,
        may_have_executed: None,
        excluded_endpoints: Vec::new(),
        missed_in_cache: false,
    };
    queue.insert(RequestId(id), pending);
}

fn waiting_requests(queue: &mut RequestQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.next_waiting()).map(|id| id.0).collect()
}

#[test]
fn requests_are_served_by_value_then_by_arrival() {
    let mut queue = RequestQueue::default();
    for (id, value) in [(1, 1.0), (2, 5.0), (3, 1.0), (4, 0.0), (5, 5.0)] {
        insert(&mut queue, id, value);
    }
    assert_eq!(waiting_requests(&mut queue), [2, 5, 1, 3, 4]);
    assert_eq!(waiting_requests(&mut queue), [], "each request is returned once in a round");
    queue.restart_round();
    assert_eq!(waiting_requests(&mut queue), [2, 5, 1, 3, 4]);
}

#[test]
fn removed_requests_leave_no_entry() {
    let mut queue = RequestQueue::default();
    insert(&mut queue, 1, 1.0);
    queue.remove(RequestId(1));
    queue.set_waiting(RequestId(1));
    assert_eq!(queue.entry_count(), 0);
    assert!(!queue.has_waiting());
}

#[test]
fn deadlines_come_due_in_order() {
    let mut queue = RequestQueue::default();
    insert(&mut queue, 1, 1.0);
    queue.add_deadline(at(40), RequestId(1));
    assert_eq!(queue.next_deadline(), Some(at(40)));
    assert!(queue.pop_due_deadline(at(39)).is_none());
    assert!(queue.pop_due_deadline(at(40)).is_some_and(|deadline| deadline.at == at(40)));
    assert!(queue.pop_due_deadline(at(200)).is_some_and(|deadline| deadline.at == at(100)));
    assert!(queue.pop_due_deadline(at(200)).is_none());
}
