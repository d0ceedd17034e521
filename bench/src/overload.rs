//! A discrete-event simulation of overload, with the overload control of `monsoon_lib` in front of
//! fake targets.
//!
//! Calls arrive in an open loop and pass through a chain of pools. A fake target has slots, random
//! service times and its own queue. Each case runs without control, with a static limit and plain
//! retries, with all mechanisms, and with each mechanism disabled in turn. The results depend only
//! on the case and the seed. See docs/design/admission.md.

mod case;
mod fake;
mod report;
mod sim;

pub use {
    case::{Case, Control, Demand, Pool, Slow, Variant, cases, variants},
    report::{Report, table},
    sim::run,
};
