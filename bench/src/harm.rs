//! How much a failed request of each class harms its caller. Every goodput figure uses these weights.

use monsoon_lib::table::Class;

/// Returns the weight of a class in goodput.
///
/// A failed payment or claim costs days, a failed booking a day's trade, a failed look-up a wait, and a
/// notice can be read later.
pub const fn weight(class: Class) -> f64 {
    match class {
        Class::Payment | Class::Claim => 10.0,
        Class::Booking => 8.0,
        Class::Browse => 1.0,
        Class::Notice => 0.5,
    }
}
