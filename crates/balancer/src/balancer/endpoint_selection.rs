//! Selection of the endpoint for a key, by the mechanism of Liu, Cheng and Cheng, "Enhanced Dynamic Web Page
//! Allocation using Fuzzy Neural Network". Numbers in parentheses refer to equations of that paper.
//!
//! Each key has three candidates, the first-ranked endpoints of the key's slot in the [`SlotTable`]. The
//! candidate of the highest weight is chosen (2). Two updates change the weights, the paper's *pull* and
//! *push* (4, 5):
//!
//! - The pull (7) is applied when a key is requested. It raises the weight w of each of the key's candidates
//!   by η H (1 − w), where the neighbourhood function H is larger for higher-ranked candidates. The width of
//!   the neighbourhood is γ = λ e^(−f) + β, with f the key's share of the requests.
//! - The push (8) is computed for each endpoint in each learning step, b\[n\] = α (U_avg − U) + K b\[n−1\]
//!   with U the endpoint's usage, and is applied to all stored weights. Through Ψ (6) a positive push moves
//!   weights towards 0.9 and a negative push moves them towards 0.
//!
//! Weights start within \[0.2, 0.9\] and each update is a convex step towards 0, 0.9 or 1, so they stay
//! within \[0, 1\]. The paper does not specify the constants below; `docs/design.md` gives the reasons for
//! their values.

use std::collections::{BTreeMap, HashMap};

use crate::control_plane::ShardMap;
use crate::decaying::DecayingSum;
use crate::ids::{EndpointId, Key};
use crate::seeded_hash::{hash_of, to_unit_interval};
use crate::slot_table::SlotTable;
use crate::time::{Span, Time};

use super::RATE_TIME_CONSTANT;
use super::endpoint_list::EndpointList;
use super::load_reports::EndpointUsage;

/// The number of candidates of a key.
const CANDIDATES: usize = 3;
/// The lowest initial weights by rank.
const INITIAL_WEIGHTS: [f64; CANDIDATES] = [0.6, 0.4, 0.2];
/// The key's hash adds up to this value to an initial weight, so that a push moves keys to other candidates
/// one by one.
const INITIAL_WEIGHT_SPREAD: f64 = 0.3;
/// η, the rate of the pull.
const PULL_RATE: f64 = 0.05;
/// λ, the part of the neighbourhood's width that shrinks with a key's share of the requests.
const NEIGHBOURHOOD_LAMBDA: f64 = 0.2;
/// β, the constant part of the neighbourhood's width.
const NEIGHBOURHOOD_BETA: f64 = 0.15;
/// α, the rate of the push.
const PUSH_RATE: f64 = 0.01;
/// K, the share of the previous push that a learning step keeps; below one, so that a push decays.
const PUSH_PERSISTENCE: f64 = 0.5;
/// d, the steepness of Ψ (6).
const PUSH_STEEPNESS: f64 = 1.0;
/// The weight that a positive push moves weights towards.
const PUSH_TARGET: f64 = 0.9;
/// The interval between learning steps.
pub(super) const LEARNING_INTERVAL: Span = Span::from_millis(250);
/// The largest number of keys with stored weights. Above it, the half with the fewest recent requests is
/// dropped.
const MAX_KEYS: usize = 4096;
/// The number of standard deviations by which a key's request count is lowered before the key's share is
/// compared with one endpoint's part, so that random variation does not make a key count as heavy.
const HEAVY_KEY_CONFIDENCE: f64 = 1.5;

/// An endpoint that a key's requests may be sent to, with its weight.
#[derive(Clone, Copy)]
struct Candidate {
    endpoint: EndpointId,
    weight: f64,
}

type Candidates = [Option<Candidate>; CANDIDATES];

/// The stored state of a key.
struct KeyState {
    /// The version of the slot table by which the candidates were chosen.
    table_version: u64,
    slot: u64,
    candidates: Candidates,
    requests: DecayingSum,
}

/// The slot table, and the candidates and weights of recently requested keys.
pub(super) struct EndpointSelection {
    seed: u64,
    /// The serving caches, ranked in each slot.
    table: SlotTable<CANDIDATES>,
    keys: HashMap<Key, KeyState>,
    requests: DecayingSum,
    last_step_at: Time,
}

