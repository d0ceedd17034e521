//! Processor time and memory of a process, from `/proc`.

use std::fs;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// User and system processor time, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub resident_mb: f64,
}

impl Usage {
    /// Reads the usage of a process. All fields are 0 if the process has exited.
    pub fn of(pid: u32) -> Self {
        const TICKS_PER_S: f64 = 100.0;
        const PAGES_PER_MB: f64 = 256.0;
        /// Positions of the user time, system time and resident pages, counted from the field after
        /// the process name, which may contain spaces.
        const USER_TIME: usize = 11;
        const SYSTEM_TIME: usize = 12;
        const RESIDENT_PAGES: usize = 21;
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let fields: Vec<f64> =
            fields.split(' ').map(|field| field.trim().parse().unwrap_or(0.0)).collect();
        let field = |index: usize| fields.get(index).copied().unwrap_or(0.0);
        Self {
            cpu_s: (field(USER_TIME) + field(SYSTEM_TIME)) / TICKS_PER_S,
            resident_mb: field(RESIDENT_PAGES) / PAGES_PER_MB,
        }
    }
}
