//! Goals of the overload control, checked as bounds on the results of the simulation.

use {
    monsoon_bench::overload::{Case, Control, Report, Variant, cases, run},
    std::time::Duration,
};

const SEEDS: [u64; 2] = [1, 2];
const MIN_GOODPUT: f64 = 0.95;
const MIN_SHARE: f64 = 0.95;
const MAX_RECOVERY: Duration = Duration::from_secs(2);
const MAX_AMPLIFICATION: f64 = 1.1;

fn case(name: &str) -> Case {
    cases().into_iter().find(|case| case.name == name).expect("the case exists")
}

fn reports(name: &str) -> Vec<Report> {
    let variant = Variant::new("full", Control::Full);
    let reports: Vec<Report> = SEEDS.iter().map(|seed| run(&case(name), &variant, *seed)).collect();
    for report in &reports {
        println!("{report}");
    }
    reports
}

fn check_goals(name: &str) {
    for report in reports(name) {
        assert!(report.goodput >= MIN_GOODPUT, "goodput {}", report.goodput);
        assert!(report.recovery <= MAX_RECOVERY, "recovery {:?}", report.recovery);
        assert!(report.amplification <= MAX_AMPLIFICATION, "{} runs", report.amplification);
    }
}

#[test]
fn double_demand() {
    check_goals("2x demand");
}

#[test]
fn fivefold_demand() {
    check_goals("5x demand");
}

#[test]
fn three_pools() {
    check_goals("5x, three pools");
}

#[test]
fn slow_deep_pool() {
    check_goals("slow deep pool");
}

#[test]
fn overstated_slots() {
    check_goals("slots overstated");
}

#[test]
fn underreported_load() {
    let accurate = reports("5x demand");
    for (accurate, underreported) in accurate.iter().zip(reports("load reported as 0")) {
        assert!(underreported.goodput >= MIN_GOODPUT, "goodput {}", underreported.goodput);
        assert_eq!(
            accurate.refusals, underreported.refusals,
            "the reported load changes decisions"
        );
    }
}

#[test]
fn no_critical_loss() {
    for name in ["2x demand", "5x demand"] {
        for report in reports(name) {
            assert_eq!(
                report.critical_unanswered, 0,
                "{name}: critical requests were not answered"
            );
        }
    }
}

#[test]
fn worst_account() {
    for report in reports("5x demand") {
        assert!(report.worst_account >= MIN_SHARE, "{}", report.worst_account);
    }
}

#[test]
fn greedy_account() {
    for report in reports("greedy account") {
        assert!(report.worst_account >= MIN_SHARE, "{}", report.worst_account);
    }
}

#[test]
fn no_wrongful_refusal() {
    for name in ["2x demand", "5x demand", "cold third, 0.9x"] {
        for report in reports(name) {
            assert_eq!(report.wrongful, 0.0, "{name}: refused while every pool had idle slots");
        }
    }
}

#[test]
fn cold_third() {
    check_goals("cold third, 0.9x");
}

#[test]
fn cold_third_surge() {
    check_goals("cold third, 5x");
}

#[test]
fn shedding_target() {
    check_goals("shedding target");
}

#[test]
fn thrashing_target() {
    check_goals("thrashing target");
}

#[test]
fn slow_branch() {
    check_goals("slow branch");
}

#[test]
fn branched_surge() {
    check_goals("5x, branches");
}

#[test]
fn early_refusal_gain() {
    let case = case("slow branch");
    let full = Variant::new("full", Control::Full);
    let mut off = full.clone();
    off.pressure.is_early = false;
    for seed in SEEDS {
        let (on, off) = (run(&case, &full, seed), run(&case, &off, seed));
        assert!(on.goodput > off.goodput, "{} with, {} without", on.goodput, off.goodput);
    }
}
