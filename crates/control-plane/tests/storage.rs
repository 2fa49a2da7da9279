//! The state file under crashes: a process that was killed at any step finds the latest complete snapshots
//! when it starts again, also on a disk that loses parts of the writes that were not synced.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use granitelb_control_plane::storage::{StateFile, StorageError};
use granitelb_coordination::PlannerId;
use granitelb_coordination::message::ComponentKind;
use redb::{Database, StorageBackend, TableDefinition};

const PLANNER: PlannerId = PlannerId(3);
/// The size of a sector in bytes: at a loss of power, each sector of a write survives entirely or not at all.
const SECTOR: usize = 512;

/// A write that was not synced.
#[derive(Debug)]
struct UnsyncedWrite {
    offset: usize,
    bytes: Vec<u8>,
}

/// The contents of an emulated disk, and the point at which its process is killed.
#[derive(Debug, Default)]
struct Disk {
    /// The contents as the process reads them.
    contents: Vec<u8>,
    /// The contents at the last sync, which survive a loss of power.
    synced: Vec<u8>,
    unsynced: Vec<UnsyncedWrite>,
    /// The number of operations until the process is killed; `None` if it is never killed.
    steps_left: Option<usize>,
}

/// A storage backend on an emulated disk. Clones share the disk.
#[derive(Clone, Debug, Default)]
struct Backend(Arc<Mutex<Disk>>);

impl Backend {
    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().expect("no test panics with the lock")
    }

    /// Counts an operation, and returns the disk; an error once the process is killed.
    fn step(&self) -> io::Result<MutexGuard<'_, Disk>> {
        let mut disk = self.disk();
        match &mut disk.steps_left {
            Some(0) => Err(io::Error::other("killed")),
            Some(steps) => {
                *steps -= 1;
                Ok(disk)
            }
            None => Ok(disk),
        }
    }

    /// The disk after a loss of power: each sector that was not synced has either its old or its new
    /// contents.
    fn after_power_loss(&self, seed: u64) -> Backend {
        let disk = self.disk();
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut survived = disk.synced.clone();
        survived.resize(survived.len().max(disk.contents.len()), 0);
        for write in &disk.unsynced {
            for (n, sector) in write.bytes.chunks(SECTOR).enumerate() {
                random = next_random(random);
                let offset = write.offset + n * SECTOR;
                if random & 1 == 0 && offset + sector.len() <= survived.len() {
                    survived[offset..offset + sector.len()].copy_from_slice(sector);
                }
            }
        }
        let disk = Disk { contents: survived.clone(), synced: survived, ..Disk::default() };
        Backend(Arc::new(Mutex::new(disk)))
    }
}

/// The next state of an xorshift random number generator.
fn next_random(mut state: u64) -> u64 {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    state
}

impl StorageBackend for Backend {
    fn len(&self) -> io::Result<u64> {
        Ok(self.disk().contents.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let start = offset as usize;
        let disk = self.disk();
        let range =
            disk.contents.get(start..start + out.len()).ok_or_else(|| io::Error::other("past the end"))?;
        out.copy_from_slice(range);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut disk = self.step()?;
        disk.contents.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.step()?;
        disk.synced = disk.contents.clone();
        disk.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut disk = self.step()?;
        let start = offset as usize;
        disk.contents[start..start + data.len()].copy_from_slice(data);
        disk.unsynced.push(UnsyncedWrite { offset: start, bytes: data.to_vec() });
        Ok(())
    }
}

fn snapshot(n: u64) -> Vec<u8> {
    (0..500 + n * 900).map(|byte| (byte ^ n) as u8).collect()
}

/// Commits the snapshots of two components four times, and returns the number of the last commit that was
/// reported as durable; `None` if none was.
fn commit_four_times(backend: &Backend) -> Option<u64> {
    let file = StateFile::on(backend.clone(), PLANNER).ok()?;
    let mut durable = None;
    for n in 1..=4 {
        let snapshots = [(ComponentKind::Leases, snapshot(n)), (ComponentKind::ShardGrowth, snapshot(n + 1))];
        if file.write(&snapshots).is_err() {
            break;
        }
        durable = Some(n);
    }
    durable
}

#[test]
fn process_killed_at_any_step_finds_the_latest_complete_snapshots() {
    let mut steps = 0;
    loop {
        let backend = Backend::default();
        // A state file is created under another name, so it is complete when it is first used.
        drop(StateFile::on(backend.clone(), PLANNER).expect("created"));
        backend.disk().steps_left = Some(steps);
        let durable = commit_four_times(&backend);
        let survived = backend.after_power_loss(steps as u64 + 77);
        let file = StateFile::on(survived, PLANNER)
            .unwrap_or_else(|error| panic!("killed at step {steps}: {error}"));
        let found = file.read(ComponentKind::Leases).expect("the snapshot is intact");
        // The commit that was in progress may have succeeded or not; no commit before it is lost.
        let next = durable.unwrap_or(0) + 1;
        let possible = [durable.map(snapshot), Some(snapshot(next))];
        assert!(possible.contains(&found), "step {steps}: commit {durable:?} was durable, but was not found");
        let commit = if found == Some(snapshot(next)) { Some(next) } else { durable };
        assert_eq!(
            file.read(ComponentKind::ShardGrowth).expect("the snapshot is intact"),
            commit.map(|n| snapshot(n + 1)),
            "step {steps}: the snapshots are of different commits"
        );
        if durable == Some(4) {
            break;
        }
        steps += 1;
    }
    assert!(steps > 20, "only {steps} steps were tried");
}

#[test]
fn changed_byte_in_a_snapshot_is_detected() {
    let backend = Backend::default();
    let file = StateFile::on(backend.clone(), PLANNER).expect("created");
    let marker = b"a state that is easily found".to_vec();
    file.write(&[(ComponentKind::ShardGrowth, marker.clone())]).expect("durable");
    drop(file);
    let bytes = backend.disk().contents.clone();
    let windows = bytes.windows(marker.len()).enumerate();
    let offsets: Vec<_> = windows.filter(|(_, w)| *w == marker).map(|(offset, _)| offset).collect();
    for offset in offsets {
        backend.disk().contents[offset + 5] ^= 1;
    }
    assert!(matches!(StateFile::on(backend, PLANNER), Err(StorageError::Corrupt(_))));
}

/// The error when a state file is opened on a database that has only this table, with these values; `None` if
/// it opens.
fn error_of_database(values: &[(&str, u64)], table: TableDefinition<&str, u64>) -> Option<StorageError> {
    let backend = Backend::default();
    let database = Database::builder().create_with_backend(backend.clone()).expect("a database");
    let transaction = database.begin_write().expect("a transaction");
    for (key, value) in values {
        transaction.open_table(table).expect("a table").insert(key, value).expect("written");
    }
    transaction.commit().expect("durable");
    drop(database);
    StateFile::on(backend, PLANNER).err()
}

#[test]
fn file_of_another_version_planner_or_program_is_rejected() {
    let header = TableDefinition::new("granitelb planner");
    let old_version = error_of_database(&[("version", 0), ("planner", 3)], header);
    assert!(matches!(old_version, Some(StorageError::UnsupportedVersion { found: 0 })));
    let other_planner = error_of_database(&[("version", 1), ("planner", 4)], header);
    assert!(matches!(other_planner, Some(StorageError::WrongOwner { own: 3, .. })));
    let other_program = error_of_database(&[("balance", 1)], TableDefinition::new("accounts"));
    assert!(matches!(other_program, Some(StorageError::WrongOwner { .. })));
}
