//! Hostile or malformed input from a peer neither adds a VM nor blocks the view.

use {
    monsoon_lib::{
        id,
        member::{Body, Fact, Health, Listing, Message, Origin, Rumour, Settings, State, View, Vm},
        time::Instant,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const INCARNATION: id::Incarnation = id::Incarnation(1_000_000_000);

fn vm(number: usize) -> id::Vm {
    format!("vm-{number}").parse().expect("a good name")
}

fn data_centre(number: usize) -> id::DataCentre {
    format!("dc-{number}").parse().expect("a good name")
}

/// Makes the view of VM 0, which knows five other VMs.
fn view() -> View {
    let address = ([10, 0, 0, 0], 7_001).into();
    let mut view = View::new(Settings::default(), vm(0), data_centre(0), address, INCARNATION, 1);
    let line = |number: usize| Vm {
        vm: vm(number),
        data_centre: data_centre(number % 3),
        address: ([10, 0, 0, number as u8], 7_001).into(),
        state: Listing::Live,
    };
    let list: Vec<Vm> = (0..6).map(line).collect();
    view.listed(Instant::from_millis(1), &list);
    view
}

fn message(fact: Fact, body: Body, rumours: Vec<Rumour>) -> Message {
    let origin =
        Origin { data_centre: data_centre(1), address: ([10, 0, 0, 1], 7_001).into(), fact };
    Message { origin, body, rumours, suspected_data_centres: vec![] }
}

fn rumour(number: usize, fact: Fact) -> Rumour {
    Rumour { vm: vm(number), data_centre: data_centre(0), address: None, fact }
}

#[test]
fn unknown_rumour() {
    let mut view = view();
    let rumours = vec![rumour(77, Fact::new(INCARNATION))];
    view.receive(
        Instant::from_millis(2),
        &vm(1),
        message(Fact::new(INCARNATION), Body::Gossip, rumours),
    );
    assert_eq!(view.state_of(&vm(77)), None);
}

#[test]
fn future_incarnation() {
    let mut view = view();
    let future = Fact { health: Health::Dead, ..Fact::new(id::Incarnation(u64::MAX)) };
    let rumours = vec![rumour(2, future), rumour(0, future)];
    view.receive(
        Instant::from_millis(2),
        &vm(1),
        message(Fact::new(INCARNATION), Body::Gossip, rumours),
    );
    assert_eq!(view.state_of(&vm(2)), Some(State::Live));
    let answers =
        view.receive(Instant::from_millis(3), &vm(2), message(future, Body::Gossip, vec![]));
    assert!(answers.is_empty());
}

#[test]
fn earlier_rumour() {
    let mut view = view();
    let later = Fact::new(INCARNATION);
    let earlier = Fact { health: Health::Dead, ..Fact::new(id::Incarnation(INCARNATION.0 - 5)) };
    let rumours = vec![rumour(2, later), rumour(2, earlier)];
    view.receive(Instant::from_millis(2), &vm(1), message(later, Body::Gossip, rumours));
    assert_eq!(view.state_of(&vm(2)), Some(State::Live));
}

#[test]
fn own_death() {
    let mut view = view();
    let dead = Fact { health: Health::Dead, ..Fact::new(INCARNATION) };
    let ping = Body::Ping { probe: 7 };
    let message_with_rumour = message(Fact::new(INCARNATION), ping, vec![rumour(0, dead)]);
    let answers = view.receive(Instant::from_millis(2), &vm(1), message_with_rumour);
    let is_refuted = |(_, answer): &(id::Vm, Message)| {
        answer.origin.fact.round == 1 && answer.origin.fact.health == Health::Alive
    };
    assert!(!answers.is_empty() && answers.iter().all(is_refuted));
    assert!(
        answers
            .iter()
            .any(|(to, answer)| { *to == vm(1) && answer.body == Body::Ack { probe: 7 } })
    );
}

fn any_fact() -> impl Strategy<Value = Fact> {
    let incarnation = prop_oneof![INCARNATION.0 - 3..INCARNATION.0 + 3, Just(0), any::<u64>(),];
    let health = prop_oneof![Just(Health::Alive), Just(Health::Suspect), Just(Health::Dead)];
    (incarnation, prop_oneof![0..4u32, any::<u32>()], any::<bool>(), health).prop_map(
        |(incarnation, round, leaving, health)| Fact {
            incarnation: id::Incarnation(incarnation),
            round,
            leaving,
            health,
        },
    )
}

fn any_rumour() -> impl Strategy<Value = Rumour> {
    (0..9usize, 0..4usize, any_fact(), any::<bool>()).prop_map(|(number, dc, fact, has)| Rumour {
        vm: vm(number),
        data_centre: data_centre(dc),
        address: has.then(|| ([10, 0, 0, 9], 7_001).into()),
        fact,
    })
}

fn any_body() -> impl Strategy<Value = Body> {
    let facts = prop::collection::vec(any_rumour(), 0..80);
    prop_oneof![
        any::<u32>().prop_map(|probe| Body::Ping { probe }),
        (0..20u32).prop_map(|probe| Body::Ack { probe }),
        (any::<u32>(), 0..9usize)
            .prop_map(|(probe, target)| Body::PingRequest { probe, target: vm(target) }),
        Just(Body::Gossip),
        (0..9usize).prop_map(|after| Body::Pull { after: Some(vm(after)) }),
        (facts, prop::option::of(0..9usize))
            .prop_map(|(facts, next)| Body::Push { facts, next: next.map(vm) }),
    ]
}

fn any_message() -> impl Strategy<Value = Message> {
    let rumours = prop::collection::vec(any_rumour(), 0..80);
    let suspected_data_centres = prop::collection::vec((0..5usize).prop_map(data_centre), 0..20);
    (any_fact(), any_body(), rumours, suspected_data_centres).prop_map(
        |(fact, body, rumours, suspected_data_centres)| Message {
            suspected_data_centres,
            ..message(fact, body, rumours)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// For any input, no VM is added, the messages sent stay bounded and the view's own incarnation
    /// does not change.
    #[test]
    fn any_input(messages in prop::collection::vec((0..9usize, any_message()), 1..60)) {
        let mut view = view();
        let mut now = Instant::from_millis(10);
        for (from, message) in messages {
            let answers = view.receive(now, &vm(from), message);
            prop_assert!(answers.len() <= 64);
            let ticked = view.tick(now);
            prop_assert!(ticked.len() <= 64);
            for (to, out) in answers.iter().chain(&ticked) {
                prop_assert!(*to != vm(0) && out.rumours.len() <= 10);
            }
            prop_assert!((6..9).all(|number| view.state_of(&vm(number)).is_none()));
            prop_assert_eq!(view.incarnation(), INCARNATION);
            now += Duration::from_millis(100);
        }
    }
}
