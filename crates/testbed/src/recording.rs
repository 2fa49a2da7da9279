//! Recordings of the requests that nodes received, one JSON object per line, and their replay.
//!
//! A recording marks what clients retried on their own. A replay sends each request once, and its own clients retry as the
//! experiment has them.
use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::event_log::EventLog;
use crate::experiment::Experiment;
use crate::schedule::{Schedule, ScheduledRequest, mix64};

/// Tells the hash of line numbers apart from other uses of [`mix64`].
const LINE_NUMBER_STREAM: u64 = 3;
/// Microseconds per second.
const US_PER_S: f64 = 1e6;

/// One attempt of a client, as a node received it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedAttempt {
    /// Microseconds from the start of the recording.
    pub at_us: i64,
    /// The index of the node.
    pub node: usize,
    /// The name of the request's class.
    #[serde(rename = "product")]
    pub class: String,
    /// The key that it reads or writes.
    pub key: u64,
    /// The tenant's name, if it names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Whether it is a client's own retry of an earlier attempt.
    #[serde(rename = "repeat", default)]
    pub is_retry: bool,
    /// As [`ScheduledRequest::single_use_connection`].
    #[serde(rename = "once", default)]
    pub single_use_connection: bool,
    /// As [`ScheduledRequest::honors_retry_after`].
    #[serde(rename = "heeds", default)]
    pub honors_retry_after: bool,
    /// As [`ScheduledRequest::retry_delays_us`].
    #[serde(rename = "repeats_us", default)]
    pub retry_delays_us: Vec<u64>,
    /// As [`ScheduledRequest::id_seed`]; 0 to derive it from the line's number.
    #[serde(rename = "salt", default)]
    pub id_seed: u64,
}

/// Why a recording can't be replayed in an experiment, and in which line.
#[derive(Debug)]
pub struct RecordingError {
    /// The recording, as named by the caller.
    pub file: PathBuf,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub kind: RecordingErrorKind,
}

/// The kinds of [`RecordingError`].
#[derive(Debug)]
pub enum RecordingErrorKind {
    /// The line is not a recorded attempt in JSON.
    Syntax(serde_json::Error),
    /// The experiment has no request class of this name.
    UnknownClass(String),
    /// The experiment has no tenant of this name.
    UnknownTenant(String),
    /// The experiment has no node with this index.
    UnknownNode(usize),
    /// The attempt's time is not within the experiment's duration.
    OutsideRun {
        /// The experiment's duration, in seconds.
        run_s: f64,
    },
    /// An earlier line has the same ID seed, so that both requests would have the same IDs.
    DuplicateIdSeed,
}

impl fmt::Display for RecordingErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordingErrorKind::Syntax(error) => write!(f, "{error}"),
            RecordingErrorKind::UnknownClass(name) => write!(f, "product: there is no {name}"),
            RecordingErrorKind::UnknownTenant(name) => write!(f, "tenant: there is no {name}"),
            RecordingErrorKind::UnknownNode(node) => write!(f, "node: there is no node {node}"),
            RecordingErrorKind::OutsideRun { run_s } => {
                write!(f, "at_us: not within the {run_s} s of the run")
            }
            RecordingErrorKind::DuplicateIdSeed => f.write_str("salt: a call before has the same"),
        }
    }
}

impl fmt::Display for RecordingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file.display(), self.line, self.kind)
    }
}

impl std::error::Error for RecordingError {}

/// The recording of a run, ordered by time.
pub fn record(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> String {
    let mut attempts: Vec<RecordedAttempt> = Vec::new();
    for attempt in &event_log.client_attempts {
        let request = schedule.request(attempt.request);
        let is_retry = attempt.number > 0;
        attempts.push(RecordedAttempt {
            // A first attempt is recorded at its due time: the delay of the testbed itself is not part of the traffic.
            at_us: if is_retry { attempt.sent.0 } else { attempt.due.0 },
            node: request.node,
            class: experiment.request_classes[request.class].name.clone(),
            key: request.key,
            tenant: request.tenant.map(|tenant| experiment.load.tenants[tenant].clone()),
            is_retry,
            single_use_connection: request.single_use_connection,
            honors_retry_after: request.honors_retry_after,
            retry_delays_us: request.retry_delays_us.clone(),
            id_seed: request.id_seed,
        });
    }
    attempts.sort_by_key(|attempt| (attempt.at_us, attempt.is_retry, attempt.id_seed));
    let mut text = String::new();
    for attempt in &attempts {
        text += &serde_json::to_string(attempt).expect("numbers and strings can be written as JSON");
        text.push('\n');
    }
    text
}

/// The schedule of a recording's requests, without its clients' retries. `file` only serves to name the file in errors.
///
/// # Errors
/// The first line that can't be replayed in this experiment, and why.
pub fn read(file: &Path, text: &str, experiment: &Experiment) -> Result<Schedule, RecordingError> {
    let mut requests = Vec::new();
    let mut id_seeds = BTreeSet::new();
    for (line, line_text) in (1..).zip(text.lines()) {
        if line_text.trim().is_empty() {
            continue;
        }
        let error = |kind| RecordingError { file: file.into(), line, kind };
        let attempt: RecordedAttempt =
            serde_json::from_str(line_text).map_err(|cause| error(RecordingErrorKind::Syntax(cause)))?;
        if attempt.is_retry {
            continue;
        }
        let request = scheduled_request(attempt, line, experiment).map_err(error)?;
        if !id_seeds.insert(request.id_seed) {
            return Err(error(RecordingErrorKind::DuplicateIdSeed));
        }
        requests.push(request);
    }
    requests.sort_by_key(|request| request.at_us);
    Ok(Schedule { requests })
}

/// The request that a recorded first attempt belongs to.
fn scheduled_request(
    attempt: RecordedAttempt,
    line: usize,
    experiment: &Experiment,
) -> Result<ScheduledRequest, RecordingErrorKind> {
    let classes = &experiment.request_classes;
    let Some(class) = classes.iter().position(|class| class.name == attempt.class) else {
        return Err(RecordingErrorKind::UnknownClass(attempt.class));
    };
    let tenant = match attempt.tenant {
        None => None,
        Some(name) => Some(tenant_index(experiment, name)?),
    };
    if attempt.node >= experiment.environment.nodes {
        return Err(RecordingErrorKind::UnknownNode(attempt.node));
    }
    if attempt.at_us < 0 || attempt.at_us as f64 >= experiment.seconds * US_PER_S {
        return Err(RecordingErrorKind::OutsideRun { run_s: experiment.seconds });
    }
    let id_seed = if attempt.id_seed == 0 { mix64(line as u64, LINE_NUMBER_STREAM) } else { attempt.id_seed };
    Ok(ScheduledRequest {
        at_us: attempt.at_us,
        node: attempt.node,
        class,
        key: attempt.key,
        tenant,
        single_use_connection: attempt.single_use_connection,
        honors_retry_after: attempt.honors_retry_after,
        retry_delays_us: attempt.retry_delays_us,
        id_seed,
    })
}

fn tenant_index(experiment: &Experiment, name: String) -> Result<usize, RecordingErrorKind> {
    let tenants = &experiment.load.tenants;
    tenants.iter().position(|tenant| *tenant == name).ok_or(RecordingErrorKind::UnknownTenant(name))
}
