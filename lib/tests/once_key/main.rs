//! Tests in virtual time, with several nodes, that each idempotency key runs at most once.

mod cost;
mod faults;
mod loss;
mod simulator;
mod verdicts;
