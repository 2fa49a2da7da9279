use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::ids::{RequestClassId, RequestId};
use granitelb_balancer::time::{Span, Time};
use proptest::prelude::*;
use test_case::test_case;

use super::id_hash::IdHash;
use super::used_ids::UsedIds;
use super::{MIN_HELD_IDS, RepeatPolicy, RequestIdError, RequestIds};
use crate::proxy::client_request_id::ClientRequestId;

const READ: RequestClassId = RequestClassId(0);
const PAYMENT: RequestClassId = RequestClassId(1);
const HOLD_TIME: Span = Span::from_millis(2000);

fn request_ids() -> RequestIds {
    let mut ids = RequestIds::default();
    ids.set_policy(RepeatPolicy { is_repeatable: vec![true, false], hold_time: HOLD_TIME });
    ids
}

fn id(number: u64) -> ClientRequestId {
    ClientRequestId::parse(&format!("r{number}")).expect("an identifier")
}

/// Inserts a payment that is answered at once and may have been executed.
fn execute(ids: &mut RequestIds, now: Time, number: u64) -> Result<(), RequestIdError> {
    ids.insert(now, &id(number), RequestId(number), PAYMENT)?;
    ids.on_finished(&id(number));
    Ok(())
}

/// Guards against a crowd of payments that has earlier identifiers forgotten: the crowd's payments are refused.
#[test]
fn full_table_refuses_new_identifiers_and_forgets_none_before_its_time() {
    let mut ids = request_ids();
    let begin = Time(1);
    for number in 0..MIN_HELD_IDS as u64 {
        assert_eq!(execute(&mut ids, begin, number), Ok(()));
    }
    let end = begin + HOLD_TIME;
    let just_before = Time(end.0 - 1);
    assert_eq!(execute(&mut ids, just_before, 1000), Err(RequestIdError::NoCapacity));
    assert_eq!(execute(&mut ids, just_before, 0), Err(RequestIdError::Held));
    assert_eq!(execute(&mut ids, just_before, 1000), Err(RequestIdError::Used), "the request was read");
    assert_eq!(ids.insert(just_before, &id(1001), RequestId(1001), READ), Ok(()), "reads need no room");
    // Later, only as many are no longer held as room is needed, and none counts as new.
    assert_eq!(execute(&mut ids, end, 1002), Ok(()));
    assert_eq!(execute(&mut ids, end, 1), Err(RequestIdError::Held));
    assert_eq!(execute(&mut ids, end, 0), Err(RequestIdError::Used));
}

/// Reads under new identifiers, as many as have all identifiers forgotten that are not held.
fn read_until_all_are_forgotten(ids: &mut RequestIds, now: Time) {
    for number in 10_000..10_000 + 2 * ids.used.capacity() as u64 {
        assert_eq!(ids.insert(now, &id(number), RequestId(number), READ), Ok(()));
        ids.on_finished(&id(number));
    }
}

/// Guards against an identifier that is forgotten with an earlier request which had it and never ran.
#[test]
fn released_identifier_stays_used_and_a_late_release_frees_no_later_request() {
    let mut ids = request_ids();
    assert_eq!(execute(&mut ids, Time(1), 5), Ok(()));
    ids.release(&id(5), RequestId(5));
    assert_eq!(execute(&mut ids, Time(2), 5), Err(RequestIdError::Used));
    read_until_all_are_forgotten(&mut ids, Time(2));
    assert_eq!(ids.insert(Time(2), &id(5), RequestId(6), PAYMENT), Ok(()));
    ids.on_finished(&id(5));
    ids.release(&id(5), RequestId(5));
    assert_eq!(execute(&mut ids, Time(3), 5), Err(RequestIdError::Held));
    for number in 100..100 + MIN_HELD_IDS as u64 {
        let _ = execute(&mut ids, Time(2) + Span(HOLD_TIME.0 - 1), number);
    }
    assert_eq!(execute(&mut ids, Time(4), 5), Err(RequestIdError::Held));
}

/// Guards against a crowd of reads that has the identifiers of payments or of pending requests forgotten.
#[test]
fn reads_take_no_room_from_held_and_pending_identifiers() {
    let mut ids = request_ids();
    assert_eq!(execute(&mut ids, Time(1), 1), Ok(()));
    assert_eq!(ids.insert(Time(1), &id(2), RequestId(2), READ), Ok(()));
    read_until_all_are_forgotten(&mut ids, Time(1));
    assert_eq!(execute(&mut ids, Time(1), 1), Err(RequestIdError::Held));
    assert_eq!(execute(&mut ids, Time(1), 2), Err(RequestIdError::Pending));
    ids.on_finished(&id(2));
    assert_eq!(execute(&mut ids, Time(1), 2), Err(RequestIdError::Used));
}

