//! Stand-ins of the platform, its servers and its clients, and the cases that use them.
//!
//! `standin CASE RECORD`: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod http;
mod proxy;
mod record;
mod server;
mod site;
mod store;

use std::{path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("can't write {path}: {error}");
            return ExitCode::from(2);
        }
    };
    let verdict = cases::run(case, &record, has_trouble);
    let code = match &verdict {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            2
        }
    };
    record.line(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "no verdict",
    });
    record.flush();
    ExitCode::from(code)
}
