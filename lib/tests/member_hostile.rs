//! Hostile or malformed input of a peer adds no VM and stops nothing.

use {
    monsoon_lib::{
        id,
        member::{Body, Fact, Health, Listing, Message, Origin, Rumour, Settings, State, View, Vm},
        time::Instant,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const LIFE: id::Incarnation = id::Incarnation(1_000_000_000);

fn vm(number: usize) -> id::Vm {
    format!("vm-{number}").parse().expect("a good name")
}

fn centre(number: usize) -> id::DataCentre {
    format!("dc-{number}").parse().expect("a good name")
}

/// The view of VM 0, which knows of five others.
fn view() -> View {
    let address = ([10, 0, 0, 0], 7_001).into();
    let mut view = View::new(Settings::default(), vm(0), centre(0), address, LIFE, 1);
    let line = |number: usize| Vm {
        vm: vm(number),
        data_centre: centre(number % 3),
        address: ([10, 0, 0, number as u8], 7_001).into(),
        state: Listing::Live,
    };
    let list: Vec<Vm> = (0..6).map(line).collect();
    view.listed(Instant::from_millis(1), &list);
    view
}

fn message(fact: Fact, body: Body, rumours: Vec<Rumour>) -> Message {
    let origin = Origin { data_centre: centre(1), address: ([10, 0, 0, 1], 7_001).into(), fact };
    Message { origin, body, rumours, suspected_data_centres: vec![] }
}

fn rumour(number: usize, fact: Fact) -> Rumour {
    Rumour { vm: vm(number), data_centre: centre(0), address: None, fact }
}

#[test]
fn unknown_rumour() {
    let mut view = view();
    let rumours = vec![rumour(77, Fact::new(LIFE))];
    view.receive(Instant::from_millis(2), &vm(1), message(Fact::new(LIFE), Body::Gossip, rumours));
    assert_eq!(view.state_of(&vm(77)), None);
}

#[test]
fn future_life() {
    let mut view = view();
    let future = Fact { health: Health::Dead, ..Fact::new(id::Incarnation(u64::MAX)) };
    let rumours = vec![rumour(2, future), rumour(0, future)];
    view.receive(Instant::from_millis(2), &vm(1), message(Fact::new(LIFE), Body::Gossip, rumours));
    assert_eq!(view.state_of(&vm(2)), Some(State::Live));
    let answers =
        view.receive(Instant::from_millis(3), &vm(2), message(future, Body::Gossip, vec![]));
    assert!(answers.is_empty());
}

#[test]
fn earlier_rumour() {
    let mut view = view();
    let later = Fact::new(LIFE);
    let earlier = Fact { health: Health::Dead, ..Fact::new(id::Incarnation(LIFE.0 - 5)) };
    let rumours = vec![rumour(2, later), rumour(2, earlier)];
    view.receive(Instant::from_millis(2), &vm(1), message(later, Body::Gossip, rumours));
    assert_eq!(view.state_of(&vm(2)), Some(State::Live));
}

#[test]
fn own_death() {
    let mut view = view();
    let dead = Fact { health: Health::Dead, ..Fact::new(LIFE) };
    let ping = Body::Ping { probe: 7 };
    let told = message(Fact::new(LIFE), ping, vec![rumour(0, dead)]);
    let answers = view.receive(Instant::from_millis(2), &vm(1), told);
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
    let life = prop_oneof![LIFE.0 - 3..LIFE.0 + 3, Just(0), any::<u64>(),];
    let health = prop_oneof![Just(Health::Alive), Just(Health::Suspect), Just(Health::Dead)];
    (life, prop_oneof![0..4u32, any::<u32>()], any::<bool>(), health).prop_map(
        |(life, round, leaving, health)| Fact {
            incarnation: id::Incarnation(life),
            round,
            leaving,
            health,
        },
    )
}

fn any_rumour() -> impl Strategy<Value = Rumour> {
    (0..9usize, 0..4usize, any_fact(), any::<bool>()).prop_map(|(number, dc, fact, has)| Rumour {
        vm: vm(number),
        data_centre: centre(dc),
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
    let suspected_data_centres = prop::collection::vec((0..5usize).prop_map(centre), 0..20);
    (any_fact(), any_body(), rumours, suspected_data_centres).prop_map(
        |(fact, body, rumours, suspected_data_centres)| Message {
            suspected_data_centres,
            ..message(fact, body, rumours)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Whatever comes in, no VM is added, messages out stay bounded and the own life stays.
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
            prop_assert_eq!(view.incarnation(), LIFE);
            now += Duration::from_millis(100);
        }
    }
}
