//! The `monsoond` binary: parses the arguments, starts the log and runs the daemon.

use {
    argh::FromArgs,
    monsoon_daemon::{logging, process},
    std::{path::PathBuf, process::ExitCode},
};

/// Overload control in front of the target on this VM.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file, in YAML
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match process::read_settings(arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if let Err(error) = logging::start(&settings.log) {
        eprintln!("monsoond: failed to start the log: {error}");
    }
    match actix::System::new().block_on(process::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &process::Error) -> ExitCode {
    eprintln!("monsoond: {error}");
    ExitCode::FAILURE
}
