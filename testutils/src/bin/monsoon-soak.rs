//! Plays seeds of the fault soak and prints what came of each.

use {
    argh::FromArgs,
    monsoon_testutils::mesh::soak,
    std::{fs, io, path::PathBuf, process::ExitCode, time::Duration},
};

/// Plays seeds of the fault soak one after the other. Ends with an error if a promise was broken.
#[derive(FromArgs)]
struct Arguments {
    /// the executable of the node
    #[argh(option, default = "PathBuf::from(\"target/debug/monsoon-platform\")")]
    program: PathBuf,
    /// the first seed
    #[argh(option)]
    from: u64,
    /// the number of seeds
    #[argh(option, default = "1")]
    count: u64,
    /// how long each seed has faults, in seconds
    #[argh(option, default = "15")]
    seconds: u64,
    /// a folder for the logs of seeds with broken promises
    #[argh(option)]
    logs: Option<PathBuf>,
}

#[actix_web::main]
async fn main() -> io::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    let mut broken = 0;
    for seed in arguments.from..arguments.from + arguments.count {
        let length = Duration::from_secs(arguments.seconds);
        let report = soak::run(&arguments.program, seed, length).await?;
        let (faults, found) = (report.faults.len(), report.violations.len());
        println!(
            "seed {seed}: {faults} faults, {} of {} served, {found} promises broken",
            report.served, report.sent
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        broken += usize::from(found > 0);
        if let Some(folder) = arguments.logs.as_ref().filter(|_| found > 0) {
            fs::create_dir_all(folder)?;
            fs::write(folder.join(format!("{seed}-faults")), report.faults.join("\n"))?;
            for (i, log) in report.logs.iter().enumerate() {
                fs::write(folder.join(format!("{seed}-m{i}.log")), log)?;
            }
        }
    }
    println!("{} seeds, {broken} with broken promises", arguments.count);
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
