//! At most one run for each idempotency key, checked on several nodes in virtual time.

mod cost;
mod faults;
mod loss;
mod verdicts;
mod world;
