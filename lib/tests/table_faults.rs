//! Validation reports all faults of the tables, each with its location and a way to fix it.

use monsoon_lib::{id, table, unit::Revision};

const VALID: &str = "\
routes:
  - name: book
    match: { methods: [POST], path: /bench/bookings }
    pool: bench
    class: booking
    idempotent: false
pools:
  - name: bench
    targets:
      - { vm: bench-1, data_centre: bkk-1, slots: 120, connections: 400 }
accounts:
  - { name: chonburi, rate: 100, burst: 200 }
";

fn errors(text: &str) -> Vec<String> {
    let mut builder = table::Builder::new();
    builder.add_document("tables.yaml", text);
    let errors = builder.finish(Revision(1)).expect_err("the tables have faults");
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn valid_tables() {
    let mut builder = table::Builder::new();
    builder.add_document("tables.yaml", VALID);
    let set = builder.finish(Revision(7)).expect("the tables are valid");
    assert_eq!(set.revision(), Revision(7));
    let path = "/bench/bookings/17".parse().expect("the path is in normal form");
    let route = set.route("POST", &path).expect("the route matches below its path");
    assert_eq!(route.name.as_str(), "book");
    assert!(set.route("GET", &path).is_none());
}

#[test]
fn dangling_pool() {
    let errors = errors(&VALID.replace("pool: bench", "pool: bunch"));
    assert_eq!(
        errors,
        ["tables.yaml:2: no pools line is named \"bunch\"; add one or correct the name"]
    );
}

#[test]
fn several_faults() {
    let text = VALID.replace("rate: 100", "rate: 0").replace("slots: 120", "slots: 0");
    let errors = errors(&text);
    assert_eq!(
        errors,
        [
            "tables.yaml:8: slots is 0; set it from 1 to 65535",
            "tables.yaml:12: rate is 0; set it from 1 to 1000000",
        ]
    );
}

#[test]
fn unknown_field() {
    let errors = errors(&VALID.replace("class: booking", "class: booking\n    colour: red"));
    assert_eq!(errors.len(), 1);
    assert!(errors[0].contains("colour"), "{errors:?}");
}

#[test]
fn overlapping_routes() {
    let extra = "  - name: again
    match: { methods: [POST, PUT], path: /bench/bookings/ }
    pool: bench
    class: booking
    idempotent: false
pools:";
    let errors = errors(&VALID.replace("pools:", extra));
    assert_eq!(
        errors,
        [
            "tables.yaml:7: the route matches POST /bench/bookings as \"book\" does; change one path \
             or method"
        ]
    );
}

/// A misspelt data centre would leave the one that is meant in use.
#[test]
fn evacuated_data_centre() {
    let mut builder = table::Builder::new();
    builder.add_document("tables.yaml", &format!("{VALID}evacuated: [bkk-1]\n"));
    let set = builder.finish(Revision(7)).expect("the tables are valid");
    assert!(set.evacuated().iter().map(id::DataCentre::as_str).eq(["bkk-1"]));
    let mut builder = table::Builder::new();
    builder.add_document("tables.yaml", VALID);
    builder.add_value("evacuated/bkk-1", "bkk-1");
    assert_eq!(builder.finish(Revision(7)).expect("the tables are valid"), set);
    let errors = errors(&format!("{VALID}evacuated:\n  - bkk-2\n  - bkk-1\n  - bkk-1\n"));
    assert_eq!(
        errors,
        [
            "tables.yaml:14: no target is in data centre \"bkk-2\"; correct the name, or leave it \
             out of evacuated",
            "tables.yaml:16: evacuated has \"bkk-1\" twice, first at tables.yaml:15; remove or \
             rename one",
        ]
    );
}
