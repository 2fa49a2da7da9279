//! The messages by which planners and forwarders share what they know of growing shards.
//!
//! Each message takes less than 1,100 bytes, so that it fits into one datagram with its envelope. The order of variants
//! and fields is the wire format.

use serde::{Deserialize, Serialize};

use super::accounting_day::AccountingDay;
use super::consensus::ConsensusMessage;
use super::endpoints::ReportedEndpoint;
use super::history::ClosedDay;
use super::shard_day::{ShardCounters, SketchKind};
use super::shard_map::{ShardId, ShardMapVersion, VersionedShardMap};
use crate::component::Remediation;

/// The number of sketch registers in one message.
pub const MAX_REGISTERS_PER_MESSAGE: usize = 300;

/// The number of closed days in one message.
pub const MAX_DAYS_PER_MESSAGE: usize = 75;

/// A message of the shard growth component.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GrowthMessage {
    /// From a forwarder: registers of one of a shard's sketches.
    Sketch {
        /// The day that the sketch counts.
        day: AccountingDay,
        /// The shard.
        shard: ShardId,
        /// Which of the shard's sketches.
        kind: SketchKind,
        /// Pairs of a register's index and its value.
        registers: Vec<(u16, u8)>,
    },
    /// From a forwarder: what its present incarnation has counted of some shards.
    Counters {
        /// The day of the counters.
        day: AccountingDay,
        /// The counters of each shard.
        counters: Vec<(ShardId, ShardCounters)>,
    },
    /// From a forwarder: the version of the shard map that it applies.
    AppliedVersion {
        /// The version.
        version: ShardMapVersion,
    },
    /// From a planner to a forwarder: the present day by the planner's calendar.
    CurrentDay {
        /// The day.
        day: AccountingDay,
    },
    /// From a planner to a forwarder: the shard map that was decided last.
    ShardMap {
        /// The map.
        shard_map: VersionedShardMap,
    },
    /// Between planners: agreement on the next shard map.
    Consensus(ConsensusMessage),
    /// From a forwarder: endpoints of its endpoint list.
    Endpoints {
        /// The endpoints.
        endpoints: Vec<ReportedEndpoint>,
    },
    /// Between planners: closed days of a shard, which a planner lacks that was away or lost its disk.
    ClosedDays {
        /// The shard.
        shard: ShardId,
        /// The days in ascending order.
        days: Vec<ClosedDay>,
    },
    /// From a forwarder, repeated while it holds: most of its recent fetches from the origin were late.
    OriginSlow,
}

/// Why a message was rejected. Nothing of a rejected message counts, unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GrowthError {
    /// A member of the sender's role does not send this message.
    #[error("the sender does not send such shard growth messages")]
    UnexpectedSender,
    /// The message has values that no correct member sends.
    #[error("a shard growth message has values out of range")]
    InvalidValue,
    /// The message counts a day that is closed, or that has not begun.
    #[error("a shard growth message counts a day that is not open")]
    DayClosed,
    /// A bound on the number of forwarders or endpoints is reached.
    #[error("the limit of forwarders or endpoints for shard growth is reached")]
    CapacityExceeded,
}

impl Remediation for GrowthError {
    fn remediation(&self) -> &'static str {
        match self {
            GrowthError::UnexpectedSender => {
                "Check that all planners have the same fleet configuration, with the same planner numbers."
            }
            GrowthError::InvalidValue => {
                "Check that all members run the same version; if they do, look at the sender."
            }
            GrowthError::DayClosed => {
                "Some of these are usual at midnight; if they go on, check the planners' calendars."
            }
            GrowthError::CapacityExceeded => {
                "More forwarders started today than are counted; look for ones that restart all the time."
            }
        }
    }
}
