//! The two present deployments, scaled down to one machine, and a small fleet for tests.

use {
    super::description::{Account, Description, Pool, Route},
    monsoon_lib::table::Class,
};

/// The mean service time without nested calls, in microseconds.
const SERVICE_US: u64 = 10_000;

/// Describes two pools with one target per data centre each, and at least two targets each.
///
/// A booking at `/bookings` causes a look-up at `/notices`. The limits of both accounts are higher
/// than what a test sends.
pub fn small(data_centres: usize) -> Description {
    const SLOTS: u32 = 32;
    let targets = data_centres.max(2);
    let book = Route::once("book", "/bookings", Class::Booking, 1);
    let bench = Pool::new("bench", targets, SLOTS, book)
        .route(Route::lookup("slots", "/slots", Class::Browse, 2))
        .chain("/bookings", "/notices/linked");
    let notices = Route::lookup("notice", "/notices", Class::Notice, 1);
    let notice = Pool::new("notice", targets, SLOTS, notices);
    Description {
        accounts: vec![
            Account::new("chonburi", 10_000, 10_000),
            Account::new("rayong", 10_000, 10_000),
        ],
        ..Description::new(data_centres, vec![bench, notice])
    }
}

/// Describes the services for harness shops: 13 VMs in three data centres.
///
/// Slots and rates are scaled by `scale`. The notice pool is the bottleneck: the rate limits of all
/// accounts add up to about 0.7 of its capacity.
pub fn association(scale: f64) -> Description {
    let specification = Pool::new(
        "specification",
        4,
        slots(90, scale),
        Route::lookup("specification", "/specifications", Class::Browse, 50),
    )
    .chain("/specifications/linked", "/notices/linked")
    .service(SERVICE_US);
    let claims = Pool::new(
        "claims",
        3,
        slots(120, scale),
        Route::once("claim", "/claims", Class::Claim, 10),
    )
    .chain("/claims", "/specifications/linked")
    .service(SERVICE_US);
    let bench = Pool::new(
        "bench",
        3,
        slots(120, scale),
        Route::once("book-bench", "/bench/bookings", Class::Booking, 15),
    )
    .chain("/bench/bookings", "/specifications/bench")
    .service(SERVICE_US);
    let notice = Pool::new(
        "notice",
        3,
        slots(16, scale),
        Route::lookup("notice", "/notices", Class::Notice, 25),
    )
    .service(SERVICE_US);
    let rates = [2_400, 2_000, 1_600, 720, 720, 720, 720, 720];
    let names = ["chonburi", "rayong", "korat", "lampang", "phuket", "surin", "trat", "yala"];
    Description {
        accounts: accounts(&names, &rates, scale),
        ..Description::new(3, vec![specification, claims, bench, notice])
    }
}

/// Describes the rental of kitchens: 12 VMs in three data centres.
///
/// Slots and rates are scaled by `scale`. The equipment pool is the bottleneck: the rate limits of
/// all accounts add up to about 0.7 of its capacity.
pub fn matbakh(scale: f64) -> Description {
    let connections = 2_000;
    let availability = Pool::new(
        "availability",
        3,
        slots(330, scale),
        Route::lookup("availability", "/availability", Class::Browse, 45),
    )
    .chain("/availability", "/equipment/listed")
    .service(SERVICE_US);
    let booking = Pool::new(
        "booking",
        3,
        slots(330, scale),
        Route::once("booking", "/bookings", Class::Booking, 20),
    )
    .route(Route::once("confirmation", "/confirmations", Class::Booking, 0))
    .chain("/bookings", "/availability/booked")
    .service(SERVICE_US);
    let payment = Pool::new(
        "payment",
        3,
        slots(330, scale),
        Route::once("deposit", "/payments/deposits", Class::Payment, 15),
    )
    .chain_with("/payments/deposits", "POST", "/confirmations/paid")
    .service(SERVICE_US);
    let equipment = Pool::new(
        "equipment",
        3,
        slots(55, scale),
        Route::lookup("equipment", "/equipment", Class::Browse, 20),
    )
    .service(SERVICE_US);
    let large_pools = [availability, booking, payment].map(|pool| Pool { connections, ..pool });
    let rates = [3_400, 2_800, 2_400, 1_000, 1_000, 1_000, 1_000, 1_000];
    let names = ["ruwi", "seeb", "mutrah", "qurum", "bawshar", "azaiba", "ghala", "khuwair"];
    Description {
        accounts: accounts(&names, &rates, scale),
        ..Description::new(3, large_pools.into_iter().chain([equipment]).collect())
    }
}

fn slots(count: u32, scale: f64) -> u32 {
    (f64::from(count) * scale).round().max(1.0) as u32
}

fn accounts(names: &[&str], rates: &[u64], scale: f64) -> Vec<Account> {
    let account = |(name, rate): (&&str, &u64)| {
        let rate = (*rate as f64 * scale).round().max(1.0) as u64;
        Account::new(name, rate, u32::try_from(rate).unwrap_or(u32::MAX))
    };
    names.iter().zip(rates).map(account).collect()
}
