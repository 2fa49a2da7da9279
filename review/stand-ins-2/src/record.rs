//! What was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A case may take 120 s.
const LONGEST_RUN: Duration = Duration::from_secs(117);

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates `record.txt` in a case's folder.
    pub fn create(folder: &str) -> Record {
        let path = Path::new(folder).join("record.txt");
        let file = File::create(&path).unwrap_or_else(|error| give_up(&format!("{}: {error}", path.display())));
        let record = Record { started: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) };
        let watched = record.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LONGEST_RUN);
            watched.say("the run took too long");
            watched.end(Verdict::NotRun);
        });
        record
    }

    /// The time since the start of the run, in milliseconds.
    pub fn ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let at = self.ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }

    /// Ends the run with the exit code of a case.
    pub fn end(&self, verdict: Verdict) -> ! {
        self.say(match verdict {
            Verdict::Held => "verdict: the rule held",
            Verdict::Broken => "verdict: the rule was broken",
            Verdict::NotRun => "verdict: the case could not run",
        });
        self.flush();
        crate::process::end_all();
        std::process::exit(verdict as i32)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

/// Ends a run that can't start.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    crate::process::end_all();
    std::process::exit(2)
}
