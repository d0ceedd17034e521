//! The form in which nodes exchange documents.
//!
//! Postcard encodes by position, so the layout is that of earlier versions. These take a document
//! without accounts for one whose requests need no key.

use {
    super::{Account, Bounds, Route},
    crate::{
        id,
        unit::{Rate, Revision},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The name of the account that stands for none. It holds no keys.
const NO_ACCOUNT: &str = ".";

/// A document as nodes exchange it.
#[derive(Debug, Deserialize, Serialize)]
pub struct Document {
    revision: Revision,
    routes: Vec<Route>,
    /// The client accounts. If requests need a key, there is at least one.
    accounts: Vec<Account>,
    health: BTreeMap<id::Pool, String>,
    bounds: Bounds,
}

fn is_placeholder(account: &Account) -> bool {
    account.name.as_str() == NO_ACCOUNT && account.keys.is_empty()
}

impl From<super::Document> for Document {
    fn from(document: super::Document) -> Self {
        let super::Document { revision, routes, mut accounts, health, bounds, .. } = document;
        if document.requires_key && accounts.is_empty() {
            accounts.push(Account {
                name: id::Account::sanitize(NO_ACCOUNT),
                rank: 0,
                rate: Some(Rate(0)),
                burst: 0,
                keys: Vec::new(),
            });
        }
        Self { revision, routes, accounts, health, bounds }
    }
}

impl From<Document> for super::Document {
    fn from(document: Document) -> Self {
        let Document { revision, routes, mut accounts, health, bounds } = document;
        let requires_key = !accounts.is_empty();
        accounts.retain(|account| !is_placeholder(account));
        Self { revision, routes, accounts, requires_key, health, bounds, cold: None }
    }
}
