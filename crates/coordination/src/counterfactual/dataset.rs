//! The reported requests of one request class, prepared for estimation: each with its pseudo-value, the counts of choices
//! from which propensities follow, and cross-fitted outcome models.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use super::kaplan_meier::PseudoValue;
use super::outcome::{MIN_SUPPORT, OutcomeMeasure, ReportedRequest, pseudo_values_by_group};
use super::outcome_model::OutcomeModel;
use super::sampled_request::SampledRequest;
use crate::member::ForwarderId;

/// Candidates that are chosen more seldom are not weighted: one request would stand for too many.
pub(super) const MIN_PROPENSITY: f64 = 0.03;
/// The propensity over all caches counts as much as this many requests of the one cache.
const PRIOR_REQUESTS: f64 = 4.0;
/// Each request is predicted by a model that is fitted without the requests of its fold.
const FOLDS: usize = 2;

/// A request with its pseudo-value.
pub(super) struct LabeledRequest {
    pub request: SampledRequest,
    pub forwarder: ForwarderId,
    pub time_bucket: u64,
    pub pseudo_value: PseudoValue,
    /// Whether the pseudo-value rests on the curve of requests at the same cache, not on that of all caches.
    pub is_cache_specific: bool,
}

impl LabeledRequest {
    pub fn position(&self) -> usize {
        usize::from(self.request.position)
    }

    /// The cache to which the request was sent first, as a candidate.
    pub fn chosen_candidate(&self) -> CandidateKey {
        self.candidate(self.position())
    }

    /// The request's candidate at a position.
    pub fn candidate(&self, position: usize) -> CandidateKey {
        let at = PositionKey { position, work_class: self.request.work_class };
        CandidateKey { cache: self.request.candidates[position], at }
    }

    /// Requests of one key are all in one fold.
    fn fold(&self) -> usize {
        self.request.key_hash as usize % FOLDS
    }
}

/// Requests with a candidate at a position, and how many of them went there.
#[derive(Clone, Copy, Default)]
pub(super) struct ChoiceCounts {
    pub eligible: usize,
    pub chosen: usize,
    /// Those chosen whose pseudo-value is specific to the cache.
    pub chosen_cache_specific: usize,
}

impl ChoiceCounts {
    /// Whether choices overlap enough for a candidate to be estimated.
    pub fn has_support(self) -> bool {
        self.chosen >= MIN_SUPPORT && self.chosen as f64 >= MIN_PROPENSITY * self.eligible as f64
    }
}

/// A position among the candidates of requests of a work class.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PositionKey {
    pub position: usize,
    pub work_class: u8,
}

/// A cache as the candidate at a position.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CandidateKey {
    pub cache: u64,
    pub at: PositionKey,
}

/// A request of which a cache is a candidate.
#[derive(Clone, Copy)]
pub(super) struct Candidacy {
    /// The index of the request.
    pub request: usize,
    /// The position of the cache among the request's candidates.
    pub position: usize,
}

/// The requests of one request class, ready for estimates by the nodes' choices.
pub struct Dataset {
    pub(super) requests: Vec<LabeledRequest>,
    pub(super) forwarder_count: usize,
    choices: BTreeMap<CandidateKey, ChoiceCounts>,
    choices_of_all_caches: BTreeMap<PositionKey, ChoiceCounts>,
    pub(super) candidacies: BTreeMap<u64, Vec<Candidacy>>,
    /// Models are fitted when they are first asked for.
    waited_models: OnceCell<[OutcomeModel; FOLDS]>,
    in_time_models: OnceCell<[OutcomeModel; FOLDS]>,
}

impl Dataset {
    /// Prepares the requests of one request class.
    pub fn new<'a>(requests: impl Iterator<Item = ReportedRequest<'a>>) -> Dataset {
        let reported: Vec<_> = requests.collect();
        let requests = label(&reported);
        let forwarders: BTreeSet<_> = requests.iter().map(|labeled| labeled.forwarder).collect();
        let mut dataset = Dataset {
            requests,
            forwarder_count: forwarders.len(),
            choices: BTreeMap::new(),
            choices_of_all_caches: BTreeMap::new(),
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
                let of_cache = self.choices.entry(candidate).or_default();
                let of_all = self.choices_of_all_caches.entry(candidate.at).or_default();
                for counts in [of_cache, of_all] {
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

    /// The caches that are a candidate of any request, in order.
    pub fn caches(&self) -> Vec<u64> {
        self.candidacies.keys().copied().collect()
    }

    pub(super) fn choices(&self, candidate: CandidateKey) -> ChoiceCounts {
        self.choices.get(&candidate).copied().unwrap_or_default()
    }

    pub(super) fn choices_of_all_caches(&self, at: PositionKey) -> ChoiceCounts {
        self.choices_of_all_caches.get(&at).copied().unwrap_or_default()
    }

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

    /// The propensity: how often requests like this one are sent to that candidate, shrunk toward all caches.
    fn propensity(&self, labeled: &LabeledRequest, position: usize) -> f64 {
        let candidate = labeled.candidate(position);
        let of_all = self.choices_of_all_caches(candidate.at);
        let of_cache = self.choices(candidate);
        let mean = of_all.chosen as f64 / (of_all.eligible as f64).max(1.0);
        let shrunk =
            (of_cache.chosen as f64 + PRIOR_REQUESTS * mean) / (of_cache.eligible as f64 + PRIOR_REQUESTS);
        shrunk.max(MIN_PROPENSITY / 2.0)
    }

    /// The residual of a request where it was sent, weighted by the inverse of the propensity: as many alike requests as
    /// it stands for.
    pub(super) fn weighted_residual(&self, labeled: &LabeledRequest, measure: OutcomeMeasure) -> f64 {
        let position = labeled.position();
        let residual = measure.of(&labeled.pseudo_value) - self.predict(labeled, position, measure);
        residual / self.propensity(labeled, position)
    }
}

/// Gives each request its pseudo-value, from the curve of its cache or else from that of all caches. Requests whose
/// groups have too few resolved times are left out.
fn label(reported: &[ReportedRequest<'_>]) -> Vec<LabeledRequest> {
    // Requests that left their first candidate mostly miss: in one group with the others, censored ones of both would be
    // taken for alike and are not.
    let of_cache = pseudo_values_by_group(
        reported,
        |request| (request.chosen_cache(), request.work_class, request.left_first_candidate()),
        f64::from,
    );
    let of_all = pseudo_values_by_group(
        reported,
        |request| (request.work_class, request.left_first_candidate()),
        f64::from,
    );
    let mut labeled = Vec::new();
    for (index, reported) in reported.iter().enumerate() {
        let specific = of_cache.get(&index);
        let Some(pseudo_value) = specific.or_else(|| of_all.get(&index)) else { continue };
        labeled.push(LabeledRequest {
            request: reported.request.clone(),
            forwarder: reported.forwarder,
            time_bucket: reported.time_bucket,
            pseudo_value: *pseudo_value,
            is_cache_specific: specific.is_some(),
        });
    }
    labeled
}
