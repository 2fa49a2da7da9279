//! What a planner persists of shard growth.
//!
//! The format is a version byte, the state as postcard encodes it, and an XXH3 checksum over both. The order of fields is
//! the stored format.

use serde::{Deserialize, Serialize};

use super::consensus::AcceptorState;
use super::history::ClosedDay;
use super::shard_map::ShardId;
use crate::component::Remediation;

/// The version of the stored format that this program writes and reads.
const FORMAT_VERSION: u8 = 1;

const CHECKSUM_LENGTH: usize = size_of::<u64>();

/// The state that outlasts a restart of a planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The acceptor's state; none while the planner recovers the one that it lost.
    pub consensus: Option<AcceptorState>,
    /// The closed days of each shard, in ascending order.
    pub history: Vec<(ShardId, Vec<ClosedDay>)>,
}

/// Why a snapshot cannot be read. The file has to be preserved, since it may be another version's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot has another format version.
    #[error("the shard growth snapshot is of version {0}, and this program reads version {FORMAT_VERSION}")]
    OtherVersion(u8),
    /// The snapshot is truncated or damaged, or is no snapshot of this component.
    #[error("the shard growth snapshot is damaged")]
    Corrupt,
}

impl Remediation for SnapshotError {
    fn remediation(&self) -> &'static str {
        match self {
            SnapshotError::OtherVersion(_) => {
                "Run the program that wrote it; or move the file aside and start with none while all other planners are up."
            }
            SnapshotError::Corrupt => {
                "Move the file aside and start with none while all other planners are up: it asks them for what it lost."
            }
        }
    }
}

impl Snapshot {
    /// Encodes the snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend(postcard::to_stdvec(self).expect("a snapshot has only types that postcard can write"));
        bytes.extend(checksum(&bytes));
        bytes
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// The bytes are damaged or of another version. No part of them is used then.
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
