//! The recorded replies of each stream: one hash per batch, chained over all replies so far, and the text of
//! the first replies.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use crate::wire::{Action, actions};

/// Environment variable that makes a test write the received replies to a temporary directory instead of
/// comparing them. The test fails in that case.
const WRITE_VARIABLE: &str = "DECISIONS_WRITE";
/// Number of replies, not counting empty ones, whose text is recorded.
const MAX_TEXT_REPLIES: usize = 200;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The replies received in a stream, and the expected ones.
pub struct Recording {
    name: &'static str,
    /// `None` if the replies are written instead of compared.
    expected_hashes: Option<Vec<String>>,
    hashes: Vec<String>,
    texts: String,
    last_hash: u64,
    /// Number of replies in `texts`.
    text_replies: usize,
    last_clock: u64,
}

impl Recording {
    pub fn new(name: &'static str) -> Recording {
        let is_writing = std::env::var_os(WRITE_VARIABLE).is_some();
        let committed = || read(&hashes_file(&fixtures(), name)).lines().map(String::from).collect();
        Recording {
            name,
            expected_hashes: (!is_writing).then(committed),
            hashes: Vec::new(),
            texts: String::new(),
            last_hash: FNV_OFFSET,
            text_replies: 0,
            last_clock: 0,
        }
    }

    /// Records the reply to the next batch. Panics at the first reply that differs from the fixture: later
    /// differences are consequences of the first one.
    pub fn push(&mut self, clock: u64, reply: &[u8]) {
        self.last_hash = fnv_1a(self.last_hash, reply);
        let (batch, hash) = (self.hashes.len(), format!("{:016x}", self.last_hash));
        if self.expected_hashes.as_ref().is_some_and(|expected| expected.get(batch) != Some(&hash)) {
            panic!("{}", self.difference(clock, reply));
        }
        self.hashes.push(hash);
        let decided = actions(reply);
        if !decided.is_empty() && self.text_replies < MAX_TEXT_REPLIES {
            self.text_replies += 1;
            self.texts += &reply_text(batch, clock, &decided);
        }
        self.last_clock = clock;
    }

    /// Panics if the stream ended too early, or if the replies were written instead of compared.
    pub fn finish(&self) {
        let name = self.name;
        let Some(expected) = &self.expected_hashes else {
            let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("decisions");
            self.write(&directory);
            panic!("{name}: nothing was compared; the replies were written to {}", directory.display());
        };
        let (received, expected) = (self.hashes.len(), expected.len());
        assert_eq!(received, expected, "{name}: number of batches, the last at {} us", self.last_clock);
        let replies = read(&replies_file(&fixtures(), name));
        assert!(self.texts == replies, "{name}: the hashes are equal, but the texts of the replies differ");
    }

    fn write(&self, directory: &Path) {
        let hashes: String = self.hashes.iter().flat_map(|hash| [hash.as_str(), "\n"]).collect();
        std::fs::create_dir_all(directory).expect("a temporary directory");
        std::fs::write(hashes_file(directory, self.name), hashes).expect("a temporary file");
        std::fs::write(replies_file(directory, self.name), &self.texts).expect("a temporary file");
    }

    /// Describes the received reply to the next batch, and the expected one if its text is recorded.
    fn difference(&self, clock: u64, reply: &[u8]) -> String {
        let (name, batch) = (self.name, self.hashes.len());
        let received = reply_text(batch, clock, &actions(reply));
        let heading = received.lines().next();
        let replies = read(&replies_file(&fixtures(), name));
        let recorded = replies.split_inclusive("\n\n").find(|block| block.lines().next() == heading);
        let expected = recorded.unwrap_or("an empty reply, or one whose text is not recorded\n");
        format!(
            "{name}: the first different reply is the one to batch {batch}\nreceived:\n{received}expected:\n{expected}"
        )
    }
}

/// The text of a reply: a heading, one line per action, and an empty line.
fn reply_text(batch: usize, clock: u64, decided: &[Action]) -> String {
    let mut text = format!("batch {batch} at {clock}\n");
    decided.iter().for_each(|action| writeln!(text, "{action}").expect("writing to a string succeeds"));
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
