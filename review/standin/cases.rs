//! What each case does. A case returns whether its rule was broken.

mod repeated_decline;

use std::io;

/// Plays a case.
pub fn play(case: &str, has_trouble: bool) -> io::Result<bool> {
    match case {
        "repeated-decline" => repeated_decline::play(has_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}
