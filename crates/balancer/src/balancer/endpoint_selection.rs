//! Selection of the endpoint for a key: the mechanism of Liu, Cheng and Cheng, "Enhanced Dynamic Web Page Allocation
//! using Fuzzy Neural Network". Numbers in parentheses are the paper's equations.
//!
//! Each key has three candidates, the first endpoints of its slot in the [`SlotTable`]. The candidate of the highest
//! weight is chosen (2). The weights move by the *pull* and the *push* (4, 5):
//!
//! - The pull (7) acts when a key is requested, and raises the key's weights by η H (1 − w): the higher a candidate
//!   ranks, the more. The width of the neighbourhood is γ = λ e^(−f) + β, with f the key's share of the requests.
//! - The push (8) acts in each learning step on all stored weights, b\[n\] = α (U_avg − U) + K b\[n−1\], with U the
//!   endpoint's usage. Through Ψ (6) it drives weights towards 0.9 while it is positive, else towards 0.
//!
//! Weights start in \[0.2, 0.9\] and move by convex steps towards 0, 0.9 or 1, so they stay within \[0, 1\]. The paper
//! leaves the figures below open; `docs/design.md` gives the reasons for them.

use std::collections::{BTreeMap, HashMap};

use crate::control_plane::ShardMap;
use crate::decaying::DecayingSum;
use crate::ids::{EndpointId, Key};
use crate::seeded_hash::{hash_of, unit};
use crate::slot_table::SlotTable;
use crate::time::{Span, Time};

use super::RATE_TIME_CONSTANT;
use super::endpoint_list::EndpointList;
use super::load_reports::EndpointUsage;

/// Candidates of a key.
const CANDIDATES: usize = 3;
/// Initial weights by rank, raised by up to `INITIAL_WEIGHT_SPREAD` by the key's hash, so that a push moves keys one
/// by one.
const INITIAL_WEIGHTS: [f64; CANDIDATES] = [0.6, 0.4, 0.2];
const INITIAL_WEIGHT_SPREAD: f64 = 0.3;
/// The pull's rate η.
const PULL_RATE: f64 = 0.05;
/// λ and β of the pull's neighbourhood.
const NEIGHBOURHOOD_LAMBDA: f64 = 0.2;
const NEIGHBOURHOOD_BETA: f64 = 0.15;
/// The push's rate α.
const PUSH_RATE: f64 = 0.01;
/// The push's memory K; below one, so that a push dies out.
const PUSH_PERSISTENCE: f64 = 0.5;
/// d, the steepness of Ψ.
const PUSH_STEEPNESS: f64 = 1.0;
/// The weight that a positive push drives towards.
const PUSH_TARGET: f64 = 0.9;
/// Interval of the learning steps.
pub(super) const LEARNING_INTERVAL: Span = Span::from_millis(250);
/// Keys with stored weights. Beyond it the half that was requested least of late is dropped.
const MAX_KEYS: usize = 4096;
/// A key's request count is taken to be this many standard deviations lower, lest chance make a key look heavy.
const HEAVY_KEY_CONFIDENCE: f64 = 1.5;

/// An endpoint that a key may be sent to.
#[derive(Clone, Copy)]
struct Candidate {
    endpoint: EndpointId,
    weight: f64,
}

type Candidates = [Option<Candidate>; CANDIDATES];

/// The stored state of a key.
struct KeyState {
    /// The version of the slot table that the candidates are from.
    table_version: u64,
    slot: u64,
    candidates: Candidates,
    requests: DecayingSum,
}

/// The slot table and the keys' weights.
pub(super) struct EndpointSelection {
    seed: u64,
    /// The serving caches, and the first three of them in each slot.
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

    /// The number of endpoints that can be selected.
    pub fn endpoint_count(&self) -> usize {
        self.table.len()
    }

    pub fn set_endpoints(&mut self, endpoints: Vec<(EndpointId, f64)>) {
        self.table.set_endpoints(endpoints);
    }

    pub fn set_shard_map(&mut self, shard_map: &ShardMap) {
        self.table.set_shard_map(shard_map);
    }

