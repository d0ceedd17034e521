//! Whole sessions of the operators' tool, as golden files.

mod keys;
mod node;
mod nodes;
mod session;
mod tables;
