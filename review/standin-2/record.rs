//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::{Mutex, PoisonError},
    time::Instant,
};

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Mutex::new(BufWriter::new(File::create(path)?)) })
    }

    /// Returns the seconds since the start of the record.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The verdict does not depend on the record.
        let _ = writeln!(file, "{:9.3} {text}", self.seconds(Instant::now()));
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap_or_else(PoisonError::into_inner).flush();
    }
}
