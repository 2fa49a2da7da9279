//! The reported requests of one request class, prepared for estimation: each request with its pseudo-value,
//! the counts of choices from which propensities follow, and cross-fitted outcome models.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use super::kaplan_meier::PseudoValue;
use super::outcome::{MIN_SUPPORT, OutcomeMeasure, ReportedRequest, pseudo_values_by_group};
use super::outcome_model::OutcomeModel;
use super::sampled_request::SampledRequest;
use crate::member::ForwarderId;

/// The smallest propensity at which requests are weighted by its inverse; below it, one request would stand
/// for too many.
pub(super) const MIN_PROPENSITY: f64 = 0.03;
/// The weight of the propensity over all caches in a cache's shrunk propensity, as a number of requests.
const PRIOR_REQUESTS: f64 = 4.0;
/// The number of folds. Each request is predicted by a model that is fitted without the requests of its fold.
const FOLDS: usize = 2;

/// A request with its pseudo-value.
pub(super) struct LabeledRequest {
    pub request: SampledRequest,
    pub forwarder: ForwarderId,
    pub time_bucket: u64,
    pub pseudo_value: PseudoValue,
    /// Whether the pseudo-value is from the curve of requests at the same cache, rather than from the curve
    /// of all caches.
    pub is_cache_specific: bool,
}

impl LabeledRequest {
    /// The position among the candidates of the cache to which the request was sent first.
    pub fn position(&self) -> usize {
        usize::from(self.request.position)
    }

    /// The candidate to which the request was sent first.
    pub fn chosen_candidate(&self) -> CandidateKey {
        self.candidate(self.position())
    }

    /// The request's candidate at a position.
    pub fn candidate(&self, position: usize) -> CandidateKey {
        let position_key = PositionKey { position, work_class: self.request.work_class };
        CandidateKey { cache: self.request.candidates[position], position_key }
    }

    /// The request's fold; all requests of one key are in the same fold.
    fn fold(&self) -> usize {
        self.request.key_hash as usize % FOLDS
    }
}

/// The number of requests that could be sent to a candidate, and how many of them were.
#[derive(Clone, Copy, Default)]
pub(super) struct ChoiceCounts {
    /// The number of requests with the candidate.
    pub eligible: usize,
    /// The number of requests that were sent first to the candidate.
    pub chosen: usize,
    /// The number of chosen requests whose pseudo-value is specific to the cache.
    pub chosen_cache_specific: usize,
}

impl ChoiceCounts {
    /// Whether enough requests were sent to the candidate for an estimate (overlap).
    pub fn has_support(self) -> bool {
        self.chosen >= MIN_SUPPORT && self.chosen as f64 >= MIN_PROPENSITY * self.eligible as f64
    }
}

/// A position among the candidates of the requests of one work class.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PositionKey {
    pub position: usize,
    pub work_class: u8,
}

/// A cache as the candidate at a position, for the requests of one work class.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CandidateKey {
    pub cache: u64,
    pub position_key: PositionKey,
}

/// A request that has a given cache among its candidates.
#[derive(Clone, Copy)]
pub(super) struct Candidacy {
    /// The index of the request in the dataset.
    pub request: usize,
    /// The position of the cache among the request's candidates.
    pub position: usize,
}

/// The requests of one request class, prepared for estimates from the nodes' choices.
pub struct Dataset {
    pub(super) requests: Vec<LabeledRequest>,
    pub(super) forwarder_count: usize,
    choice_counts: BTreeMap<CandidateKey, ChoiceCounts>,
    choice_counts_of_all_caches: BTreeMap<PositionKey, ChoiceCounts>,
    pub(super) candidacies: BTreeMap<u64, Vec<Candidacy>>,
    /// The outcome models of each fold, fitted on first use.
    waited_models: OnceCell<[OutcomeModel; FOLDS]>,
    in_time_models: OnceCell<[OutcomeModel; FOLDS]>,
}

