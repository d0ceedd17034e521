//! The faults that an experiment can inject into a fleet of real processes.

use {
    crate::commands::Error,
    monsoon_testutils::{
        fleet::{self, Fleet},
        platform::{Faults as PlatformFaults, Phase},
        target::Faults as TargetFaults,
    },
    nix::sys::signal::Signal,
    serde::{Deserialize, Serialize},
};

/// The kind of a fault.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum Kind {
    /// The service times of a pool's targets are multiplied by a factor.
    Slow {
        /// The name of the pool.
        pool: String,
        /// The factor on the service times.
        factor: f64,
    },
    /// The targets of a pool report a load of 0.
    #[serde(rename = "lie")]
    ZeroLoad {
        /// The name of the pool.
        pool: String,
    },
    /// The process of a node is stopped with SIGSTOP, and continued at the end of the fault.
    Freeze {
        /// The name of the VM.
        vm: String,
    },
    /// The process of a node is killed, and a new one started at the end of the fault.
    Kill {
        /// The name of the VM.
        vm: String,
    },
    /// A VM is marked as leaving and its node terminated with SIGTERM; a new node is started at the
    /// end of the fault.
    Leave {
        /// The name of the VM.
        vm: String,
    },
    /// The network is partitioned between two groups of data centres.
    Partition {
        /// The data centres on one side of the partition.
        data_centres: Vec<String>,
    },
    /// The platform does not answer requests.
    PlatformDown,
    /// The platform serves only the state of its first revision.
    PlatformStale,
    /// The key of a client account is withdrawn, and granted again at the end of the fault.
    Withdraw {
        /// The name of the client account.
        account: String,
    },
}

/// A fault and the period in which it is present.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fault {
    /// The start, in seconds after the first request.
    pub at_s: f64,
    /// The duration, in seconds.
    pub for_s: f64,
    /// The kind of the fault.
    #[serde(flatten)]
    pub kind: Kind,
}

impl Fault {
    /// Returns the end, in seconds after the first request.
    pub fn end_s(&self) -> f64 {
        self.at_s + self.for_s
    }

    /// Returns whether connections between data centres must pass through proxies.
    pub fn needs_proxies(&self) -> bool {
        matches!(self.kind, Kind::Partition { .. })
    }

    /// Returns the VM whose node callers can't use during the fault, if any.
    pub fn unavailable_vm(&self) -> Option<&str> {
        match &self.kind {
            Kind::Freeze { vm } | Kind::Kill { vm } | Kind::Leave { vm } => Some(vm),
            _ => None,
        }
    }

    /// Injects the fault.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be signalled.
    pub fn inject(&self, fleet: &mut Fleet) -> Result<(), Error> {
        match &self.kind {
            Kind::Slow { pool, factor } => {
                set_target_faults(
                    fleet,
                    pool,
                    &TargetFaults { slow: *factor, ..TargetFaults::default() },
                );
            }
            Kind::ZeroLoad { pool } => {
                set_target_faults(
                    fleet,
                    pool,
                    &TargetFaults { load: Some(0), ..TargetFaults::default() },
                );
            }
            Kind::Freeze { vm } => fleet.vm(vm).node.signal(Signal::SIGSTOP)?,
            Kind::Kill { vm } => fleet.vm_mut(vm).node.kill()?,
            Kind::Leave { vm } => {
                fleet.set_phase(vm, Phase::Leaving);
                fleet.vm(vm).node.signal(Signal::SIGTERM)?;
            }
            Kind::Partition { data_centres } => {
                let names: Vec<&str> = data_centres.iter().map(String::as_str).collect();
                fleet.partition(&names);
            }
            Kind::PlatformDown => {
                let faults = PlatformFaults { down: true, ..PlatformFaults::default() };
                fleet.set_platform_faults(faults);
            }
            Kind::PlatformStale => {
                let faults = PlatformFaults { stale_at: Some(1), ..PlatformFaults::default() };
                fleet.set_platform_faults(faults);
            }
            Kind::Withdraw { account } => {
                fleet.withdraw(&fleet.key(account));
            }
        }
        Ok(())
    }

    /// Clears the fault.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be signalled or started.
    pub async fn clear(&self, fleet: &mut Fleet) -> Result<(), Error> {
        match &self.kind {
            Kind::Slow { pool, .. } | Kind::ZeroLoad { pool } => {
                set_target_faults(fleet, pool, &TargetFaults::default());
            }
            Kind::Freeze { vm } => fleet.vm(vm).node.signal(Signal::SIGCONT)?,
            Kind::Kill { vm } => fleet.replace(vm).await?,
            Kind::Leave { vm } => {
                fleet.set_phase(vm, Phase::Live);
                fleet.replace(vm).await?;
            }
            Kind::Partition { .. } => fleet.heal(),
            Kind::PlatformDown | Kind::PlatformStale => {
                fleet.set_platform_faults(PlatformFaults::default());
            }
            Kind::Withdraw { account } => {
                let (name, value) = fleet::grant(&fleet.key(account), account);
                fleet.publish_value(&name, Some(value.to_string()));
            }
        }
        Ok(())
    }
}

fn set_target_faults(fleet: &Fleet, pool: &str, faults: &TargetFaults) {
    let targets = fleet.vms().iter().filter(|vm| vm.placement.pool == pool);
    for vm in targets {
        vm.target.set_faults(faults.clone());
    }
}
