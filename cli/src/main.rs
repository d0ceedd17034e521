//! `monsoonctl`, the operators' command-line tool. It checks tables and settings, creates table
//! entries, and queries nodes for their state.
//!
//! The exit code is 0 if no fault was found, 1 if a fault was found, and 2 if the command itself
//! failed. See docs/operate/monsoonctl.md.

mod commands;
mod error;
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
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Arguments::from_args(&["monsoonctl"], &args) {
        Ok(arguments) => run(arguments),
        Err(exit) => print_early_exit(&exit),
    }
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
