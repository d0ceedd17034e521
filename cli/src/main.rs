//! `monsoonctl`, the operators' command-line tool. It checks tables and settings, creates table
//! entries, and queries nodes for their state.
//!
//! The exit code is 0 if no fault was found, 1 if a fault was found, and 2 if the command itself
//! failed. See docs/operate/monsoonctl.md.

mod commands;
mod error;
mod layout;
mod metrics;
mod node;
mod source;

use {
    argh::{EarlyExit, FromArgs as _},
    commands::Arguments,
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    let args: Vec<String> =
        env::args_os().skip(1).map(|arg| arg.to_string_lossy().into_owned()).collect();
    let args = separate_stdin(args.iter().map(String::as_str).collect());
    match Arguments::from_args(&["monsoonctl"], &args) {
        Ok(arguments) => run(arguments),
        Err(exit) => print_early_exit(&exit),
    }
}

/// Inserts `--` before a `-` that stands for standard input, because `argh` takes it for an option.
/// Only commands without options read files so.
fn separate_stdin(mut args: Vec<&str>) -> Vec<&str> {
    let reads_lines = matches!(args.first(), Some(&("pools" | "trace")));
    let is_separated = args.contains(&"--");
    let stdin = args.iter().position(|arg| *arg == source::STDIN);
    if let Some(index) = stdin.filter(|_| reads_lines && !is_separated) {
        args.insert(index, "--");
    }
    args
}

fn run(arguments: Arguments) -> ExitCode {
    match arguments.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("monsoonctl: {error}");
            if let Some(hint) = error.hint() {
                eprintln!("Hint: {hint}");
            }
            ExitCode::from(error::EXIT_ERROR)
        }
    }
}

fn print_early_exit(exit: &EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output.trim_end());
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", exit.output.trim_end());
    ExitCode::from(error::EXIT_ERROR)
}
