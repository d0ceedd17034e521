//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write as _,
    path::Path,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Begins the record in the folder of a case.
pub fn start(folder: &Path) -> std::io::Result<()> {
    let file = File::create(folder.join("record.txt"))?;
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    Ok(())
}

/// Adds a line with the time since the start.
pub fn line(text: &str) {
    let Some((file, started)) = RECORD.get() else { return };
    let ms = started.elapsed().as_secs_f64() * 1e3;
    let mut file = file.lock().expect("the record");
    let _ = writeln!(file, "{ms:>10.1} ms  {text}");
}

/// Adds a formatted line.
#[macro_export]
macro_rules! record {
    ($($argument:tt)*) => { $crate::record::line(&format!($($argument)*)) };
}
