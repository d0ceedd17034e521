//! Runs a test double of the platform or of a target as a separate process.
//!
//! It prints a line of JSON with its address when it is ready, and runs until the process is
//! killed.

use {
    argh::FromArgs,
    monsoon_testutils::{
        platform::{Changes, Platform},
        target::{Settings, Target},
    },
    std::{fs, future, io, net::SocketAddr, path::PathBuf},
};

/// Runs a test double of the platform or of a target.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    standin: Standin,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Standin {
    Platform(PlatformArguments),
    Target(TargetArguments),
}

/// Runs the configuration service and the list of VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// the address to listen on, 127.0.0.1:0 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// a JSON file of values by name to publish at the start
    #[argh(option)]
    values: Option<PathBuf>,
}

/// Runs a target.
#[derive(FromArgs)]
#[argh(subcommand, name = "target")]
struct TargetArguments {
    /// the YAML file with the settings
    #[argh(option)]
    settings: PathBuf,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("can't read a file or bind the address: {0}")]
    Io(#[from] io::Error),
    #[error("invalid values: {0}")]
    Values(#[from] serde_json::Error),
    #[error("invalid settings: {0}")]
    Settings(#[from] serde_saphyr::Error),
}

#[actix_web::main]
async fn main() -> Result<(), Error> {
    let arguments: Arguments = argh::from_env();
    match arguments.standin {
        Standin::Platform(arguments) => run_platform(arguments).await,
        Standin::Target(arguments) => run_target(&arguments).await,
    }
}

async fn run_platform(arguments: PlatformArguments) -> Result<(), Error> {
    let platform = Platform::start(arguments.listen)?;
    if let Some(file) = arguments.values {
        let changes = serde_json::from_str(&fs::read_to_string(file)?)?;
        platform.publish(Changes { changes });
    }
    print_address(platform.address());
    future::pending().await
}

async fn run_target(arguments: &TargetArguments) -> Result<(), Error> {
    let settings: Settings = serde_saphyr::from_str(&fs::read_to_string(&arguments.settings)?)?;
    let target = Target::start(Settings { is_process: true, ..settings })?;
    print_address(target.address());
    future::pending().await
}

fn print_address(address: SocketAddr) {
    println!("{}", serde_json::json!({ "address": address }));
}
