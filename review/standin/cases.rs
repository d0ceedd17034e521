//! What each case does. A case returns whether its rule was broken.

mod dark_peer;
mod drain_flush;
mod repeated_decline;
mod slow_readers;
mod upload_links;

use std::io;

/// Plays a case.
pub fn play(case: &str, has_trouble: bool) -> io::Result<bool> {
    match case {
        "dark-peer" => dark_peer::play(has_trouble),
        "drain-flush" => drain_flush::play(has_trouble),
        "repeated-decline" => repeated_decline::play(has_trouble),
        "slow-readers" => slow_readers::play(has_trouble),
        "upload-links" => upload_links::play(has_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}
