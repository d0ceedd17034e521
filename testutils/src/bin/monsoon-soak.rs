//! Runs seeds of the soak test with random faults and prints the result of each.

use {
    argh::FromArgs,
    monsoon_testutils::mesh::soak,
    std::{fs, io, path::PathBuf, process::ExitCode, time::Duration},
};

/// Runs seeds of the soak test one after the other. Fails if there is a violation.
#[derive(FromArgs)]
struct Arguments {
    /// the path of the node's executable
    #[argh(option, default = "PathBuf::from(\"target/debug/monsoon-platform\")")]
    program: PathBuf,
    /// the first seed
    #[argh(option)]
    from: u64,
    /// the number of seeds
    #[argh(option, default = "1")]
    count: u64,
    /// how long faults are injected for each seed, in seconds
    #[argh(option, default = "15")]
    seconds: u64,
    /// also play servers that become cold
    #[argh(switch)]
    cold: bool,
    /// also play evacuations of zones
    #[argh(switch)]
    evacuations: bool,
    /// also play times in which the last pool declines a part of its requests
    #[argh(switch)]
    declines: bool,
    #[argh(switch)]
    /// with --declines: servers send each decline once more, late
    repeats: bool,
    /// a directory for the logs of seeds with violations
    #[argh(option)]
    logs: Option<PathBuf>,
}

#[actix_web::main]
async fn main() -> io::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    let plan = soak::Plan {
        is_cold_enabled: arguments.cold,
        is_evacuation_enabled: arguments.evacuations,
        is_decline_enabled: arguments.declines,
        is_repeat_enabled: arguments.repeats,
    };
    let mut failed = 0;
    for seed in arguments.from..arguments.from + arguments.count {
        let length = Duration::from_secs(arguments.seconds);
        let report = soak::run(&arguments.program, seed, length, plan).await?;
        let (faults, violations) = (report.faults.len(), report.violations.len());
        println!(
            "seed {seed}: {faults} faults, {} of {} requests served, {violations} violations",
            report.served, report.sent
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        failed += usize::from(violations > 0);
        if let Some(directory) = arguments.logs.as_ref().filter(|_| violations > 0) {
            fs::create_dir_all(directory)?;
            fs::write(directory.join(format!("{seed}-faults")), report.faults.join("\n"))?;
            for (i, log) in report.logs.iter().enumerate() {
                fs::write(directory.join(format!("{seed}-m{i}.log")), log)?;
            }
        }
    }
    println!("{} seeds, {failed} with violations", arguments.count);
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
