//! The record of a case: what was sent, answered and run, one event a line.

use std::{
    fs::File,
    io::{self, Write as _},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A shared record. Times count from its creation.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in the current folder.
    pub fn create() -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create("record.txt")?));
        Ok(Self { file, started: Instant::now() })
    }

    /// Returns the time since the record was created.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes an event.
    pub fn write(&self, event: &str) {
        let now = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            // The verdict does not depend on the record.
            let _ = writeln!(file, "{now:9.3} {event}");
        }
    }
}
