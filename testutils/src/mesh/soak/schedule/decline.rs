//! Times in which the last pool declines a part of its requests, without executing them.

use {
    super::{Driver, Event, SERVICE_TIME},
    crate::mesh::{Behaviour, soak::MACHINES},
    std::time::Duration,
};

/// The percentage of the requests that each server of the pool declines.
const DECLINED_PERCENT: u32 = 55;
/// How long they decline.
const DECLINE_TIME: Duration = Duration::from_secs(8);

impl Driver {
    /// Makes all servers of the last pool decline, except those that have another fault.
    pub(super) fn decline(&mut self) {
        let last_pool = MACHINES[MACHINES.len() - 1].0;
        for (machine, (pool, _)) in MACHINES.iter().enumerate() {
            if *pool != last_pool || std::mem::replace(&mut self.impaired[machine], true) {
                continue;
            }
            self.declining[machine] = true;
            self.record(&format!("server of m{machine} declines {DECLINED_PERCENT} %"));
            let server = &self.deployment.machines[machine].server;
            server.set_behaviour(Behaviour::Declines(DECLINED_PERCENT), SERVICE_TIME);
            server.set_repeats_declines(self.plan.is_repeat_enabled);
            self.schedule(DECLINE_TIME, Event::EndDecline(machine));
        }
    }

    pub(super) fn end_decline(&mut self, machine: usize) {
        self.declining[machine] = false;
        self.impaired[machine] = false;
        let server = &self.deployment.machines[machine].server;
        server.set_behaviour(Behaviour::Normal, SERVICE_TIME);
        server.set_repeats_declines(false);
    }
}
