//! Runs an experiment on a fleet of real processes.

use {
    crate::{commands::Error, experiment::Experiment, fault::Fault, outcome::Outcome},
    indicatif::{ProgressBar, ProgressStyle},
    monsoon_testutils::{fleet::Fleet, load::Generator},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// The start or the end of a fault, at a given time.
struct FaultChange {
    at_s: f64,
    fault: Fault,
    is_end: bool,
}

/// Runs an experiment and returns its results.
///
/// # Errors
///
/// Returns an error if the fleet can't be started, or a fault can't be injected or cleared.
pub async fn run_experiment(experiment: &Experiment) -> Result<Outcome, Error> {
    let bar = progress_bar(experiment);
    bar.set_message(format!("{}: starting", experiment.name));
    let mut fleet = Fleet::start(experiment.description()).await?;
    tokio::time::sleep(Duration::from_secs_f64(experiment.warm_s)).await;
    bar.set_message(experiment.name.clone());
    let plan = experiment.plan(fleet.description());
    let generator = Generator::new(plan, caller_addresses(experiment, &fleet));
    let load = actix_rt::spawn(async move { generator.run().await });
    let start = Instant::now();
    for change in fault_schedule(experiment) {
        wait_until(start, change.at_s, &bar).await;
        match change.is_end {
            false => change.fault.inject(&mut fleet)?,
            true => change.fault.clear(&mut fleet).await?,
        }
    }
    wait_until(start, experiment.seconds, &bar).await;
    let report = load.await.map_err(|error| std::io::Error::other(error.to_string()))?;
    bar.finish_and_clear();
    Ok(Outcome::new(experiment, &report, &fleet))
}

/// Returns the addresses that callers send to: those of all nodes except the ones that a fault
/// makes unavailable.
fn caller_addresses(experiment: &Experiment, fleet: &Fleet) -> Vec<SocketAddr> {
    let unavailable: Vec<&str> =
        experiment.faults.iter().filter_map(Fault::unavailable_vm).collect();
    let vms = fleet.vms().iter().filter(|vm| !unavailable.contains(&vm.placement.vm.as_str()));
    vms.map(|vm| vm.node.listen().callers).collect()
}

fn fault_schedule(experiment: &Experiment) -> Vec<FaultChange> {
    let start =
        |fault: &Fault| FaultChange { at_s: fault.at_s, fault: fault.clone(), is_end: false };
    let end =
        |fault: &Fault| FaultChange { at_s: fault.end_s(), fault: fault.clone(), is_end: true };
    let mut changes: Vec<FaultChange> =
        experiment.faults.iter().flat_map(|fault| [start(fault), end(fault)]).collect();
    changes.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    changes
}

async fn wait_until(start: Instant, at_s: f64, bar: &ProgressBar) {
    const STEP: Duration = Duration::from_millis(100);
    let at = Duration::from_secs_f64(at_s);
    loop {
        let elapsed = start.elapsed();
        bar.set_position(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX));
        if elapsed >= at {
            return;
        }
        tokio::time::sleep((at - elapsed).min(STEP)).await;
    }
}

fn progress_bar(experiment: &Experiment) -> ProgressBar {
    const TEMPLATE: &str = "{msg:28} [{bar:40}] {percent:>3}% {elapsed}";
    let millis = (experiment.seconds * 1_000.0) as u64;
    let bar = ProgressBar::new(millis);
    if let Ok(style) = ProgressStyle::with_template(TEMPLATE) {
        bar.set_style(style.progress_chars("=> "));
    }
    bar
}
