//! Picks prefer targets with spare capacity and local ones, and avoid failing and leaving targets.

use {
    monsoon_lib::{
        admission::CallResult,
        balance::{Picker, Settings, State, TargetInfo},
        id, pressure,
        time::Instant,
    },
    std::{collections::BTreeMap, time::Duration},
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn vm(name: &str) -> id::Vm {
    name.parse().expect("a valid name")
}

fn target(name: &str, data_centre: &str) -> TargetInfo {
    let data_centre = data_centre.parse().expect("a valid name");
    TargetInfo { vm: vm(name), data_centre, slots: 100, is_leaving: false }
}

fn picker(members: &[TargetInfo]) -> Picker {
    let mut picker = Picker::new(Settings::default(), "near".parse().expect("a valid name"), 7);
    picker.set_targets(Instant::ZERO, members);
    picker
}

fn two_data_centres() -> Vec<TargetInfo> {
    vec![target("a", "near"), target("b", "near"), target("c", "far"), target("d", "far")]
}

/// Sends sequential calls with the results and latencies that `answer` gives for the VM. Returns
/// the number of calls by VM.
fn send(
    picker: &mut Picker,
    start: Instant,
    count: u64,
    answer: impl Fn(&str) -> (CallResult, Duration),
) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for i in 0..count {
        let now = start + ms(i);
        let vm = picker.pick(now, &[]).expect("there is a target");
        let (kind, latency) = answer(vm.as_str());
        picker.call_started(&vm);
        picker.call_finished(now, &vm, kind, Some(latency));
        *counts.entry(vm.to_string()).or_default() += 1;
    }
    counts
}

fn report(in_flight: u32, limit: u32) -> pressure::Report {
    pressure::Report { in_flight, limit, ..Default::default() }
}

/// Sends calls for a second while the local targets report that they are full. The remote ones
/// report the given load when a call reaches them. Returns the number of remote calls.
fn send_beside_full_targets(remote: &pressure::Report) -> u64 {
    let settings = Settings { assumes_mean_load: true, ..Settings::default() };
    let mut picker = Picker::new(settings, "near".parse().expect("a valid name"), 7);
    picker.set_targets(Instant::ZERO, &two_data_centres());
    let mut remote_calls = 0;
    for i in 0..1_000 {
        let now = Instant::ZERO + ms(i);
        picker.record_report(now, &vm("a"), &report(100, 100));
        picker.record_report(now, &vm("b"), &report(100, 100));
        let picked = picker.pick(now, &[]).expect("there is a target");
        picker.call_started(&picked);
        picker.call_finished(now, &picked, CallResult::Ok, Some(ms(50)));
        if picked == vm("c") || picked == vm("d") {
            remote_calls += 1;
            picker.record_report(now, &picked, remote);
        }
    }
    remote_calls
}

/// Under overload everywhere, targets elsewhere are not taken for idle because nothing has been
/// heard of them: only the calls that find out their load go there, one each 500 ms and target.
#[test]
fn unknown_remote_load() {
    let remote_calls = send_beside_full_targets(&report(100, 100));
    assert!((2..=8).contains(&remote_calls), "{remote_calls} remote calls");
}

/// Room elsewhere is still found and used.
#[test]
fn remote_room() {
    let remote_calls = send_beside_full_targets(&report(10, 100));
    assert!(remote_calls >= 900, "{remote_calls} remote calls");
}

#[test]
fn near_first() {
    let mut picker = picker(&two_data_centres());
    let counts = send(&mut picker, Instant::ZERO, 400, |_| (CallResult::Ok, ms(10)));
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["a", "b"]);
    assert!(counts.values().all(|count| *count > 100), "{counts:?}");
}

#[test]
fn far_when_full() {
    let mut picker = picker(&two_data_centres());
    send(&mut picker, Instant::ZERO, 50, |_| (CallResult::Ok, ms(10)));
    let now = Instant::from_millis(100);
    for name in ["a", "b"] {
        picker.record_report(now, &vm(name), &report(100, 100));
    }
    for name in ["c", "d"] {
        picker.record_report(now, &vm(name), &report(20, 100));
    }
    let counts = send(&mut picker, now, 50, |_| (CallResult::Ok, ms(10)));
    let far = counts.get("c").unwrap_or(&0) + counts.get("d").unwrap_or(&0);
    assert!(far >= 45, "{counts:?}");
}

#[test]
fn slow_target() {
    let members = [target("a", "near"), target("b", "near"), target("c", "near")];
    let mut picker = picker(&members);
    let latency = |name: &str| if name == "a" { ms(100) } else { ms(10) };
    let counts = send(&mut picker, Instant::ZERO, 1000, |name| (CallResult::Ok, latency(name)));
    assert!(counts["a"] <= 20, "{counts:?}");
}

#[test]
fn leaving_target() {
    let mut picker = picker(&two_data_centres());
    picker.mark_leaving(&vm("a"));
    let counts = send(&mut picker, Instant::ZERO, 200, |_| (CallResult::Ok, ms(10)));
    assert!(!counts.contains_key("a"), "{counts:?}");
    let excluded = [vm("b"), vm("c"), vm("d")];
    assert_eq!(picker.pick(Instant::ZERO, &excluded), None);
}

#[test]
fn failing_target() {
    let members = [target("a", "near"), target("b", "near"), target("c", "near")];
    let mut picker = picker(&members);
    let answer = |name: &str| {
        if name == "a" { (CallResult::Broken, ms(1)) } else { (CallResult::Ok, ms(10)) }
    };
    let counts = send(&mut picker, Instant::ZERO, 900, answer);
    assert!(counts["a"] <= 4, "{counts:?}");
    let restored =
        send(&mut picker, Instant::from_millis(1200), 3000, |_| (CallResult::Ok, ms(10)));
    assert!(restored["a"] >= 300, "{restored:?}");
    let state = picker.dump(Instant::from_millis(4200)).members[&vm("a")].state;
    assert_eq!(state, State::Open);
}

