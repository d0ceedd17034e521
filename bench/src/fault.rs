//! The faults that an experiment brings about, and how each is done to a fleet of real processes.

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

/// What goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum Kind {
    /// The targets of a pool take longer.
    Slow {
        /// The pool.
        pool: String,
        /// The factor.
        factor: f64,
    },
    /// The targets of a pool report a load of nothing.
    Lie {
        /// The pool.
        pool: String,
    },
    /// The process of a node is stopped and goes on at the end.
    Freeze {
        /// The VM.
        vm: String,
    },
    /// The process of a node is killed, and a new one started at the end.
    Kill {
        /// The VM.
        vm: String,
    },
    /// A VM is marked as leaving and its node told to leave, and a new one started at the end.
    Leave {
        /// The VM.
        vm: String,
    },
    /// Data centres are cut off from the others.
    Partition {
        /// The data centres on one side.
        data_centres: Vec<String>,
    },
    /// The platform does not answer.
    PlatformDown,
    /// The platform shows the state of its first revision only.
    PlatformStale,
    /// The key of an account is withdrawn and granted again at the end.
    Withdraw {
        /// The account.
        account: String,
    },
}

/// A fault and its time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// What goes wrong.
    #[serde(flatten)]
    pub kind: Kind,
}

impl Fault {
    /// Returns when it ends, in seconds.
    pub fn to_s(&self) -> f64 {
        self.at_s + self.for_s
    }

    /// Tells whether links between data centres must go through proxies.
    pub fn needs_proxies(&self) -> bool {
        matches!(self.kind, Kind::Partition { .. })
    }

    /// Returns the VM whose node callers can't use during the fault, if there is one.
    pub fn lost_vm(&self) -> Option<&str> {
        match &self.kind {
            Kind::Freeze { vm } | Kind::Kill { vm } | Kind::Leave { vm } => Some(vm),
            _ => None,
        }
    }

    /// Brings the fault about.
    ///
    /// # Errors
    ///
    /// Fails where a process can't be signalled.
    pub fn begin(&self, fleet: &mut Fleet) -> Result<(), Error> {
        match &self.kind {
            Kind::Slow { pool, factor } => {
                set_targets(
                    fleet,
                    pool,
                    &TargetFaults { slow: *factor, ..TargetFaults::default() },
                );
            }
            Kind::Lie { pool } => {
                set_targets(
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

    /// Ends the fault.
    ///
    /// # Errors
    ///
    /// Fails where a process can't be signalled or started.
    pub async fn end(&self, fleet: &mut Fleet) -> Result<(), Error> {
        match &self.kind {
            Kind::Slow { pool, .. } | Kind::Lie { pool } => {
                set_targets(fleet, pool, &TargetFaults::default());
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

fn set_targets(fleet: &Fleet, pool: &str, faults: &TargetFaults) {
    let targets = fleet.vms().iter().filter(|vm| vm.placement.pool == pool);
    for vm in targets {
        vm.target.set_faults(faults.clone());
    }
}
