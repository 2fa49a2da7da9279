//! Errors in experiment files, and the check of numeric ranges.

use std::fmt;
use std::io;
use std::path::PathBuf;

use super::FaultKind;

/// An error in an experiment file, with its place.
#[derive(Debug)]
pub struct ExperimentError {
    /// The file as named by the caller.
    pub file: PathBuf,
    /// The line, counted from 1; `None` if the error concerns the whole file.
    pub line: Option<usize>,
    /// What is wrong.
    pub kind: ExperimentErrorKind,
}

/// The kinds of [`ExperimentError`].
#[derive(Debug)]
pub enum ExperimentErrorKind {
    /// The file can't be read.
    Unreadable(io::Error),
    /// The text is not TOML, or has unknown or missing keys.
    Syntax {
        /// The decoder's explanation.
        message: String,
    },
    /// A value contradicts the rest of the file or is out of range.
    Invalid(InvalidValue),
}

/// An invalid value and its key.
#[derive(Debug)]
pub struct InvalidValue {
    /// The key with the names of its tables, separated by dots.
    pub key: String,
    /// Why the value is invalid.
    pub reason: InvalidReason,
}

/// Why a value is invalid.
#[derive(Debug)]
pub enum InvalidReason {
    /// A number is outside its range.
    OutOfRange {
        /// The number as written.
        value: f64,
        /// The smallest valid number.
        min: f64,
        /// The largest valid number.
        max: f64,
    },
    /// The value does not meet a fixed requirement; the text states the requirement.
    Rule(&'static str),
    /// A fault names a cache, node or planner that does not exist.
    NoSuchMember {
        /// The kind of member: `cache`, `node` or `planner`.
        member: &'static str,
        /// The index as written.
        index: usize,
    },
    /// A fault names a zone that `world.zones` does not list.
    NoSuchZone(String),
    /// A fault ends after the end of the run.
    EndsAfterRun {
        /// The fault's end, in seconds from the start.
        end_s: f64,
        /// The run's end, in seconds from the start.
        run_s: f64,
    },
    /// A fault of this kind requires the key, which is absent or has an invalid value.
    Required(FaultKind),
    /// A fault sets a number of nodes that is 0 or more than the experiment has.
    NodeCount {
        /// The number of nodes in the experiment.
        max: usize,
    },
}

impl InvalidValue {
    pub(super) fn new(key: &str, reason: InvalidReason) -> InvalidValue {
        InvalidValue { key: key.to_string(), reason }
    }

    pub(super) fn rule(key: &str, requirement: &'static str) -> InvalidValue {
        InvalidValue::new(key, InvalidReason::Rule(requirement))
    }

    /// The key without the names of its tables.
    pub(super) fn last_key_part(&self) -> &str {
        self.key.rsplit('.').next().unwrap_or(&self.key)
    }
}

impl fmt::Display for InvalidReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidReason::OutOfRange { value, min, max } => write!(f, "{value} is not from {min} to {max}"),
            InvalidReason::Rule(requirement) => f.write_str(requirement),
            InvalidReason::NoSuchMember { member, index } => {
                write!(f, "there is no {member} {index}; indices count from 0")
            }
            InvalidReason::NoSuchZone(zone) => write!(f, "world.zones has no zone {zone}"),
            InvalidReason::EndsAfterRun { end_s, run_s } => {
                write!(f, "the fault ends at {end_s} s, after the run's end at {run_s} s")
            }
            InvalidReason::Required(kind) => {
                write!(f, "a fault of kind {kind} requires a valid value of this key")
            }
            InvalidReason::NodeCount { max } => {
                write!(f, "must be from 1 to {max}, the number in world.nodes")
            }
        }
    }
}

impl fmt::Display for ExperimentErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExperimentErrorKind::Unreadable(error) => write!(f, "the experiment file can't be read: {error}"),
            ExperimentErrorKind::Syntax { message } => f.write_str(message),
            ExperimentErrorKind::Invalid(InvalidValue { key, reason }) => write!(f, "{key}: {reason}"),
        }
    }
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        match self.line {
            Some(line) => write!(f, "{file}:{line}: {}", self.kind),
            None => write!(f, "{file}: {}", self.kind),
        }
    }
}

impl std::error::Error for ExperimentError {}

/// A number and its valid range, ends included.
pub(super) struct Range {
    pub(super) key: &'static str,
    pub(super) value: f64,
    pub(super) min: f64,
    pub(super) max: f64,
}

impl Range {
    pub(super) fn new(key: &'static str, value: f64, min: f64, max: f64) -> Range {
        Range { key, value, min, max }
    }

    fn contains_value(&self) -> bool {
        (self.min..=self.max).contains(&self.value)
    }
}

/// Checks that each number is in its range. The error names the first number that is not. NaN is in no range.
pub(super) fn check_ranges(ranges: &[Range]) -> Result<(), InvalidValue> {
    match ranges.iter().find(|range| !range.contains_value()) {
        Some(Range { key, value, min, max }) => {
            let reason = InvalidReason::OutOfRange { value: *value, min: *min, max: *max };
            Err(InvalidValue::new(key, reason))
        }
        None => Ok(()),
    }
}
