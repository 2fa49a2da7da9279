//! The errors that end the adapter: failed input or output, and input that violates the wire format.

use std::fmt;
use std::io;

use granitelb_settings::SettingsError;

use crate::frame::MAX_FRAME_BYTES;

/// Why the adapter stops before the end of its input.
#[derive(Debug)]
pub enum AdapterError {
    /// Reading or writing failed.
    Io(io::Error),
    /// The input ends inside a frame's length field.
    TruncatedLength,
    /// A frame exceeds the limit on its length.
    FrameTooLong {
        /// The announced length in bytes.
        length: usize,
    },
    /// The input ends inside a frame.
    TruncatedFrame {
        /// The bytes that were received.
        received: usize,
        /// The announced length in bytes.
        length: usize,
    },
    /// A batch is shorter than its header.
    TruncatedHeader {
        /// The length of the batch in bytes.
        length: usize,
    },
    /// A batch ends before the last of its records.
    TruncatedRecords {
        /// The bytes after the header.
        available: usize,
        /// The number of records that the header announces.
        count: usize,
    },
    /// A record refers to bytes outside the tail of the batch.
    OutsideTail {
        /// The record's position in the batch.
        record: usize,
        /// The number of units that the record refers to.
        count: usize,
        /// The size of a unit in bytes.
        unit: usize,
        /// The offset of the first unit in the tail, in bytes.
        offset: usize,
        /// The size of the tail in bytes.
        size: usize,
    },
    /// The settings in a record are not valid.
    Settings {
        /// The record's position in the batch.
        record: usize,
        /// Why the settings are not valid.
        error: SettingsError,
    },
    /// A record refers to an endpoint list that no earlier record defined.
    UnknownList {
        /// The record's position in the batch.
        record: usize,
        /// The number of the list.
        list: u32,
    },
    /// The outcome of an attempt in a record has an unknown code.
    UnknownOutcome {
        /// The record's position in the batch.
        record: usize,
        /// The code of the outcome.
        outcome: u8,
    },
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Io(error) => write!(f, "standard input or output failed: {error}"),
            AdapterError::TruncatedLength => write!(f, "standard input ends inside a frame's length field"),
            AdapterError::FrameTooLong { length } => {
                write!(f, "a frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
            }
            AdapterError::TruncatedFrame { received, length } => {
                write!(f, "standard input ends after {received} of the {length} bytes of a frame")
            }
            AdapterError::TruncatedHeader { length } => {
                write!(f, "a batch of {length} bytes is shorter than its header")
            }
            AdapterError::TruncatedRecords { available, count } => {
                write!(f, "a batch of {count} records has only {available} bytes after its header")
            }
            AdapterError::OutsideTail { record, count, unit, offset, size } => {
                write!(
                    f,
                    "record {record} of a batch refers to {count} units of {unit} bytes at offset {offset} of a tail of {size} bytes"
                )
            }
            AdapterError::Settings { record, error } => {
                write!(f, "record {record} of a batch: invalid settings: {error}")
            }
            AdapterError::UnknownList { record, list } => {
                write!(
                    f,
                    "record {record} of a batch refers to endpoint list {list}, which no earlier record defined"
                )
            }
            AdapterError::UnknownOutcome { record, outcome } => {
                write!(f, "record {record} of a batch: unknown outcome code {outcome} of an attempt")
            }
        }
    }
}

impl std::error::Error for AdapterError {}

impl From<io::Error> for AdapterError {
    fn from(error: io::Error) -> AdapterError {
        AdapterError::Io(error)
    }
}
