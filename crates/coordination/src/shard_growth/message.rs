//! The messages that planners and forwarders exchange for shard growth.
//!
//! An encoded message is shorter than 1,100 bytes, so that it fits into one datagram with its envelope. The
//! order of variants and fields is the wire format.

use serde::{Deserialize, Serialize};

use super::accounting_day::AccountingDay;
use super::consensus::ConsensusMessage;
use super::endpoints::ReportedEndpoint;
use super::history::ClosedDay;
use super::shard_day::{ShardCounters, SketchKind};
use super::shard_map::{ShardId, ShardMapVersion, VersionedShardMap};
use crate::component::Remediation;

/// The maximum number of sketch registers in one message.
pub const MAX_REGISTERS_PER_MESSAGE: usize = 300;

/// The maximum number of closed days in one message.
pub const MAX_DAYS_PER_MESSAGE: usize = 75;

/// A message of the shard growth component.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GrowthMessage {
    /// From a forwarder to a planner: registers of one of a shard's sketches.
    Sketch {
        /// The day on which the sketch's keys were read or written.
        day: AccountingDay,
        /// The shard.
        shard: ShardId,
        /// Whether it is the sketch of keys that were read or of those that were written.
        kind: SketchKind,
        /// Pairs of a register's index and its value.
        registers: Vec<(u16, u8)>,
    },
    /// From a forwarder to a planner: the counters of its present incarnation for some shards.
    Counters {
        /// The day on which the counted attempts finished.
        day: AccountingDay,
        /// The counters of each shard.
        counters: Vec<(ShardId, ShardCounters)>,
    },
    /// From a forwarder to a planner: the version of the shard map that the forwarder applies.
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
    /// Between planners: a message of the consensus on the next shard map.
    Consensus(ConsensusMessage),
    /// From a forwarder to a planner: endpoints of the forwarder's endpoint list.
    Endpoints {
        /// The endpoints.
        endpoints: Vec<ReportedEndpoint>,
    },
    /// Between planners: closed days of a shard, for planners that were down on those days or lost their
    /// disk.
    ClosedDays {
        /// The shard.
        shard: ShardId,
        /// The days in ascending order.
        days: Vec<ClosedDay>,
    },
    /// From a forwarder to a planner: at least half of the forwarder's recent fetches from the origin were
    /// late. The message is repeated with each heartbeat while this is so.
    OriginSlow,
}

/// Why a message was rejected. A rejected message has no effect, unless the rejecting function states
/// otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GrowthError {
    /// A member with the sender's role does not send this message, or the sender is not a configured planner.
    #[error("a shard growth message came from a member that may not send messages of its kind")]
    UnexpectedSender,
    /// The message has values that no correct member sends.
    #[error("a shard growth message holds a value outside its valid range, or too many entries")]
    InvalidValue,
    /// The message reports a day that is closed, or that has not begun.
    #[error("a shard growth message reports a day that the planner has closed, or that has not begun")]
    DayClosed,
    /// The planner already stores the maximum number of forwarders, incarnations of forwarders, or endpoints.
    #[error("a shard growth report was rejected: the planner stores its maximum of forwarders or endpoints")]
    CapacityExceeded,
}

impl Remediation for GrowthError {
    fn remediation(&self) -> &'static str {
        match self {
            GrowthError::UnexpectedSender => {
                "Check that all planners have the same fleet configuration, with the same planner numbers."
            }
            GrowthError::InvalidValue => {
                "Check that all members run the same version; if they do, look for a fault in the sender."
            }
            GrowthError::DayClosed => {
                "A few of these errors are usual at midnight; if they continue, check the clocks of all planners."
            }
            GrowthError::CapacityExceeded => {
                "More forwarders started today than can be counted; look for forwarders that restart repeatedly."
            }
        }
    }
}
