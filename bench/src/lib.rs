//! A simulation that compares the overload control of `monsoon_lib` with simpler controls.

pub mod overload;