impl EndpointSelection {
    pub fn new(seed: u64, now: Time) -> EndpointSelection {
        EndpointSelection {
            seed,
            table: SlotTable::new(),
            keys: HashMap::new(),
            requests: DecayingSum::new(RATE_TIME_CONSTANT, now),
            last_step_at: now,
        }
    }

    /// The number of keys with stored weights.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// The number of endpoints in the slot table.
    pub fn endpoint_count(&self) -> usize {
        self.table.len()
    }

    pub fn set_endpoints(&mut self, endpoints: Vec<(EndpointId, f64)>) {
        self.table.set_endpoints(endpoints);
    }

    pub fn set_shard_map(&mut self, shard_map: &ShardMap) {
        self.table.set_shard_map(shard_map);
    }

    /// A key's candidates in descending order of weight.
    pub fn ranked_candidates(&self, key: Key) -> Vec<EndpointId> {
        let candidates = match self.keys.get(&key) {
            Some(state) if state.table_version == self.table.version() => state.candidates,
            Some(state) => self.initial_candidates(key, state.slot),
            None => self.initial_candidates(key, self.table.slot(hash_of(key))),
        };
        let mut ranked: Vec<Candidate> = candidates.into_iter().flatten().collect();
        ranked.sort_by(|a, b| b.weight.total_cmp(&a.weight));
        ranked.into_iter().map(|candidate| candidate.endpoint).collect()
    }

    /// The endpoint that was a key's first candidate before its shard's migration; `None` without dual reads.
    pub fn previous_endpoint(&self, key: Key) -> Option<EndpointId> {
        let slot = self.table.previous_slot(hash_of(key))?;
        let candidates = self.initial_candidates(key, slot).into_iter().flatten();
        let best = candidates.max_by(|a, b| a.weight.total_cmp(&b.weight));
        best.map(|candidate| candidate.endpoint)
    }

    /// Stores the ranking of a known key's slot, so that a request that waits after a change of the slot
    /// table does not compute the ranking again at each dispatch.
    pub fn store_ranking(&mut self, key: Key) {
        if let Some(state) = self.keys.get(&key) {
            self.table.store_ranking(state.slot);
        }
    }

    /// Adds a request for any key to the total that keys' shares are related to.
    pub fn count_request(&mut self, now: Time) {
        self.requests.add(now, 1.0);
    }

    /// Updates a key that caches are asked for: stores the key's candidates and applies the pull.
    pub fn on_key_requested(&mut self, now: Time, key: Key, nodes: f64) {
        let total = self.requests.read(now).max(1.0);
        let known = self.keys.get(&key).map_or(0.0, |state| state.requests.read(now));
        let count = known + 1.0;
        let slot = self.slot(key, (count - HEAVY_KEY_CONFIDENCE * count.sqrt()) / total, nodes);
        self.table.store_ranking(slot);
        self.refresh_candidates(now, key, slot);
        if let Some(state) = self.keys.get_mut(&key) {
            state.requests.add(now, 1.0);
            let share = state.requests.read(now) / total;
            pull(&mut state.candidates, share);
        }
        if self.keys.len() > MAX_KEYS {
            self.drop_least_requested(now);
        }
    }

    /// Updates a key's stored candidates by the slot table.
    fn refresh_candidates(&mut self, now: Time, key: Key, slot: u64) {
        let initial = self.initial_candidates(key, slot);
        let table_version = self.table.version();
        let requests = DecayingSum::new(RATE_TIME_CONSTANT, now);
        let new = KeyState { table_version, slot, candidates: initial, requests };
        let state = self.keys.entry(key).or_insert(new);
        if state.table_version == table_version && state.slot == slot {
            return;
        }
        state.candidates = merge_candidates(initial, &state.candidates);
        state.table_version = table_version;
        state.slot = slot;
    }

    /// Drops the stored state of the half of the keys with the fewest recent requests.
    fn drop_least_requested(&mut self, now: Time) {
        let mut counts: Vec<f64> = self.keys.values().map(|state| state.requests.read(now)).collect();
        let (_, median, _) = counts.select_nth_unstable_by(MAX_KEYS / 2, f64::total_cmp);
        let median = *median;
        self.keys.retain(|_, state| state.requests.read(now) > median);
    }

