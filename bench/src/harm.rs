//! Weights of the request classes in goodput, by the harm that a failed request does to its caller.

use monsoon_lib::table::Class;

/// Returns the weight of a class in goodput.
///
/// A failed payment or claim costs the caller days, a failed booking a day's trade, and a failed
/// look-up a short wait. A notice can be read later.
pub const fn weight(class: Class) -> f64 {
    match class {
        Class::Payment | Class::Claim => 10.0,
        Class::Booking => 8.0,
        Class::Browse => 1.0,
        Class::Notice => 0.5,
    }
}
