//! Documents as nodes exchange them, also with nodes of earlier versions.

mod deployment;

use {
    deployment::{document, route},
    monsoon_lib::{
        id,
        mesh::table::{Account, Bounds, Document, Route, Table},
        unit::Revision,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The layout of versions that know no `requires_key`. These require keys if there are accounts.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierDocument {
    revision: Revision,
    routes: Vec<Route>,
    accounts: Vec<Account>,
    health: BTreeMap<id::Pool, String>,
    bounds: Bounds,
}

fn account() -> Account {
    let name = "alpha".parse().expect("a name");
    Account { name, rank: 0, rate: None, burst: 0, keys: Vec::new() }
}

fn exchange(document: &Document) -> Document {
    let bytes = postcard::to_stdvec(document).expect("it is small");
    postcard::from_bytes(&bytes).expect("it is complete")
}

/// Guards against peers for which no request needs a key any more, since the last account is gone.
#[test]
fn no_account_left() {
    for accounts in [Vec::new(), vec![account()]] {
        let sent = Document {
            requires_key: true,
            cold: None,
            ..document(vec![route("r1", "/a/")], accounts)
        };
        assert_eq!(exchange(&sent), sent);
        assert!(Table::new(exchange(&sent)).requires_key());
        let bytes = postcard::to_stdvec(&sent).expect("it is small");
        let earlier: EarlierDocument = postcard::from_bytes(&bytes).expect("it is complete");
        assert!(!earlier.accounts.is_empty(), "keys are required");
        assert!(earlier.accounts.iter().all(|account| account.keys.is_empty()));
    }
}

#[test]
fn keys_not_required() {
    let sent = Document { cold: None, ..document(vec![route("r1", "/a/")], Vec::new()) };
    assert!(!exchange(&sent).requires_key);
    let bytes = postcard::to_stdvec(&sent).expect("it is small");
    let earlier: EarlierDocument = postcard::from_bytes(&bytes).expect("it is complete");
    assert_eq!(earlier.accounts, []);
    assert_eq!(postcard::to_stdvec(&earlier).expect("it is small"), bytes);
}
