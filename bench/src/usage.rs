//! What a process costs, as the system counts it.

use std::fs;

/// What a process has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub resident_mb: f64,
}

impl Usage {
    /// Reads the usage of a process from the system, or zeros where it is gone.
    pub fn of(pid: u32) -> Self {
        const TICKS_PER_S: f64 = 100.0;
        const PAGES_PER_MB: f64 = 256.0;
        /// The fields after the name, which may hold spaces: user and system time, resident pages.
        const USER: usize = 11;
        const SYSTEM: usize = 12;
        const RESIDENT: usize = 21;
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let fields: Vec<f64> =
            fields.split(' ').map(|field| field.trim().parse().unwrap_or(0.0)).collect();
        let field = |index: usize| fields.get(index).copied().unwrap_or(0.0);
        Self {
            cpu_s: (field(USER) + field(SYSTEM)) / TICKS_PER_S,
            resident_mb: field(RESIDENT) / PAGES_PER_MB,
        }
    }
}
