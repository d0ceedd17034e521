//! Experiments that compare the project's decisions with simpler ones.

pub mod overload;
