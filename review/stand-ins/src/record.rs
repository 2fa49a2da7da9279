//! The record of a run: a line for each thing that was sent, answered or run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|error| crate::program::cannot_run(&format!("{path}: {error}")));
        Record { started_at: Instant::now(), file: Mutex::new(BufWriter::new(file)) }
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(self.seconds(), text);
    }

    pub fn line_at(&self, seconds: f64, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:10.4} {text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
