//! The stand-ins of the cases in `review/`, and what each case does.
//!
//! `standin CASE FOLDER` plays a case from the root of the repository, and writes `record.txt` into
//! its folder. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` the case leaves its disruption out.

mod cases;
mod http;
mod record;
mod server;
mod site;
mod store;

use std::{path::Path, process::exit, time::Duration};

/// How long a case may take. The nodes end with this process.
const TIMEOUT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = match record::start(Path::new(folder)) {
        Ok(()) => {
            std::thread::spawn(|| {
                std::thread::sleep(TIMEOUT);
                record!("the case took too long");
                exit(2);
            });
            record!("case {case}, {} the disruption", if has_trouble { "with" } else { "without" });
            std::panic::catch_unwind(|| cases::play(case, has_trouble))
        }
        Err(error) => Ok(Err(error)),
    };
    exit(match played {
        Ok(Ok(broken)) => {
            let verdict = if broken { "the rule was BROKEN" } else { "the rule held" };
            record!("{verdict}");
            println!("{case}: {verdict}");
            i32::from(broken)
        }
        Ok(Err(error)) => {
            record!("the case could not run: {error}");
            eprintln!("{case}: could not run: {error}");
            2
        }
        Err(_) => {
            record!("the case could not run: it panicked");
            2
        }
    });
}
