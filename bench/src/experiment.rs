//! The YAML description of an experiment.

use {
    crate::fault::Fault,
    monsoon_testutils::{
        fleet::{self, Description},
        load::{Plan, Surge},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A model of a deployment, from which the fleet is started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Deployment {
    /// The booking services of an association of harness shops.
    Association,
    /// A kitchen rental service.
    Matbakh,
}

/// A period in which client accounts send requests at a changed rate.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadChange {
    /// The client account whose rate changes, or `None` for all.
    #[serde(default)]
    pub account: Option<String>,
    /// The start, in seconds after the first request.
    pub from_s: f64,
    /// The end, in seconds after the first request.
    pub to_s: f64,
    /// The factor by which the arrival rate is multiplied.
    pub factor: f64,
}

/// An experiment on a fleet of real processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name, as used in tables and file names.
    pub name: String,
    /// The deployment to simulate.
    pub deployment: Deployment,
    /// The factor by which the deployment's slots and rates are multiplied.
    #[serde(default = "default_scale")]
    pub scale: f64,
    /// How long the fleet idles before the first request, in seconds. When all nodes start
    /// together, the client accounts' burst allowances are empty and refill at the accounts' rates.
    #[serde(default = "default_warm_s")]
    pub warm_s: f64,
    /// How long the load generator sends requests, in seconds.
    pub seconds: f64,
    /// The load, as a fraction of the client accounts' rates.
    #[serde(default = "default_load")]
    pub load: f64,
    /// How often a caller retries a failed request. It retries without a delay.
    #[serde(default)]
    pub retries: u8,
    /// Periods in which client accounts send requests at a changed rate.
    #[serde(default)]
    pub waves: Vec<LoadChange>,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The random seed of arrivals and service times.
    #[serde(default = "default_seed")]
    pub seed: u64,
}

fn default_scale() -> f64 {
    const SCALE: f64 = 0.1;
    SCALE
}

fn default_warm_s() -> f64 {
    const WARM_S: f64 = 4.0;
    WARM_S
}

fn default_load() -> f64 {
    const LOAD: f64 = 0.9;
    LOAD
}

fn default_seed() -> u64 {
    const SEED: u64 = 1;
    SEED
}

impl Experiment {
    /// Returns the description of the fleet to start.
    pub fn description(&self) -> Description {
        let description = match self.deployment {
            Deployment::Association => fleet::association(self.scale),
            Deployment::Matbakh => fleet::matbakh(self.scale),
        };
        let has_proxies = self.faults.iter().any(Fault::needs_proxies);
        Description { seed: self.seed, has_proxies, ..description }
    }

    /// Returns the load generator's plan.
    pub fn plan(&self, description: &Description) -> Plan {
        const TIMEOUT: Duration = Duration::from_secs(5);
        let mut accounts = description.load(self.load);
        for account in &mut accounts {
            account.retries = self.retries;
        }
        let surge = |change: &LoadChange| Surge {
            account: change.account.clone(),
            from: Duration::from_secs_f64(change.from_s),
            to: Duration::from_secs_f64(change.to_s),
            factor: change.factor,
        };
        Plan {
            accounts,
            duration: Duration::from_secs_f64(self.seconds),
            surges: self.waves.iter().map(surge).collect(),
            timeout: TIMEOUT,
            seed: self.seed,
        }
    }

    /// Returns when the last change of load or fault ends, in seconds, or `None` if there is none.
    pub fn last_disturbance_end_s(&self) -> Option<f64> {
        let load_changes = self.waves.iter().map(|change| change.to_s);
        let faults = self.faults.iter().map(Fault::end_s);
        load_changes.chain(faults).reduce(f64::max)
    }
}
