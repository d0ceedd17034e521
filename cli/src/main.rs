//! The operators' tool: it checks tables and settings, makes table edits, and asks nodes for their state.
//!
//! It exits with 0 where all is well, with 1 where it found something wrong, and with 2 where it could
//! not do its job. See docs/operate/monsoonctl.md.

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
    let texts: Vec<String> =
        env::args_os().skip(1).map(|text| text.to_string_lossy().into_owned()).collect();
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    match Arguments::from_args(&["monsoonctl"], &texts) {
        Ok(arguments) => run(arguments),
        Err(exit) => leave(&exit),
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
            ExitCode::from(error::EXIT_FAILED)
        }
    }
}

fn leave(exit: &EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output.trim_end());
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", exit.output.trim_end());
    ExitCode::from(error::EXIT_FAILED)
}