#[test]
fn bounded_ejection() {
    let members = [target("a", "near"), target("b", "near"), target("c", "near")];
    let mut picker = picker(&members);
    let counts = send(&mut picker, Instant::ZERO, 300, |_| (CallResult::Broken, ms(1)));
    let states = picker.dump(Instant::from_millis(300)).members;
    let ejected = states.values().filter(|status| status.state == State::Ejected).count();
    assert_eq!(ejected, 1, "{counts:?}");
}

#[test]
fn common_failure() {
    let members = [target("a", "near"), target("b", "near"), target("c", "near")];
    let mut picker = picker(&members);
    send(&mut picker, Instant::ZERO, 600, |_| (CallResult::Failed, ms(10)));
    let states = picker.dump(Instant::from_millis(600)).members;
    assert!(states.values().all(|status| status.state == State::Open));
}

#[test]
fn new_target() {
    let mut members = vec![target("a", "near"), target("b", "near")];
    let mut picker = picker(&members);
    send(&mut picker, Instant::ZERO, 100, |_| (CallResult::Ok, ms(10)));
    members.push(target("c", "near"));
    picker.set_targets(Instant::from_millis(100), &members);
    let early = send(&mut picker, Instant::from_millis(100), 200, |_| (CallResult::Ok, ms(10)));
    let late = send(&mut picker, Instant::from_millis(3000), 200, |_| (CallResult::Ok, ms(10)));
    let target_calls = |counts: &BTreeMap<String, u64>| *counts.get("c").unwrap_or(&0);
    assert!(target_calls(&early) < target_calls(&late), "{early:?} then {late:?}");
    assert!(target_calls(&late) > 30, "{late:?}");
}

fn reporting_picker(members: &[TargetInfo], seed: u64) -> Picker {
    let settings = Settings { reported_latency: true, ..Settings::default() };
    let mut picker = Picker::new(settings, "near".parse().expect("a valid name"), seed);
    picker.set_targets(Instant::ZERO, members);
    picker
}

/// A target that has become slow would get calls until each sender has measured it, and one that is
/// fast again would get none.
#[test]
fn reported_latency() {
    let mut picker = reporting_picker(&[target("a", "near"), target("b", "near")], 7);
    let report_latency = |picker: &mut Picker, now: Instant, name: &str, latency: Duration| {
        let report = pressure::Report { latency, ..report(10, 100) };
        picker.record_report(now, &vm(name), &report);
    };
    let measured = |name: &str| (CallResult::Ok, if name == "a" { ms(20) } else { ms(10) });
    report_latency(&mut picker, Instant::ZERO, "a", ms(10));
    report_latency(&mut picker, Instant::ZERO, "b", ms(25));
    let counts = send(&mut picker, Instant::ZERO, 100, measured);
    assert_eq!(counts.get("b"), None, "{counts:?}");
    report_latency(&mut picker, Instant::from_millis(100), "a", ms(25));
    report_latency(&mut picker, Instant::from_millis(100), "b", ms(10));
    let counts = send(&mut picker, Instant::from_millis(100), 100, measured);
    assert_eq!(counts.get("a"), None, "{counts:?}");
    // Old reports are ignored.
    report_latency(&mut picker, Instant::from_millis(200), "a", ms(1));
    let counts = send(&mut picker, Instant::from_millis(701), 100, measured);
    assert_eq!(counts.get("a"), None, "{counts:?}");
}

/// Reports lack the path to another data centre, so that more calls would go there than callers gain
/// from.
#[test]
fn remote_path() {
    let mut picker = reporting_picker(&[target("a", "near"), target("c", "far")], 7);
    let mut now = Instant::ZERO;
    for _ in 0..200 {
        now += ms(5);
        for (name, latency) in [("a", ms(51)), ("c", ms(61))] {
            let report = pressure::Report { latency: ms(50), ..report(50, 100) };
            picker.record_report(now, &vm(name), &report);
            picker.call_started(&vm(name));
            picker.call_finished(now, &vm(name), CallResult::Ok, Some(latency));
        }
    }
    let members = picker.dump(now).members;
    let ratio = members[&vm("c")].cost / members[&vm("a")].cost;
    assert!((1.15..1.25).contains(&ratio), "{ratio}");
}

/// Nodes with the same stale report would all pick the target that it shows as the best.
#[test]
fn no_herd() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    let members = names.map(|name| target(name, "near"));
    let mut counts: BTreeMap<id::Vm, u32> = BTreeMap::new();
    for seed in 0..50 {
        let mut picker = reporting_picker(&members, seed);
        for name in names {
            let latency = if name == "a" { ms(10) } else { ms(25) };
            let report = pressure::Report { latency, ..report(50, 100) };
            picker.record_report(Instant::ZERO, &vm(name), &report);
        }
        for i in 0..10 {
            let vm = picker.pick(Instant::from_millis(i), &[]).expect("there is a target");
            picker.call_started(&vm);
            *counts.entry(vm).or_default() += 1;
        }
    }
    // A sample of two holds each of ten targets in a fifth of the picks.
    assert!(counts[&vm("a")] < 500 / 4, "{counts:?}");
}

#[test]
fn same_seed() {
    let run = || {
        let mut picker = picker(&two_data_centres());
        let pick = |i| picker.pick(Instant::from_millis(i), &[]).expect("there is a target");
        (0..100).map(pick).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
