use std::collections::BTreeMap;

use granitelb_balancer::ids::{RequestClassId, RequestId};
use granitelb_balancer::time::{Span, Time};
use proptest::prelude::*;

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
    assert_eq!(ids.insert(just_before, &id(1000), RequestId(1000), READ), Ok(()), "reads need no room");
    // Later, only as many are forgotten as room is needed.
    assert_eq!(execute(&mut ids, end, 1001), Ok(()));
    assert_eq!(execute(&mut ids, end, 1), Err(RequestIdError::Held));
    assert_eq!(execute(&mut ids, end, 0), Ok(()));
}

/// Guards against an identifier that is forgotten with an earlier request which had it and never ran.
#[test]
fn released_identifier_is_held_anew_by_its_next_request() {
    let mut ids = request_ids();
    assert_eq!(execute(&mut ids, Time(1), 5), Ok(()));
    ids.release(&id(5), RequestId(5));
    assert_eq!(ids.insert(Time(2), &id(5), RequestId(6), PAYMENT), Ok(()));
    ids.on_finished(&id(5));
    ids.release(&id(5), RequestId(5));
    assert_eq!(execute(&mut ids, Time(3), 5), Err(RequestIdError::Held));
    for number in 100..100 + MIN_HELD_IDS as u64 {
        let _ = execute(&mut ids, Time(2) + Span(HOLD_TIME.0 - 1), number);
    }
    assert_eq!(execute(&mut ids, Time(4), 5), Err(RequestIdError::Held));
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
    let number = || 0..600u64;
    prop_oneof![
        6 => (number(), prop::bool::weighted(0.8)).prop_map(|(number, is_payment)| Event::Arrive { number, is_payment }),
        3 => number().prop_map(|number| Event::Execute { number }),
        2 => number().prop_map(|number| Event::Drop { number }),
        1 => (1..400u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a second execution within the time for which an identifier is held, and against memory that
    /// grows with the number of requests.
    #[test]
    fn no_payment_runs_twice_within_the_time(events in prop::collection::vec(event(), 1..3000)) {
        let (mut ids, mut now, mut last_request) = (request_ids(), Time(1), 0);
        let mut pending: BTreeMap<u64, (RequestId, bool)> = BTreeMap::new();
        let mut executed_at: BTreeMap<u64, Time> = BTreeMap::new();
        for event in events {
            match event {
                Event::Wait { ms } => now = now + Span::from_millis(ms),
                Event::Arrive { number, is_payment } => {
                    last_request += 1;
                    let class = if is_payment { PAYMENT } else { READ };
                    let inserted = ids.insert(now, &id(number), RequestId(last_request), class);
                    let was_executed = executed_at.get(&number).is_some_and(|at| now - *at < HOLD_TIME);
                    prop_assert!(inserted.is_err() || (!was_executed && !pending.contains_key(&number)));
                    if inserted.is_ok() {
                        pending.insert(number, (RequestId(last_request), is_payment));
                        if is_payment {
                            executed_at.insert(number, now);
                        }
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
