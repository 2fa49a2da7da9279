//! Committed expectations: for each batch a chained hash of the reply's bytes, and the first replies in full.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use crate::wire::{Action, actions};

/// Set to anything, it has the replies got written to a temporary directory. The test fails all the same.
const WRITE_VARIABLE: &str = "DECISIONS_WRITE";
/// So many replies that are not empty are kept in full.
const REPLIES_IN_FULL: usize = 200;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The replies of a stream as they come, and those that are expected.
pub struct Recording {
    name: &'static str,
    /// `None` where replies are written instead of compared.
    expected_hashes: Option<Vec<String>>,
    hashes: Vec<String>,
    in_full: String,
    last_hash: u64,
    kept: usize,
    last_clock: u64,
}

impl Recording {
    pub fn new(name: &'static str) -> Recording {
        let writes = std::env::var_os(WRITE_VARIABLE).is_some();
        let committed = || read(&hashes_file(&fixtures(), name)).lines().map(String::from).collect();
        Recording {
            name,
            expected_hashes: (!writes).then(committed),
            hashes: Vec::new(),
            in_full: String::new(),
            last_hash: FNV_OFFSET,
            kept: 0,
            last_clock: 0,
        }
    }

    /// Takes the reply to the next batch. Fails where it differs from the fixture, and shows it: what
    /// comes after a difference follows from it and tells nothing.
    pub fn push(&mut self, clock: u64, reply: &[u8]) {
        self.last_hash = fnv_1a(self.last_hash, reply);
        let (batch, hash) = (self.hashes.len(), format!("{:016x}", self.last_hash));
        if self.expected_hashes.as_ref().is_some_and(|expected| expected.get(batch) != Some(&hash)) {
            panic!("{}", self.difference(clock, reply));
        }
        self.hashes.push(hash);
        let decided = actions(reply);
        if !decided.is_empty() && self.kept < REPLIES_IN_FULL {
            self.kept += 1;
            self.in_full += &readable(batch, clock, &decided);
        }
        self.last_clock = clock;
    }

    /// Fails where the stream has ended too soon, or nothing was compared.
    pub fn finish(&self) {
        let name = self.name;
        let Some(expected) = &self.expected_hashes else {
            let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("decisions");
            self.write(&directory);
            panic!("{name}: nothing was compared, the replies are written to {}", directory.display());
        };
        let (got, expected) = (self.hashes.len(), expected.len());
        assert_eq!(got, expected, "{name}: batches, the last at {}", self.last_clock);
        let replies = read(&replies_file(&fixtures(), name));
        assert!(self.in_full == replies, "{name}: equal hashes, but not equal replies in full");
    }

    fn write(&self, directory: &Path) {
        let hashes: String = self.hashes.iter().flat_map(|hash| [hash.as_str(), "\n"]).collect();
        std::fs::create_dir_all(directory).expect("a temporary directory");
        std::fs::write(hashes_file(directory, self.name), hashes).expect("a temporary file");
        std::fs::write(replies_file(directory, self.name), &self.in_full).expect("a temporary file");
    }

    /// What was got for the next batch, and what was expected if that was kept in full.
    fn difference(&self, clock: u64, reply: &[u8]) -> String {
        let (name, batch) = (self.name, self.hashes.len());
        let got = readable(batch, clock, &actions(reply));
        let heading = got.lines().next();
        let replies = read(&replies_file(&fixtures(), name));
        let known = replies.split_inclusive("\n\n").find(|block| block.lines().next() == heading);
        let expected = known.unwrap_or("nothing, or not kept in full\n");
        format!("{name}: the first reply that differs is to batch {batch}\ngot:\n{got}expected:\n{expected}")
    }
}

/// A reply with a heading, a line for each action and an empty line.
fn readable(batch: usize, clock: u64, decided: &[Action]) -> String {
    let mut text = format!("batch {batch} at {clock}\n");
    decided.iter().for_each(|action| writeln!(text, "{action}").expect("strings take all"));
    text + "\n"
}

fn fnv_1a(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn hashes_file(directory: &Path, name: &str) -> PathBuf {
    directory.join(format!("{name}.hashes"))
}

fn replies_file(directory: &Path, name: &str) -> PathBuf {
    directory.join(format!("{name}.replies"))
}