impl Dataset {
    /// Prepares the requests of one request class.
    pub fn new<'a>(requests: impl Iterator<Item = ReportedRequest<'a>>) -> Dataset {
        let reported: Vec<_> = requests.collect();
        let requests = label_requests(&reported);
        let forwarders: BTreeSet<_> = requests.iter().map(|labeled| labeled.forwarder).collect();
        let mut dataset = Dataset {
            requests,
            forwarder_count: forwarders.len(),
            choice_counts: BTreeMap::new(),
            choice_counts_of_all_caches: BTreeMap::new(),
            candidacies: BTreeMap::new(),
            waited_models: OnceCell::new(),
            in_time_models: OnceCell::new(),
        };
        dataset.count_choices();
        dataset
    }

    fn count_choices(&mut self) {
        for (index, labeled) in self.requests.iter().enumerate() {
            for position in 0..labeled.request.candidates.len() {
                let candidate = labeled.candidate(position);
                let is_chosen = labeled.position() == position;
                let cache_counts = self.choice_counts.entry(candidate).or_default();
                let all_caches_counts =
                    self.choice_counts_of_all_caches.entry(candidate.position_key).or_default();
                for counts in [cache_counts, all_caches_counts] {
                    counts.eligible += 1;
                    counts.chosen += usize::from(is_chosen);
                    counts.chosen_cache_specific += usize::from(is_chosen && labeled.is_cache_specific);
                }
                self.candidacies
                    .entry(candidate.cache)
                    .or_default()
                    .push(Candidacy { request: index, position });
            }
        }
    }

    /// The number of requests that have a pseudo-value.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// The caches that are a candidate of any request, in ascending order.
    pub fn caches(&self) -> Vec<u64> {
        self.candidacies.keys().copied().collect()
    }

    /// How often a candidate was chosen.
    pub(super) fn choice_counts(&self, candidate: CandidateKey) -> ChoiceCounts {
        self.choice_counts.get(&candidate).copied().unwrap_or_default()
    }

    /// How often the candidates at a position were chosen, over all caches.
    pub(super) fn choice_counts_of_all_caches(&self, position_key: PositionKey) -> ChoiceCounts {
        self.choice_counts_of_all_caches.get(&position_key).copied().unwrap_or_default()
    }

    /// The outcome models of a measure, one for each fold.
    fn models(&self, measure: OutcomeMeasure) -> &[OutcomeModel; FOLDS] {
        let models = match measure {
            OutcomeMeasure::WaitedShare => &self.waited_models,
            OutcomeMeasure::InTime => &self.in_time_models,
        };
        models.get_or_init(|| {
            std::array::from_fn(|fold| {
                let training = self.requests.iter().filter(|labeled| labeled.fold() != fold);
                OutcomeModel::fit(training, measure)
            })
        })
    }

    /// The outcome that the model predicts for a request at one of its candidates.
    pub(super) fn predict(&self, labeled: &LabeledRequest, position: usize, measure: OutcomeMeasure) -> f64 {
        let model = &self.models(measure)[labeled.fold()];
        model.predict(labeled.candidate(position), labeled.time_bucket)
    }

    /// The propensity of a request to be sent to its candidate at a position: the share of the requests with
    /// the same candidate, position and work class that were sent there, shrunk toward the share over all
    /// caches.
    fn propensity(&self, labeled: &LabeledRequest, position: usize) -> f64 {
        let candidate = labeled.candidate(position);
        let all_caches_counts = self.choice_counts_of_all_caches(candidate.position_key);
        let cache_counts = self.choice_counts(candidate);
        let mean = all_caches_counts.chosen as f64 / (all_caches_counts.eligible as f64).max(1.0);
        let shrunk = (cache_counts.chosen as f64 + PRIOR_REQUESTS * mean)
            / (cache_counts.eligible as f64 + PRIOR_REQUESTS);
        shrunk.max(MIN_PROPENSITY / 2.0)
    }

    /// The residual of a request at the cache to which it was sent, weighted by the inverse of the
    /// propensity, which is the number of similar requests that the request stands for.
    pub(super) fn weighted_residual(&self, labeled: &LabeledRequest, measure: OutcomeMeasure) -> f64 {
        let position = labeled.position();
        let residual = measure.of(&labeled.pseudo_value) - self.predict(labeled, position, measure);
        residual / self.propensity(labeled, position)
    }
}

/// Labels each request with its pseudo-value from the curve of its cache, or else from the curve of all
/// caches. Requests for which both curves have too few resolved times are left out.
fn label_requests(reported: &[ReportedRequest<'_>]) -> Vec<LabeledRequest> {
    // Requests that were sent to a later candidate mostly miss. They form groups of their own, since in a
    // common group their censored times would wrongly be taken to be like those of requests at first
    // candidates.
    let cache_values = pseudo_values_by_group(
        reported,
        |request| (request.chosen_cache(), request.work_class, request.chose_later_candidate()),
        f64::from,
    );
    let all_caches_values = pseudo_values_by_group(
        reported,
        |request| (request.work_class, request.chose_later_candidate()),
        f64::from,
    );
    let mut labeled = Vec::new();
    for (index, reported) in reported.iter().enumerate() {
        let cache_value = cache_values.get(&index);
        let Some(pseudo_value) = cache_value.or_else(|| all_caches_values.get(&index)) else { continue };
        labeled.push(LabeledRequest {
            request: reported.request.clone(),
            forwarder: reported.forwarder,
            time_bucket: reported.time_bucket,
            pseudo_value: *pseudo_value,
            is_cache_specific: cache_value.is_some(),
        });
    }
    labeled
}
