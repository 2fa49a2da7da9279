use super::{EndpointSelection, MAX_KEYS, PULL_RATE, psi, update_pushes};
use crate::balancer::load_reports::EndpointUsage;
use crate::balancer::test_support::{at, endpoints, settings};
use crate::ids::{EndpointId, Key};
use crate::settings::Effect;

const KEY: Key = Key(1);

fn selection(caches: u64) -> EndpointSelection {
    let mut selection = EndpointSelection::new(7, at(0));
    selection.set_endpoints((0..caches).map(|id| (EndpointId(id), 1.0)).collect());
    selection
}

fn request(selection: &mut EndpointSelection, ms: u64, key: Key) {
    selection.count_request(at(ms));
    selection.on_key_requested(at(ms), key, 1.0);
}

fn weights(selection: &EndpointSelection, key: Key) -> Vec<f64> {
    selection.keys[&key].candidates.iter().flatten().map(|candidate| candidate.weight).collect()
}

#[test]
fn key_has_three_candidates_from_the_slot_table() {
    let mut selection = selection(10);
    let before = selection.ranked_candidates(KEY);
    assert_eq!(before.len(), 3);
    request(&mut selection, 0, KEY);
    assert_eq!(selection.ranked_candidates(KEY), before, "the first request leaves the order unchanged");
    assert_eq!(
        self::selection(2).ranked_candidates(KEY).len(),
        2,
        "with two caches a key has two candidates"
    );
}

#[test]
fn pull_raises_the_highest_weight_of_a_requested_key_most() {
    let mut selection = selection(10);
    request(&mut selection, 0, KEY);
    let before = weights(&selection, KEY);
    request(&mut selection, 10, KEY);
    let after = weights(&selection, KEY);
    let mut relative: Vec<f64> = before.iter().zip(&after).map(|(b, a)| (a - b) / (1.0 - b)).collect();
    relative.sort_by(|a, b| b.total_cmp(a));
    assert!((relative[0] - PULL_RATE).abs() < 1e-9, "{relative:?}");
    // The neighbourhood is narrow: the pull is very small at the second rank, and rounds to zero at the
    // third.
    assert!(relative[1] > 0.0 && relative[1] < 1e-4 * PULL_RATE, "{relative:?}");
    assert!((0.0..relative[1]).contains(&relative[2]), "{relative:?}");
}

#[test]
fn push_lowers_weights_of_endpoints_with_usage_above_the_mean() {
    let mut selection = selection(2);
    request(&mut selection, 0, KEY);
    let settings = settings(Effect::Idempotent);
    let mut list = endpoints(2, &settings);
    let before = weights(&selection, KEY);
    let used = selection.keys[&KEY].candidates[0].expect("a candidate").endpoint;
    let usages: Vec<EndpointUsage> = (0..2)
        .map(|id| EndpointUsage {
            endpoint: EndpointId(id),
            usage: if EndpointId(id) == used { 3.0 } else { 1.0 },
        })
        .collect();
    update_pushes(&mut list, &usages);
    selection.push(&list);
    let after = weights(&selection, KEY);
    assert!(after[0] < before[0], "usage above the mean moves the weight towards 0");
    assert!(after[1] > before[1], "usage below the mean moves the weight towards 0.9");
    for _ in 0..10_000 {
        update_pushes(&mut list, &usages);
        selection.push(&list);
    }
    assert!(weights(&selection, KEY).iter().all(|weight| (0.0..=0.9).contains(weight)));
}

#[test]
fn psi_is_odd_and_bounded() {
    assert_eq!(psi(0.0), 0.0);
    assert!((psi(0.5) + psi(-0.5)).abs() < 1e-12);
    assert!(psi(50.0) <= 1.0 && psi(-50.0) >= -1.0);
}

#[test]
fn learning_steps_are_due_once_an_interval() {
    let mut selection = selection(1);
    assert!(!selection.start_due_learning_step(at(249)));
    assert!(selection.start_due_learning_step(at(250)));
    assert!(!selection.start_due_learning_step(at(499)));
    assert!(selection.start_due_learning_step(at(1300)), "one step stands for several missed steps");
    assert!(!selection.start_due_learning_step(at(1300)));
    assert!(selection.start_due_learning_step(at(1500)));
}

#[test]
fn number_of_stored_keys_is_bounded() {
    let mut selection = selection(3);
    for key in 0..MAX_KEYS as u64 + 1 {
        request(&mut selection, key, Key(key));
        assert!(selection.key_count() <= MAX_KEYS);
    }
    assert!(selection.key_count() >= MAX_KEYS / 2 - 1);
    assert!(selection.keys.contains_key(&Key(MAX_KEYS as u64)), "the latest key stays");
}

#[test]
fn weights_are_reset_if_another_endpoint_ranks_first() {
    let mut selection = selection(10);
    for n in 0..50 {
        request(&mut selection, n, KEY);
    }
    let first = selection.keys[&KEY].candidates[0].expect("a candidate").endpoint;
    let others: Vec<_> = (0..10).map(EndpointId).filter(|id| *id != first).map(|id| (id, 1.0)).collect();
    selection.set_endpoints(others);
    let slot = selection.keys[&KEY].slot;
    let initial = selection.initial_candidates(KEY, slot);
    selection.refresh_candidates(at(60), KEY, slot);
    let expected: Vec<f64> = initial.iter().flatten().map(|candidate| candidate.weight).collect();
    assert_eq!(weights(&selection, KEY), expected);
}
