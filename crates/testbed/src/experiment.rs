//! Definition of an experiment: a TOML file that describes the world, the load, the timeline of faults and the
//! expectations.
//!
//! A file is read and checked here, before anything is started. An error names the file, the line and the key. The types
//! in the submodules are plain data: they are read once and never change while the experiment runs. TOML keys are mapped
//! to field names by `#[serde(rename = "…")]`.
mod environment;
mod error;
mod expectations;
mod fault;
mod fault_kind;
mod fleet;
mod load;
mod node_changes;
mod request_class;
mod shard_growth;
mod source_text;

use std::path::Path;

use serde::Deserialize;
use toml::Spanned;

use error::{Range, check_ranges};
use source_text::SourceText;

pub use environment::{CacheConfig, EnvironmentConfig, OriginConfig};
pub use error::{ExperimentError, ExperimentErrorKind, InvalidReason, InvalidValue};
pub use expectations::Expectations;
pub use fault::{FalseClaim, Fault, LinkDirection, ResponseCorruption, StoreCondition};
pub use fault_kind::FaultKind;
pub use fleet::{FleetConfig, LeasesConfig, MAX_PLANNERS};
pub use load::{ClientBehavior, Load, LoadPhase};
pub use node_changes::{NodeAction, NodeChange};
pub use request_class::{RequestClass, RequestEffect};
pub use shard_growth::{GrowthConfig, GrowthExpectations};

/// The shortest run, in seconds.
const MIN_RUN_S: f64 = 1.0;
/// The longest run, in seconds.
const MAX_RUN_S: f64 = 600.0;

/// An experiment as defined by its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Names the experiment in results, reports and scratch folders.
    pub name: String,
    /// One sentence that says what the experiment examines.
    pub about: String,
    /// For how long clients send requests, in seconds.
    pub seconds: f64,
    /// Seeds to run with, unless the command line sets one.
    #[serde(default = "default_seeds")]
    pub seeds: Vec<u64>,
    /// The processes and servers that exist, and their capacities.
    #[serde(rename = "world", default)]
    pub environment: EnvironmentConfig,
    /// The control plane. Without it, each node works on its own.
    pub fleet: Option<FleetConfig>,
    /// Shards whose number of keys grows during the run.
    pub growth: Option<GrowthConfig>,
    /// The classes that requests belong to.
    #[serde(rename = "product", default = "request_class::default_request_classes")]
    pub request_classes: Vec<RequestClass>,
    /// The rate and the mix of requests, and how clients behave.
    #[serde(default)]
    pub load: Load,
    #[serde(rename = "fault", default)]
    faults: Vec<Spanned<Fault>>,
    /// Limits that measured figures have to keep, beside the rules that always hold.
    #[serde(rename = "expect", default)]
    pub expectations: Expectations,
}

fn default_seeds() -> Vec<u64> {
    vec![1]
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file can't be read, is not valid TOML, or holds an invalid value; with the line and the key.
    pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(|error| ExperimentError {
            file: path.into(),
            line: None,
            kind: ExperimentErrorKind::Unreadable(error),
        })?;
        Experiment::read(path, &text)
    }

    /// Reads and checks a file's text; `path` only serves to name the file in errors.
    ///
    /// # Errors
    /// As [`Experiment::load`].
    pub fn read(path: &Path, text: &str) -> Result<Experiment, ExperimentError> {
        let source = SourceText::new(text);
        let error = |line, kind| ExperimentError { file: path.into(), line, kind };
        let experiment: Experiment = toml::from_str(text).map_err(|cause| {
            let line = cause.span().map(|span| source.line_of_offset(span.start));
            error(line, ExperimentErrorKind::Syntax { message: cause.message().trim().to_string() })
        })?;
        experiment.check().map_err(|invalid| {
            let line = source.line_of_key(source.first_line(), invalid.last_key_part());
            error(Some(line), ExperimentErrorKind::Invalid(invalid))
        })?;
        for (index, fault) in experiment.faults.iter().enumerate() {
            fault.get_ref().check(&experiment).map_err(|invalid| {
                let table_line = source.line_of_offset(fault.span().start);
                let line = source.line_of_key(table_line, &invalid.key);
                let key = format!("fault[{index}].{}", invalid.key);
                error(Some(line), ExperimentErrorKind::Invalid(InvalidValue { key, ..invalid }))
            })?;
        }
        Ok(experiment)
    }

    /// The timeline of faults, ordered by start time.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults: Vec<Fault> = self.faults.iter().map(|fault| fault.get_ref().clone()).collect();
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        faults
    }

    /// The number of planners; 0 without a control plane.
    pub fn planners(&self) -> usize {
        self.fleet.as_ref().map_or(0, |fleet| fleet.planners)
    }

    /// The most cache servers that exist at once: those at the start and those that faults add.
    pub fn max_caches(&self) -> usize {
        let faults = self.faults.iter().map(Spanned::get_ref);
        let added = faults.filter(|fault| fault.kind == FaultKind::AddCaches).map(|fault| fault.count);
        self.environment.caches + added.sum::<usize>()
    }

    /// The same experiment without faults of planners and of control-plane messages: the baseline that the loss of
    /// service is measured against.
    pub fn without_control_plane_faults(&self) -> Experiment {
        let mut baseline = self.clone();
        baseline.name += "-undisturbed";
        baseline.faults.retain(|fault| !fault.get_ref().kind.affects_planners());
        baseline
    }

    /// Checks all but the faults.
    fn check(&self) -> Result<(), InvalidValue> {
        if self.seconds.is_nan() || !(MIN_RUN_S..=MAX_RUN_S).contains(&self.seconds) {
            return Err(InvalidValue::rule("seconds", "from 1 to 600"));
        }
        if self.seeds.is_empty() {
            return Err(InvalidValue::rule("seeds", "at least one"));
        }
        request_class::check(&self.request_classes)?;
        if let Some(fleet) = &self.fleet {
            fleet.check(self.environment.nodes)?;
        }
        if let Some(growth) = &self.growth {
            growth.check(self.fleet.as_ref())?;
        }
        self.environment.check()?;
        self.load.check()
    }
}
