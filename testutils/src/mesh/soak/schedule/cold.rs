//! Servers that become cold, by a restart or at any other moment.

use {
    super::{Driver, Event, SERVICE_TIME},
    crate::mesh::{
        Behaviour,
        server::RESTART_DELAY,
        soak::audit::cold::{COLD_START_S, Witness},
    },
    rand::RngExt as _,
    std::time::{Duration, Instant},
};

/// How long a server is cold.
const COLD_TIME: Duration = Duration::from_secs(COLD_START_S);
/// The time from a server's restart until it has written its entry.
const ENTRY_DELAY: Duration = Duration::from_millis(100);

impl Driver {
    /// Restarts a server, which is cold afterwards, or makes it cold again as it is. A server that
    /// can't write its entry restarts, since its node could not know otherwise.
    pub(super) fn chill(&mut self, machine: usize) {
        if std::mem::replace(&mut self.impaired[machine], true) {
            return;
        }
        self.cold[machine] = true;
        let is_restart = self.cut[machine] || self.random.random_bool(0.5);
        let server = &self.deployment.machines[machine].server;
        server.set_behaviour(Behaviour::Normal, SERVICE_TIME);
        let now = Instant::now();
        let (witness, until) = match is_restart {
            true => (Witness::Restart, now + RESTART_DELAY + COLD_TIME),
            false => (Witness::Entry, now + COLD_TIME),
        };
        server.set_cold_until(until);
        if is_restart {
            server.crash();
            self.deployment.renew(machine);
            self.schedule(RESTART_DELAY + ENTRY_DELAY, Event::Register(machine));
        } else {
            self.deployment.register(machine, "ready");
        }
        self.record(&format!("server of m{machine} becomes cold, known by {witness:?}"));
        self.shared.audit.borrow_mut().cold.record(machine, witness, now, until);
        self.schedule(until - now, Event::Warm(machine));
    }
}