    /// A key's candidates, the highest weight first.
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

    /// During a migration with dual reads, the first candidate of a key before the migration.
    pub fn previous_endpoint(&self, key: Key) -> Option<EndpointId> {
        let slot = self.table.previous_slot(hash_of(key))?;
        let candidates = self.initial_candidates(key, slot).into_iter().flatten();
        let best = candidates.max_by(|a, b| a.weight.total_cmp(&b.weight));
        best.map(|candidate| candidate.endpoint)
    }

    /// Stores the ranking of a known key's slot. Requests that wait while the table changes then don't rank the slot
    /// each time that they are looked at.
    pub fn store_ranking(&mut self, key: Key) {
        if let Some(state) = self.keys.get(&key) {
            self.table.store_ranking(state.slot);
        }
    }

    /// Counts a request, of whatever key.
    pub fn count_request(&mut self, now: Time) {
        self.requests.add(now, 1.0);
    }

    /// A key is requested of the caches: stores its weights and applies the pull.
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

    /// Brings a key's stored candidates up to date with the slot table.
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

    fn drop_least_requested(&mut self, now: Time) {
        let mut counts: Vec<f64> = self.keys.values().map(|state| state.requests.read(now)).collect();
        let (_, median, _) = counts.select_nth_unstable_by(MAX_KEYS / 2, f64::total_cmp);
        let median = *median;
        self.keys.retain(|_, state| state.requests.read(now) > median);
    }

    /// The slot of a key with this share of the requests. It is the same at every node, unless the key is heavier than
    /// one endpoint's part of the requests. Then the nodes divide evenly among as many slots as it takes for each to
    /// have about such a part.
    fn slot(&self, key: Key, share: f64, nodes: f64) -> u64 {
        let parts = (share * self.table.len() as f64).min(nodes).max(1.0);
        let part = hash_of((key, self.seed)) % (parts as u64).next_power_of_two();
        let hash = if part == 0 { hash_of(key) } else { hash_of((key, part)) };
        self.table.slot(hash)
    }

    fn initial_candidates(&self, key: Key, slot: u64) -> Candidates {
        let ranking = self.table.ranks(slot);
        std::array::from_fn(|rank| {
            let endpoint = ranking[rank]?;
            let spread = INITIAL_WEIGHT_SPREAD * unit(hash_of((key, rank)));
            Some(Candidate { endpoint, weight: INITIAL_WEIGHTS[rank] + spread })
        })
    }

    /// Whether a learning step is due. If so, the next one is due an interval later.
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

/// The endpoints' new pushes by their usage against the mean (8).
pub(super) fn update_pushes(endpoints: &mut EndpointList, usages: &[EndpointUsage]) {
    let sum = usages.iter().map(|usage| usage.usage).sum::<f64>();
    let mean = sum / usages.len().max(1) as f64;
    for usage in usages {
        let Some(endpoint) = endpoints.get_mut(usage.endpoint) else { continue };
        let relative = if mean > 0.0 { usage.usage / mean } else { 1.0 };
        endpoint.push = PUSH_RATE * (1.0 - relative) + PUSH_PERSISTENCE * endpoint.push;
    }
}

/// Ψ (6).
fn psi(push: f64) -> f64 {
    let decayed = (-PUSH_STEEPNESS * push).exp();
    (1.0 - decayed) / (1.0 + decayed)
}

/// Pulls the weights of a requested key, which has this share of the requests (7).
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

/// New candidates with the weights that they had. Where another endpoint ranks first, the weights start anew at every
/// node alike: keys that stay with the other candidates would leave the new one idle.
fn merge_candidates(initial: Candidates, known: &Candidates) -> Candidates {
    let first = |candidates: &Candidates| candidates[0].map(|candidate| candidate.endpoint);
    if first(&initial) != first(known) {
        return initial;
    }
    initial.map(|slot| {
        let candidate = slot?;
        let known = known.iter().flatten().find(|known| known.endpoint == candidate.endpoint);
        Some(known.copied().unwrap_or(candidate))
    })
}

#[cfg(test)]
mod tests;