/// Guards against identifiers that are forgotten too soon, and against memory without a bound, also where the memory
/// limit changes. At least so many identifiers are remembered: `docs/message-validity.md` states for how long.
#[test_case(32, 57_344; "with 32 MiB")]
#[test_case(48, 114_688; "with 48 MiB")]
#[test_case(192, 114_688; "with 192 MiB")]
fn last_identifiers_are_remembered_and_the_oldest_are_forgotten(memory_mib: usize, expected: usize) {
    let mut ids = UsedIds::default();
    ids.insert(IdHash(0));
    ids.set_memory(memory_mib * 1024 * 1024);
    assert_eq!(ids.capacity(), expected);
    let count = 3 * expected as u64;
    for number in 0..count {
        ids.insert(IdHash(number));
        assert!(ids.contains(IdHash((number + 1).saturating_sub(expected as u64))));
    }
    assert!(!ids.contains(IdHash(0)));
    let remembered = (0..count).filter(|number| ids.contains(IdHash(*number))).count();
    assert!((expected..=2 * expected).contains(&remembered), "{remembered}");
    ids.set_memory(16 * 1024 * 1024);
    assert!((count - ids.capacity() as u64..count).all(|number| ids.contains(IdHash(number))));
}

/// What happens to a request.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request arrives.
    Arrive {
        number: u64,
        is_payment: bool,
    },
    /// A pending request ends, and may have been executed.
    Execute {
        number: u64,
    },
    /// A pending request ends that was never executed.
    Drop {
        number: u64,
    },
    Wait {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let number = || 0..2000u64;
    prop_oneof![
        6 => (number(), prop::bool::weighted(0.8)).prop_map(|(number, is_payment)| Event::Arrive { number, is_payment }),
        3 => number().prop_map(|number| Event::Execute { number }),
        2 => number().prop_map(|number| Event::Drop { number }),
        1 => (1..400u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a second request under one identifier, whatever became of the first, against an identifier that
    /// must be held and is only remembered, and against memory that grows with the number of requests.
    #[test]
    fn no_identifier_is_used_twice(events in prop::collection::vec(event(), 1..3000)) {
        let (mut ids, mut now, mut last_request) = (request_ids(), Time(1), 0);
        let mut pending: BTreeMap<u64, (RequestId, bool)> = BTreeMap::new();
        let mut read: BTreeSet<u64> = BTreeSet::new();
        let mut executed_at: BTreeMap<u64, Time> = BTreeMap::new();
        for event in events {
            match event {
                Event::Wait { ms } => now = now + Span::from_millis(ms),
                Event::Arrive { number, is_payment } => {
                    last_request += 1;
                    let class = if is_payment { PAYMENT } else { READ };
                    let inserted = ids.insert(now, &id(number), RequestId(last_request), class);
                    let was_executed = executed_at.get(&number).is_some_and(|at| now - *at < HOLD_TIME);
                    match inserted {
                        Ok(()) => {
                            prop_assert!(read.insert(number));
                            pending.insert(number, (RequestId(last_request), is_payment));
                            if is_payment {
                                executed_at.insert(number, now);
                            }
                        }
                        Err(RequestIdError::NoCapacity) => prop_assert!(is_payment && read.insert(number)),
                        Err(RequestIdError::Pending) => prop_assert!(pending.contains_key(&number)),
                        Err(RequestIdError::Held) => prop_assert!(executed_at.contains_key(&number)),
                        Err(RequestIdError::Used) => prop_assert!(read.contains(&number) && !was_executed),
                    }
                }
                Event::Execute { number } | Event::Drop { number } => {
                    let Some((request, is_payment)) = pending.remove(&number) else { continue };
                    ids.on_finished(&id(number));
                    if matches!(event, Event::Drop { .. }) {
                        ids.release(&id(number), request);
                        if is_payment {
                            executed_at.remove(&number);
                        }
                    }
                }
            }
            prop_assert!(ids.held.len() <= MIN_HELD_IDS && ids.order.len() <= 2 * MIN_HELD_IDS);
        }
    }
}
