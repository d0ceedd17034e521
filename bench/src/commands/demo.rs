//! `monsoon-bench demo`: runs both deployments at a small scale with a period of overload.

use {
    super::{Error, latency::Latency},
    crate::{
        experiment::{Deployment, Experiment, LoadChange},
        outcome::{self, Outcome},
        run,
    },
    argh::FromArgs,
};

/// The request rate over each path while added latency is measured, in requests per second.
const PROBE_RATE: u32 = 200;
/// How long added latency is measured, in seconds.
const PROBE_SECONDS: u32 = 3;

/// Run both deployments at a small scale with a period of overload, and print the results.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// seconds of load for each deployment (default 12)
    #[argh(option, default = "12.0")]
    seconds: f64,
    /// the factor by which slots and rates of the deployments are multiplied (default 0.1)
    #[argh(option, default = "0.1")]
    scale: f64,
    /// the random seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

impl Demo {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if a fleet can't be started or a guarantee was violated.
    pub fn run(&self) -> Result<(), Error> {
        let deployments =
            [("association", Deployment::Association), ("matbakh", Deployment::Matbakh)];
        let mut outcomes = Vec::new();
        for (name, deployment) in deployments {
            let experiment = self.experiment(name, deployment);
            let outcome = actix_rt::System::new().block_on(run::run_experiment(&experiment))?;
            outcomes.push(outcome);
        }
        println!(
            "Both deployments run at {} of their size, as real processes. For a third of the time, \
             all callers send 5 times the rate that they have bought, and retry failures twice.\n",
            self.scale
        );
        outcome::print(&outcomes);
        println!();
        outcome::print_refused(&outcomes);
        println!();
        Latency { rate: PROBE_RATE, seconds: PROBE_SECONDS }.run()?;
        print_legend();
        let violations: usize =
            outcomes.iter().map(|outcome: &Outcome| outcome.violations.total()).sum();
        if violations > 0 {
            return Err(Error::Violations(violations));
        }
        Ok(())
    }

    fn experiment(&self, name: &str, deployment: Deployment) -> Experiment {
        let third = self.seconds / 3.0;
        Experiment {
            name: name.into(),
            deployment,
            scale: self.scale,
            warm_s: 4.0,
            seconds: self.seconds,
            load: 0.9,
            retries: 2,
            waves: vec![LoadChange {
                account: None,
                from_s: third,
                to_s: 2.0 * third,
                factor: 5.5,
            }],
            faults: Vec::new(),
            seed: self.seed,
        }
    }
}

fn print_legend() {
    println!(
        "
goodput        successful requests over requests within the accounts' rates, weighted by harm
harm/s         successful requests per second with the same weights
worst account  unweighted goodput of the account with the lowest goodput
wrongful       rate-limit refusals of requests within the accounts' rates and bursts
failed         share of requests within the rates that were not answered successfully
sends          attempts per request, including the callers' retries
recovery s     time from the end of the overload until 95 % of requests are answered again
added          latency that nodes add to a direct call, at low load in a fleet of two nodes, in ms
violations     requests run twice, wrong answers, and keys that reached a target: must be 0"
    );
}
