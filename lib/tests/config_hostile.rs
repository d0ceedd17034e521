//! Hostile or malformed input from a peer neither decreases a revision nor blocks updates.

mod fleet;

use {
    fleet::{Fleet, tables},
    monsoon_lib::{
        config::{
            Action, Cursor, Difference, Message, Page, PageError, StateKind, Store, Text, Value,
            ValueChunk,
        },
        id,
        member::Peer,
        time::Instant,
        unit::Revision,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn empty_claim() {
    let mut fleet = Fleet::new(6, 3, 1);
    fleet.platform.publish(&tables::initial_values());
    fleet.run(20 * SECOND);
    fleet.start(0);
    for round in 0..600 {
        fleet.inject(1, 0, Message::Announce { complete: Revision(u64::MAX - round) });
        fleet.run(Duration::from_millis(100));
        if round == 300 {
            fleet.platform.publish(&[tables::account("acme", 7)]);
        }
        if round == 350 {
            assert!(fleet.is_in_force(Revision(2)), "a false claim delays a change");
        }
    }
    let node = &fleet.nodes[0];
    assert!(node.store.keys_usable(fleet.clock_of(node)).is_ok());
    assert!(!node.store.dump(fleet.clock_of(node)).muted.is_empty());
}

/// Makes a store at revision 5 with one live peer.
fn store() -> (Store, id::Vm, Vec<Peer>) {
    let me: id::Vm = "me".parse().expect("a good name");
    let peer: id::Vm = "peer".parse().expect("a good name");
    let data_centre: id::DataCentre = "dc-0".parse().expect("a good name");
    let mut store =
        Store::new(Default::default(), me, data_centre.clone(), id::Incarnation(1_000), 1);
    let live = vec![Peer {
        vm: peer.clone(),
        data_centre,
        address: None,
        incarnation: id::Incarnation(1_000),
        leaving: false,
        suspect: false,
    }];
    store.vms_read(Instant::ZERO, Ok(()));
    let actions = store.tick(Instant::from_millis(1), &live);
    assert!(actions.iter().any(|action| matches!(action, Action::Read { .. })));
    let value = |(name, text): tables::Line| Value { name, revision: Revision(5), text };
    let values = tables::initial_values().into_iter().map(value).collect();
    let difference = Difference { revision: Revision(5), reset: false, values };
    store.published(Instant::from_millis(2), Ok(difference));
    assert_eq!(store.known(), Revision(5));
    (store, peer, live)
}

/// Makes the store fetch a revision that the peer claims, and answers with a page.
fn answer(store: &mut Store, peer: &id::Vm, page: Page) {
    let now = Instant::from_millis(10_000);
    let actions = store.receive(now, peer, Message::Announce { complete: Revision(9) });
    let fetch = actions.iter().find_map(|action| match action {
        Action::Send(_, Message::Fetch { nonce, .. }) => Some(*nonce),
        _ => None,
    });
    let nonce = fetch.expect("the store fetches what a peer claims to have");
    store.receive(now, peer, Message::Page { nonce, page });
}

fn chunk(name: &str, revision: u64, text: &str) -> ValueChunk {
    let total = u32::try_from(text.len()).expect("the text is short");
    let text = Some(Text { total, offset: 0, part: text.into() });
    ValueChunk { name: name.into(), revision: Revision(revision), text }
}

fn page(revision: u64, chunks: Vec<ValueChunk>) -> Page {
    Page { revision: Revision(revision), base: Revision(5), reset: false, chunks, last: true }
}

fn page_error(page: Page) -> Option<String> {
    let (mut store, peer, _) = store();
    answer(&mut store, &peer, page);
    assert_eq!(store.known(), Revision(5));
    store.dump(Instant::from_millis(10_000)).page_error
}

#[test]
fn bad_pages() {
    let good = "{ name: a, rate: 1, burst: 1 }";
    let message = |error: PageError| Some(error.to_string());
    let old = page(9, vec![chunk("accounts/a", 4, good)]);
    assert_eq!(page_error(old), message(PageError::OutOfOrder));
    let beyond = page(9, vec![chunk("accounts/a", 10, good)]);
    assert_eq!(page_error(beyond), message(PageError::OutOfOrder));
    let reversed = page(9, vec![chunk("accounts/b", 8, good), chunk("accounts/a", 8, good)]);
    assert_eq!(page_error(reversed), message(PageError::OutOfOrder));
    let mut part = chunk("accounts/a", 8, good);
    part.text.as_mut().expect("it has one").total += 1;
    assert_eq!(page_error(page(9, vec![part])), message(PageError::Truncated));
    let mut part = chunk("accounts/a", 8, good);
    part.text.as_mut().expect("it has one").offset = 1;
    assert_eq!(page_error(page(9, vec![part])), message(PageError::Mismatch));
    let mut large = chunk("accounts/a", 8, good);
    large.text.as_mut().expect("it has one").total = u32::MAX;
    assert_eq!(page_error(page(9, vec![large])), message(PageError::TooLarge));
    assert_eq!(page_error(page(u64::MAX, vec![])), message(PageError::Ahead));
    assert_eq!(page_error(page(3, vec![])), None);
}

/// Pages of two senders at different revisions are not combined, because a value changed in between
/// would be in neither part.
#[test]
fn moved_value() {
    let (mut store, peer, mut live) = store();
    let other: id::Vm = "other".parse().expect("a good name");
    live.push(Peer { vm: other.clone(), ..live[0].clone() });
    let now = Instant::from_millis(10_000);
    let good = "{ name: a, rate: 1, burst: 1 }";
    let first = Page { last: false, ..page(9, vec![chunk("accounts/a", 8, good)]) };
    store.tick(now, &live);
    answer(&mut store, &peer, first);
    store.receive(now, &other, Message::Announce { complete: Revision(8) });
    for seconds in 1..20 {
        let now = now + seconds * SECOND;
        let actions = store.tick(now, &live);
        let nonce = actions.iter().find_map(|action| match action {
            Action::Send(to, Message::Fetch { nonce, .. }) if *to == other => Some(*nonce),
            _ => None,
        });
        if let Some(nonce) = nonce {
            store.receive(now, &other, Message::Page { nonce, page: page(8, vec![]) });
            assert_eq!(store.known(), Revision(5), "an incomplete change was applied");
            return;
        }
    }
    panic!("the store never fetches from the other peer");
}

#[test]
fn impossible_name() {
    let (mut store, peer, _) = store();
    let good = "{ name: a, rate: 1, burst: 1 }";
    let chunks = vec![chunk("a b\n", 8, good), chunk("accounts/a", 8, good)];
    answer(&mut store, &peer, page(9, chunks));
    assert_eq!(store.set().map(|set| set.revision()), Some(Revision(9)));
    assert_eq!(store.set().expect("it is in force").accounts().len(), 2);
}

#[test]
fn unrequested_page() {
    let (mut store, peer, _) = store();
    for nonce in 0..1_000 {
        let page = page(9, vec![chunk("accounts/a", 8, "{ name: a, rate: 1, burst: 1 }")]);
        store.receive(Instant::from_millis(10_000), &peer, Message::Page { nonce, page });
    }
    assert_eq!(store.known(), Revision(5));
}

fn revision() -> impl Strategy<Value = Revision> {
    prop_oneof![0..20u64, any::<u64>()].prop_map(Revision)
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("accounts/acme".to_owned()),
        (0..12u64).prop_map(|key| tables::key(key, "acme").0),
        "[ -~]{0,12}",
        ".{0,200}",
    ]
}

fn any_chunk() -> impl Strategy<Value = ValueChunk> {
    let text = (any::<u32>(), any::<u32>(), ".{0,40}", any::<bool>()).prop_map(
        |(total, offset, part, is_whole)| match is_whole {
            true => Text { total: part.len() as u32, offset: 0, part },
            false => Text { total, offset, part },
        },
    );
    (name(), revision(), prop::option::of(text)).prop_map(|(name, revision, text)| ValueChunk {
        name,
        revision,
        text,
    })
}

fn any_page() -> impl Strategy<Value = Page> {
    let chunks = prop::collection::vec(any_chunk(), 0..6);
    (revision(), revision(), any::<bool>(), chunks, any::<bool>()).prop_map(
        |(revision, base, reset, chunks, last)| Page { revision, base, reset, chunks, last },
    )
}

fn any_message() -> impl Strategy<Value = Message> {
    let cursor = (revision(), name(), any::<u32>()).prop_map(|(revision, name, offset)| Cursor {
        revision,
        name,
        offset,
    });
    let part = prop_oneof![Just(StateKind::Latest), Just(StateKind::Accepted)];
    prop_oneof![
        (any::<u32>(), revision()).prop_map(|(nonce, complete)| Message::Query { nonce, complete }),
        (any::<u32>(), revision(), revision(), any::<Option<u64>>()).prop_map(
            |(nonce, complete, accepted, age_ms)| Message::Answer {
                nonce,
                complete,
                accepted,
                age_ms,
                withdrawals: vec![],
            }
        ),
        revision().prop_map(|complete| Message::Announce { complete }),
        (any::<u32>(), part, revision(), cursor).prop_map(|(nonce, state_kind, base, from)| {
            Message::Fetch { nonce, state_kind, base, from }
        }),
        (any::<u32>(), any_page()).prop_map(|(nonce, page)| Message::Page { nonce, page }),
        any::<u32>().prop_map(|nonce| Message::Busy { nonce }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// For any messages and pages of a peer, the revisions never decrease and the node keeps
    /// running.
    #[test]
    fn any_input(messages in prop::collection::vec((any_message(), any_page()), 1..60)) {
        let (mut store, peer, live) = store();
        let mut now = Instant::from_millis(20_000);
        let mut highest = Revision(5);
        for (message, page) in messages {
            let mut actions = store.receive(now, &peer, message);
            actions.extend(store.tick(now, &live));
            for action in actions {
                if let Action::Send(_, Message::Fetch { nonce, .. }) = action {
                    let page = page.clone();
                    store.receive(now, &peer, Message::Page { nonce, page });
                }
            }
            let revision = store.set().expect("a set is in force").revision();
            prop_assert!(revision >= highest);
            prop_assert!(store.known() >= revision);
            highest = revision;
            now += SECOND;
        }
    }
}
