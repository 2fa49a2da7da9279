//! Errors that end the adapter: failed input or output, and input that does not follow the wire format.

use std::fmt;
use std::io;

use granitelb_settings::SettingsError;

/// Why the adapter ends early.
#[derive(Debug)]
pub enum AdapterError {
    /// Reading or writing failed.
    Io(io::Error),
    /// The input ends inside a frame's length field.
    TruncatedLength,
    /// A frame is longer than any batch can be.
    FrameTooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// The input ends inside a frame.
    TruncatedFrame {
        /// The bytes that came.
        received: usize,
        /// The frame's length in bytes.
        length: usize,
    },
    /// A batch is shorter than its header.
    TruncatedHeader {
        /// Its length in bytes.
        length: usize,
    },
    /// A batch is shorter than its records.
    TruncatedRecords {
        /// The bytes behind the header.
        available: usize,
        /// The number of records.
        count: usize,
    },
    /// A record refers to bytes that are not in the tail.
    OutsideTail {
        /// The record's position in the batch.
        record: usize,
        /// The number of units that it refers to.
        count: usize,
        /// The bytes of a unit.
        unit: usize,
        /// Where the units begin in the tail.
        offset: usize,
        /// The bytes of the tail.
        size: usize,
    },
    /// A record's settings can't be decoded.
    Settings {
        /// The record's position in the batch.
        record: usize,
        /// What is wrong with them.
        error: SettingsError,
    },
    /// A record names an endpoint list that was never sent.
    UnknownList {
        /// The record's position in the batch.
        record: usize,
        /// The list's number.
        list: u32,
    },
    /// A record has an unknown outcome of an attempt.
    UnknownOutcome {
        /// The record's position in the batch.
        record: usize,
        /// The outcome's code.
        outcome: u8,
    },
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Io(error) => write!(f, "{error}"),
            AdapterError::TruncatedLength => write!(f, "input ends inside a frame's length"),
            AdapterError::FrameTooLong { length } => write!(f, "a frame of {length} bytes is too long"),
            AdapterError::TruncatedFrame { received, length } => {
                write!(f, "input ends after {received} of a frame's {length} bytes")
            }
            AdapterError::TruncatedHeader { length } => {
                write!(f, "a batch of {length} bytes is shorter than its header")
            }
            AdapterError::TruncatedRecords { available, count } => {
                write!(f, "{available} bytes can't hold {count} records")
            }
            AdapterError::OutsideTail { record, count, unit, offset, size } => {
                write!(f, "record {record} names {count} x {unit} bytes at {offset} of a tail of {size}")
            }
            AdapterError::Settings { record, error } => {
                write!(f, "record {record}: unreadable settings: {error}")
            }
            AdapterError::UnknownList { record, list } => {
                write!(f, "record {record} names list {list}, which was never sent")
            }
            AdapterError::UnknownOutcome { record, outcome } => {
                write!(f, "record {record}: unknown outcome {outcome}")
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
