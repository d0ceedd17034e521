//! Plays an experiment on a fleet of real processes.

use {
    crate::{commands::Error, experiment::Experiment, fault::Fault, outcome::Outcome},
    indicatif::{ProgressBar, ProgressStyle},
    monsoon_testutils::{fleet::Fleet, load::Generator},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// One moment of an experiment's script.
struct Moment {
    at_s: f64,
    fault: Fault,
    is_end: bool,
}

/// Plays an experiment and returns what it showed.
///
/// # Errors
///
/// Fails where the fleet can't be started or a fault can't be brought about.
pub async fn play(experiment: &Experiment) -> Result<Outcome, Error> {
    let bar = progress(experiment);
    bar.set_message(format!("{}: starting", experiment.name));
    let mut fleet = Fleet::start(experiment.description()).await?;
    tokio::time::sleep(Duration::from_secs_f64(experiment.warm_s)).await;
    bar.set_message(experiment.name.clone());
    let plan = experiment.plan(fleet.description());
    let generator = Generator::new(plan, entries(experiment, &fleet));
    let load = actix_rt::spawn(async move { generator.run().await });
    let start = Instant::now();
    for moment in script(experiment) {
        wait_until(start, moment.at_s, &bar).await;
        match moment.is_end {
            false => moment.fault.begin(&mut fleet)?,
            true => moment.fault.end(&mut fleet).await?,
        }
    }
    wait_until(start, experiment.seconds, &bar).await;
    let report = load.await.map_err(|error| std::io::Error::other(error.to_string()))?;
    bar.finish_and_clear();
    Ok(Outcome::new(experiment, &report, &fleet))
}

/// Returns the listeners that callers use: all but those of nodes that a fault takes away.
fn entries(experiment: &Experiment, fleet: &Fleet) -> Vec<SocketAddr> {
    let lost: Vec<&str> = experiment.faults.iter().filter_map(Fault::lost_vm).collect();
    let vms = fleet.vms().iter().filter(|vm| !lost.contains(&vm.placement.vm.as_str()));
    vms.map(|vm| vm.node.listen().callers).collect()
}

fn script(experiment: &Experiment) -> Vec<Moment> {
    let begin = |fault: &Fault| Moment { at_s: fault.at_s, fault: fault.clone(), is_end: false };
    let end = |fault: &Fault| Moment { at_s: fault.to_s(), fault: fault.clone(), is_end: true };
    let mut moments: Vec<Moment> =
        experiment.faults.iter().flat_map(|fault| [begin(fault), end(fault)]).collect();
    moments.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    moments
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

fn progress(experiment: &Experiment) -> ProgressBar {
    const TEMPLATE: &str = "{msg:28} [{bar:40}] {percent:>3}% {elapsed}";
    let millis = (experiment.seconds * 1_000.0) as u64;
    let bar = ProgressBar::new(millis);
    if let Ok(style) = ProgressStyle::with_template(TEMPLATE) {
        bar.set_style(style.progress_chars("=> "));
    }
    bar
}
