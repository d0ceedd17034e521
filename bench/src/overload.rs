//! Overload in virtual time: the decisions of `monsoon_lib` against fake targets.
//!
//! Calls arrive in an open loop and go through a chain of pools; a fake target has slots, random
//! service times and a queue of its own. The same case runs without control, with a static limit
//! and plain retries, with all mechanisms, and with each of them off. Figures follow from the case
//! and the seed alone. See docs/design/admission.md.

mod case;
mod fake;
mod report;
mod sim;

pub use {
    case::{Case, Control, Demand, Pool, Slow, Variant, cases, variants},
    report::{Report, table},
    sim::run,
};
