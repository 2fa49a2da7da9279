//! The store, killed at every step: what comes back is the last whole state, on a disk that loses whatever was not yet
//! synced, in parts.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use granitelb_control_plane::storage::{StateFile, StoreError};
use granitelb_coordination::PlannerId;
use granitelb_coordination::message::ComponentKind;
use redb::StorageBackend;

const ME: PlannerId = PlannerId(3);
const SECTOR: usize = 512;

#[derive(Debug, Default)]
struct Disk {
    /// As the program sees it, and as it is for certain.
    seen: Vec<u8>,
    synced: Vec<u8>,
    writes: Vec<(usize, Vec<u8>)>,
    /// Steps until the process is killed.
    left: Option<usize>,
}

#[derive(Clone, Debug, Default)]
struct Backend(Arc<Mutex<Disk>>);

impl Backend {
    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().expect("no test panics with the lock")
    }

    fn step(&self) -> io::Result<MutexGuard<'_, Disk>> {
        let mut disk = self.disk();
        match &mut disk.left {
            Some(0) => Err(io::Error::other("killed")),
            Some(left) => {
                *left -= 1;
                Ok(disk)
            }
            None => Ok(disk),
        }
    }

    /// What a machine that lost its power has: of each sector that was not synced, either what was or what came.
    fn after_power_loss(&self, seed: u64) -> Backend {
        let disk = self.disk();
        let mut chance = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut kept = disk.synced.clone();
        kept.resize(kept.len().max(disk.seen.len()), 0);
        for (at, bytes) in &disk.writes {
            for (n, sector) in bytes.chunks(SECTOR).enumerate() {
                chance ^= chance << 13;
                chance ^= chance >> 7;
                chance ^= chance << 17;
                let from = at + n * SECTOR;
                if chance & 1 == 0 && from + sector.len() <= kept.len() {
                    kept[from..from + sector.len()].copy_from_slice(sector);
                }
            }
        }
        let disk = Disk { seen: kept.clone(), synced: kept, ..Disk::default() };
        Backend(Arc::new(Mutex::new(disk)))
    }
}

impl StorageBackend for Backend {
    fn len(&self) -> io::Result<u64> {
        Ok(self.disk().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let at = offset as usize;
        let disk = self.disk();
        let from = disk.seen.get(at..at + out.len()).ok_or_else(|| io::Error::other("past the end"))?;
        out.copy_from_slice(from);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut disk = self.step()?;
        disk.seen.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.step()?;
        disk.synced = disk.seen.clone();
        disk.writes.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut disk = self.step()?;
        let at = offset as usize;
        disk.seen[at..at + data.len()].copy_from_slice(data);
        disk.writes.push((at, data.to_vec()));
        Ok(())
    }
}

fn state(n: u64) -> Vec<u8> {
    (0..500 + n * 900).map(|b| (b ^ n) as u8).collect()
}

/// Two faculties' states a commit; returns the last commit that was said to be kept.
fn keep_some(backend: &Backend) -> Option<u64> {
    let shelf = StateFile::on(backend.clone(), ME).ok()?;
    let kept = |n: &u64| {
        shelf
            .write(&[(ComponentKind::Leases, state(*n)), (ComponentKind::ShardGrowth, state(*n + 1))])
            .is_ok()
    };
    (1..=4).take_while(kept).last()
}

#[test]
fn killed_at_any_step_it_comes_back_with_the_last_whole_state() {
    let mut steps = 0;
    loop {
        let backend = Backend::default();
        // A store is begun under another name, so it is whole when it is first used.
        drop(StateFile::on(backend.clone(), ME).expect("begun"));
        backend.disk().left = Some(steps);
        let kept = keep_some(&backend);
        let torn = backend.after_power_loss(steps as u64 + 77);
        let shelf = StateFile::on(torn, ME).unwrap_or_else(|fault| panic!("killed at step {steps}: {fault}"));
        let found = shelf.read(ComponentKind::Leases).expect("whole");
        // What was under way when it was killed may have come through, or not; nothing before it is lost.
        let next = kept.unwrap_or(0) + 1;
        let may = [kept.map(state), Some(state(next))];
        assert!(may.contains(&found), "step {steps}: {kept:?} was kept, and not found");
        let n = if found == Some(state(next)) { Some(next) } else { kept };
        assert_eq!(
            shelf.read(ComponentKind::ShardGrowth).expect("whole"),
            n.map(|n| state(n + 1)),
            "step {steps}: half"
        );
        if kept == Some(4) {
            break;
        }
        steps += 1;
    }
    assert!(steps > 20, "only {steps} steps were tried");
}

#[test]
fn a_changed_byte_is_found_wherever_it_stands_in_a_state() {
    let backend = Backend::default();
    let shelf = StateFile::on(backend.clone(), ME).expect("a store");
    let marked = b"a state that is easily found".to_vec();
    shelf.write(&[(ComponentKind::ShardGrowth, marked.clone())]).expect("kept");
    drop(shelf);
    let bytes = backend.disk().seen.clone();
    let places = bytes.windows(marked.len()).enumerate().filter(|(_, w)| *w == marked).map(|(at, _)| at);
    for at in places.collect::<Vec<_>>() {
        backend.disk().seen[at + 5] ^= 1;
    }
    assert!(matches!(StateFile::on(backend, ME), Err(StoreError::Torn(_))));
}

#[test]
fn a_store_of_another_version_or_program_is_refused() {
    let other = redb::TableDefinition::<&str, u64>::new("granitelb planner");
    let with = |figures: &[(&str, u64)], table: redb::TableDefinition<&str, u64>| {
        let backend = Backend::default();
        let store = redb::Database::builder().create_with_backend(backend.clone()).expect("a store");
        let write = store.begin_write().expect("a write");
        for (name, figure) in figures {
            write.open_table(table).expect("a table").insert(name, figure).expect("written");
        }
        write.commit().expect("kept");
        drop(store);
        StateFile::on(backend, ME).err()
    };
    let of_version_0 = with(&[("version", 0), ("planner", 3)], other);
    assert!(matches!(of_version_0, Some(StoreError::OtherVersion { found: 0 })));
    assert!(matches!(
        with(&[("version", 1), ("planner", 4)], other),
        Some(StoreError::Foreign { own: 3, .. })
    ));
    let theirs = redb::TableDefinition::<&str, u64>::new("accounts");
    assert!(matches!(with(&[("balance", 1)], theirs), Some(StoreError::Foreign { .. })));
}
