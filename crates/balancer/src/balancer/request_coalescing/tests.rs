use super::InFlightFetches;
use crate::ids::{Key, RequestId};

const KEY: Key = Key(1);
const LEADER: RequestId = RequestId(1);

#[test]
fn requests_join_the_fetch_of_their_key_and_are_returned_when_it_ends() {
    let mut fetches = InFlightFetches::default();
    assert!(!fetches.join(KEY, RequestId(2)), "there is no fetch yet");
    fetches.start(KEY, LEADER);
    assert!(fetches.join(KEY, RequestId(2)));
    assert!(fetches.join(KEY, RequestId(3)));
    assert!(!fetches.join(Key(2), RequestId(4)));
    assert_eq!(fetches.finish(KEY, LEADER), [RequestId(2), RequestId(3)]);
    assert_eq!(fetches.len(), 0);
}

#[test]
fn leader_does_not_join_its_own_fetch() {
    let mut fetches = InFlightFetches::default();
    fetches.start(KEY, LEADER);
    assert!(!fetches.join(KEY, LEADER));
}

#[test]
fn only_the_leader_ends_a_fetch() {
    let mut fetches = InFlightFetches::default();
    fetches.start(KEY, LEADER);
    fetches.start(KEY, RequestId(2));
    assert!(fetches.finish(KEY, RequestId(2)).is_empty());
    assert_eq!(fetches.len(), 1);
    fetches.finish(KEY, LEADER);
    assert_eq!(fetches.len(), 0);
}