    /// The slot of a key with this share of the requests. All nodes use the same slot, unless the key's share
    /// exceeds one endpoint's part of all requests. Then the nodes are distributed evenly over several slots,
    /// each with at most about one endpoint's part.
    fn slot(&self, key: Key, share: f64, nodes: f64) -> u64 {
        let slot_count = (share * self.table.len() as f64).min(nodes).max(1.0);
        let index = hash_of((key, self.seed)) % (slot_count as u64).next_power_of_two();
        let hash = if index == 0 { hash_of(key) } else { hash_of((key, index)) };
        self.table.slot(hash)
    }

    /// A key's candidates in a slot, with their initial weights.
    fn initial_candidates(&self, key: Key, slot: u64) -> Candidates {
        let ranking = self.table.ranks(slot);
        std::array::from_fn(|rank| {
            let endpoint = ranking[rank]?;
            let spread = INITIAL_WEIGHT_SPREAD * to_unit_interval(hash_of((key, rank)));
            Some(Candidate { endpoint, weight: INITIAL_WEIGHTS[rank] + spread })
        })
    }

    /// Returns whether a learning step is due, and schedules the next step. Several missed steps count as
    /// one.
    pub fn start_due_learning_step(&mut self, now: Time) -> bool {
        let steps = (now - self.last_step_at).0 / LEARNING_INTERVAL.0;
        self.last_step_at = self.last_step_at + Span(steps * LEARNING_INTERVAL.0);
        steps > 0
    }

    /// Applies the push of each endpoint to all stored weights.
    pub fn push(&mut self, endpoints: &EndpointList) {
        let pushes: BTreeMap<EndpointId, f64> =
            endpoints.iter().map(|endpoint| (endpoint.id(), psi(endpoint.push))).collect();
        let candidates = self.keys.values_mut().flat_map(|state| state.candidates.iter_mut().flatten());
        for candidate in candidates {
            let push = pushes.get(&candidate.endpoint).copied().unwrap_or(0.0);
            let distance = if push >= 0.0 { PUSH_TARGET - candidate.weight } else { candidate.weight };
            candidate.weight += push * distance;
        }
    }
}

/// Updates each endpoint's push by the ratio of the endpoint's usage to the mean usage (8).
pub(super) fn update_pushes(endpoints: &mut EndpointList, usages: &[EndpointUsage]) {
    let sum = usages.iter().map(|usage| usage.usage).sum::<f64>();
    let mean = sum / usages.len().max(1) as f64;
    for usage in usages {
        let Some(endpoint) = endpoints.get_mut(usage.endpoint) else { continue };
        let relative = if mean > 0.0 { usage.usage / mean } else { 1.0 };
        endpoint.push = PUSH_RATE * (1.0 - relative) + PUSH_PERSISTENCE * endpoint.push;
    }
}

/// Ψ (6): maps a push to a step between −1 and 1.
fn psi(push: f64) -> f64 {
    let decayed = (-PUSH_STEEPNESS * push).exp();
    (1.0 - decayed) / (1.0 + decayed)
}

/// Applies the pull (7) to the candidates of a requested key with this share of the requests.
fn pull(candidates: &mut Candidates, share: f64) {
    let width = NEIGHBOURHOOD_LAMBDA * (-share).exp() + NEIGHBOURHOOD_BETA;
    let before = *candidates;
    for candidate in candidates.iter_mut().flatten() {
        let ranks_higher = |other: &&Candidate| {
            other.weight > candidate.weight
                || other.weight == candidate.weight && other.endpoint < candidate.endpoint
        };
        let rank = before.iter().flatten().filter(ranks_higher).count() as f64;
        let neighbourhood = (-rank * rank / (2.0 * width * width)).exp();
        candidate.weight += PULL_RATE * neighbourhood * (1.0 - candidate.weight);
    }
}

/// A key's new candidates, with the stored weights of those that were candidates before. If another endpoint
/// ranks first, all weights start at their initial values at every node: with the stored weights, keys
/// would stay at the other candidates and leave the new endpoint idle.
fn merge_candidates(initial: Candidates, known: &Candidates) -> Candidates {
    let first = |candidates: &Candidates| candidates[0].map(|candidate| candidate.endpoint);
    if first(&initial) != first(known) {
        return initial;
    }
    initial.map(|candidate| {
        let candidate = candidate?;
        let known = known.iter().flatten().find(|known| known.endpoint == candidate.endpoint);
        Some(known.copied().unwrap_or(candidate))
    })
}

#[cfg(test)]
mod tests;
