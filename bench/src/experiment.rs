//! The description of one experiment, as a YAML file gives it.

use {
    crate::fault::Fault,
    monsoon_testutils::{
        fleet::{self, Description},
        load::{Plan, Surge},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Which deployment is played.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Deployment {
    /// The services for harness shops.
    Association,
    /// The rental of kitchens.
    Matbakh,
}

/// A time in which accounts send more or less than usual.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Wave {
    /// The account, or none for all.
    #[serde(default)]
    pub account: Option<String>,
    /// When it begins, in seconds.
    pub from_s: f64,
    /// When it ends, in seconds.
    pub to_s: f64,
    /// The factor on the rate of arrivals.
    pub factor: f64,
}

/// One experiment over real processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name, for tables and files.
    pub name: String,
    /// Which deployment is played.
    pub deployment: Deployment,
    /// The factor on slots and rates of the deployment.
    #[serde(default = "default_scale")]
    pub scale: f64,
    /// How long the fleet is idle before the first request, in seconds. A fleet that is started as a
    /// whole has no burst to give and fills it up at the accounts' rates.
    #[serde(default = "default_warm_s")]
    pub warm_s: f64,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// The load, in parts of the accounts' rates.
    #[serde(default = "default_load")]
    pub load: f64,
    /// How often a caller sends a failed request again, at once.
    #[serde(default)]
    pub retries: u8,
    /// Times in which accounts send more or less.
    #[serde(default)]
    pub waves: Vec<Wave>,
    /// The faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The seed of arrivals and service times.
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
    /// Returns the fleet to start.
    pub fn description(&self) -> Description {
        let described = match self.deployment {
            Deployment::Association => fleet::association(self.scale),
            Deployment::Matbakh => fleet::matbakh(self.scale),
        };
        let has_proxies = self.faults.iter().any(Fault::needs_proxies);
        Description { seed: self.seed, has_proxies, ..described }
    }

    /// Returns what callers send.
    pub fn plan(&self, description: &Description) -> Plan {
        const TIMEOUT: Duration = Duration::from_secs(5);
        let mut accounts = description.load(self.load);
        for account in &mut accounts {
            account.retries = self.retries;
        }
        let surge = |wave: &Wave| Surge {
            account: wave.account.clone(),
            from: Duration::from_secs_f64(wave.from_s),
            to: Duration::from_secs_f64(wave.to_s),
            factor: wave.factor,
        };
        Plan {
            accounts,
            duration: Duration::from_secs_f64(self.seconds),
            surges: self.waves.iter().map(surge).collect(),
            timeout: TIMEOUT,
            seed: self.seed,
        }
    }

    /// Returns when the last surge or fault ends, in seconds, if there is any.
    pub fn calm_from_s(&self) -> Option<f64> {
        let waves = self.waves.iter().map(|wave| wave.to_s);
        let faults = self.faults.iter().map(Fault::to_s);
        waves.chain(faults).reduce(f64::max)
    }
}
