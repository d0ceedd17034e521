//! Stand-ins of the platform's store, of application servers, of clients and of the platform's
//! process control, and the cases of this review that are scripts.
//!
//! Only the standard library is used, so that the build needs no registry. Each case starts the
//! node with the command of `deploy/system.toml`, on loopback addresses and the real clock.
//!
//! Usage: `standin-3 CASE`, in the folder of the case. The variable `TROUBLE=0` leaves the
//! disruption out. The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could
//! not run.

mod cases;
mod client;
mod http;
mod record;
mod server;
mod site;
mod store;

use std::{env, process::ExitCode};

/// Whether the rule of a case held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Why a case could not run.
pub type Error = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let case = env::args().nth(1).unwrap_or_default();
    match cases::run(&case, has_trouble) {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
