//! The action for each decision of a key's owner.

use {
    monsoon_lib::{
        call::{Outcome, Reason},
        id::{Account, Call, Incarnation, Pool, Route, Vm},
        once::{Action, CallRef, Decision, Deduplicator, Message, Peer, Request, Settings, Ticket},
        table::Builder,
        time::Instant,
        unit::Revision,
    },
    std::{sync::Arc, time::Duration},
};

const TABLES: &str = "\
pools:
  - name: bench
    targets:
      - { vm: v1, data_centre: d, slots: 9, connections: 9 }
";

fn peer(vm: &str) -> Peer {
    Peer { vm: vm.parse::<Vm>().expect("a name"), incarnation: Incarnation(1) }
}

/// Returns the actions of a node that is not the owner for a decision.
fn actions_for(decision: Decision) -> Vec<Action> {
    let mut builder = Builder::new();
    builder.add_document("test", TABLES);
    let tables = Arc::new(builder.finish(Revision(1)).expect("the tables are valid"));
    let now = Instant::from_millis(1);
    let mut deduplicator = Deduplicator::new(now, peer("v0"), Settings::default(), 1);
    deduplicator.set_tables(now, tables, |_| Revision(1));
    let (account, route): (Account, Route) =
        ("chonburi".parse().expect("a name"), "book".parse().expect("a name"));
    let pool: Pool = "bench".parse().expect("a name");
    let request = Request {
        account: Some(&account),
        route: &route,
        pool: &pool,
        key: b"k",
        fingerprint: 1,
        deadline: now + Duration::from_secs(1),
    };
    let actions = deduplicator.begin(now, Call(1), &request);
    assert!(matches!(&actions[..], [Action::Send { message: Message::Reserve { .. }, .. }]));
    deduplicator.receive(now, &peer("v1"), Message::Reserved { call: Call(1), decision })
}

#[test]
fn refusals() {
    use {Outcome::*, Reason::*};
    let table = [
        (Decision::InUse, Duplicate, Unknown),
        (Decision::Undetermined(Duration::from_secs(1)), Duplicate, Unknown),
        (Decision::NotOwner, Duplicate, Unknown),
        (Decision::Mismatch, KeyReuse, NotRun),
        (Decision::AtCapacity, Overload, NotRun),
    ];
    for (decision, reason, outcome) in table {
        let actions = actions_for(decision.clone());
        let [Action::Refuse { call: Call(1), refusal }] = &actions[..] else {
            panic!("{decision:?} gives {actions:?}");
        };
        assert_eq!((refusal.reason, refusal.outcome), (reason, outcome), "{decision:?}");
    }
}

#[test]
fn grant() {
    let ticket = Ticket { owner: peer("v1"), epoch: Revision(1), sequence: 1 };
    let actions = actions_for(Decision::Grant(ticket));
    assert!(matches!(&actions[..], [Action::Proceed { call: Call(1), .. }]), "{actions:?}");
}

#[test]
fn replay() {
    let place = CallRef { node: peer("v2"), call: Call(7) };
    let expected = vec![Action::Replay { call: Call(1), place: place.clone() }];
    assert_eq!(actions_for(Decision::Replay(place)), expected);
    let lost = CallRef { node: peer("v0"), call: Call(7) };
    assert!(matches!(&actions_for(Decision::Replay(lost))[..], [Action::Refuse { .. }]));
}
