//! Experiments on fleets of real node processes and on a simulation in virtual time.
//!
//! Each experiment takes a seed and prints a table of results. See docs/operate/bench.md.

mod commands;
mod experiment;
mod fault;
mod harm;
mod outcome;
mod plot;
mod probe;
mod run;
mod text;
mod usage;

use {argh::FromArgs, std::process::ExitCode};

/// Runs experiments on fleets of real node processes and on a simulation in virtual time.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Compare(commands::compare::Compare),
    Control(commands::control::Control),
    Demo(commands::demo::Demo),
    Latency(commands::latency::Latency),
    Overload(commands::overload::Overload),
    Run(commands::run::Run),
}

fn main() -> ExitCode {
    let Arguments { command } = argh::from_env();
    let result = match command {
        Command::Compare(compare) => compare.run(),
        Command::Control(control) => control.run(),
        Command::Demo(demo) => demo.run(),
        Command::Latency(latency) => latency.run(),
        Command::Overload(overload) => {
            overload.run();
            Ok(())
        }
        Command::Run(run) => run.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("monsoon-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
