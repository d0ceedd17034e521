//! `demo`: both deployments at a small scale, with a burst of overload.

use {
    super::{Error, latency::Latency},
    crate::{
        experiment::{Deployment, Experiment, Wave},
        outcome::{self, Outcome},
        run,
    },
    argh::FromArgs,
};

/// The rate at which added latency is measured, by each way, in requests a second.
const PROBE_RATE: u32 = 200;
/// How long added latency is measured, in seconds.
const PROBE_SECONDS: u32 = 3;

/// Play both deployments at a small scale, with a burst of overload, and print what came of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// seconds of load for each deployment (default 12)
    #[argh(option, default = "12.0")]
    seconds: f64,
    /// the factor on slots and rates of the deployments (default 0.1)
    #[argh(option, default = "0.1")]
    scale: f64,
    /// the seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

impl Demo {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where a fleet can't be started, or a promise was broken.
    pub fn run(&self) -> Result<(), Error> {
        let deployments =
            [("association", Deployment::Association), ("matbakh", Deployment::Matbakh)];
        let mut outcomes = Vec::new();
        for (name, deployment) in deployments {
            let experiment = self.experiment(name, deployment);
            let played = actix_rt::System::new().block_on(run::play(&experiment))?;
            outcomes.push(played);
        }
        println!(
            "Both deployments at {} of their size, as real processes. For a third of the time all \
             callers send 5 times as much as they have bought, and send what fails twice more.\n",
            self.scale
        );
        outcome::print(&outcomes);
        println!();
        outcome::print_refused(&outcomes);
        println!();
        Latency { rate: PROBE_RATE, seconds: PROBE_SECONDS }.run()?;
        explain();
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
            waves: vec![Wave { account: None, from_s: third, to_s: 2.0 * third, factor: 5.5 }],
            faults: Vec::new(),
            seed: self.seed,
        }
    }
}

fn explain() {
    println!(
        "
goodput        whole answers over what the accounts' rates cover, weighted by the harm of a failure
harm/s         whole answers a second with the same weights
worst account  the same as goodput, unweighted, for the account served worst
wrongful       refusals for the rate beyond what the accounts' rates and bursts explain
failed         requests that the rates cover without a whole answer, over all that they cover
sends          what callers sent for each request, with their own resends
recovery s     from the end of the overload until 95 of 100 requests are answered again
added          latency through nodes over a direct call, in a calm fleet of two nodes, in ms
violations     run twice, wrong answer, or a key that reached a target: must be 0"
    );
}
