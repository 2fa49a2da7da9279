//! The state of shard growth that a planner persists.
//!
//! A snapshot file holds a version byte, the state encoded by postcard, and an XXH3 checksum over the version
//! and the state. The order of fields is the stored format.

use serde::{Deserialize, Serialize};

use super::consensus::AcceptorState;
use super::history::ClosedDay;
use super::shard_map::ShardId;
use crate::component::Remediation;

/// The version of the stored format that this program writes and reads.
const FORMAT_VERSION: u8 = 1;

const CHECKSUM_LENGTH: usize = size_of::<u64>();

/// The state of shard growth that a planner keeps across restarts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The state of the consensus acceptor; none while the planner recovers a lost state from other planners.
    pub consensus: Option<AcceptorState>,
    /// The closed days of each shard, in ascending order.
    pub history: Vec<(ShardId, Vec<ClosedDay>)>,
}

/// Why a snapshot cannot be read. The file has to be preserved, since another version may have written it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot has another format version.
    #[error("the shard growth snapshot has format version {0}; this program reads version {FORMAT_VERSION}")]
    OtherVersion(u8),
    /// The snapshot is truncated or corrupt, or the file is not a shard growth snapshot.
    #[error("the shard growth snapshot is truncated or corrupt, or the file is not a shard growth snapshot")]
    Corrupt,
}

impl Remediation for SnapshotError {
    fn remediation(&self) -> &'static str {
        match self {
            SnapshotError::OtherVersion(_) => {
                "Run the version that wrote the snapshot, or move the file aside and start without it while all \
                 other planners are up."
            }
            SnapshotError::Corrupt => {
                "Move the file aside and start without it while all other planners are up: the planner recovers \
                 its state from them."
            }
        }
    }
}

impl Snapshot {
    /// The snapshot in its stored format.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend(postcard::to_stdvec(self).expect("postcard can encode all types of a snapshot"));
        bytes.extend(checksum(&bytes));
        bytes
    }

    /// Decodes a snapshot from its stored format.
    ///
    /// # Errors
    /// The bytes are corrupt or have another format version. No part of them is used.
    pub fn from_bytes(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        let (checked, stored_checksum) =
            bytes.split_last_chunk::<CHECKSUM_LENGTH>().ok_or(SnapshotError::Corrupt)?;
        if checksum(checked) != *stored_checksum {
            return Err(SnapshotError::Corrupt);
        }
        let (&version, body) = checked.split_first().ok_or(SnapshotError::Corrupt)?;
        if version != FORMAT_VERSION {
            return Err(SnapshotError::OtherVersion(version));
        }
        let snapshot: Snapshot = postcard::from_bytes(body).map_err(|_| SnapshotError::Corrupt)?;
        let is_ordered =
            |days: &[ClosedDay]| days.windows(2).all(|neighbours| neighbours[0].day < neighbours[1].day);
        if snapshot.history.iter().all(|(_, days)| is_ordered(days)) {
            Ok(snapshot)
        } else {
            Err(SnapshotError::Corrupt)
        }
    }
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_LENGTH] {
    xxhash_rust::xxh3::xxh3_64(bytes).to_be_bytes()
}
