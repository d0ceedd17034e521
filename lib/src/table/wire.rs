//! The YAML format of the tables, as written by operators.

use {
    super::{Access, Class},
    crate::id,
    serde::{Deserialize, Serialize},
    serde_saphyr::Spanned,
    std::{collections::BTreeMap, fmt, str::FromStr},
};

/// One of the four tables, or the evacuated data centres. The name of a published value begins with its section.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Section {
    /// `routes/NAME`.
    Routes,
    /// `pools/NAME`.
    Pools,
    /// `accounts/NAME`.
    Accounts,
    /// `keys/DIGEST`.
    Keys,
    /// `evacuated/DATA_CENTRE`, whose value is the name again.
    Evacuated,
}

impl Section {
    /// All sections, in document order.
    pub const ALL: [Self; 5] =
        [Self::Routes, Self::Pools, Self::Accounts, Self::Keys, Self::Evacuated];

    /// Returns the name used in documents and as the prefix of published values' names.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Pools => "pools",
            Self::Accounts => "accounts",
            Self::Keys => "keys",
            Self::Evacuated => "evacuated",
        }
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An unknown section name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected routes, pools, accounts, keys or evacuated, not {0:?}")]
pub struct SectionError(String);

impl FromStr for Section {
    type Err = SectionError;

    fn from_str(text: &str) -> Result<Self, SectionError> {
        let section = Self::ALL.into_iter().find(|section| section.as_str() == text);
        section.ok_or_else(|| SectionError(text.into()))
    }
}

/// A file that contains all tables or parts of them.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    pub(super) routes: Vec<Spanned<Route>>,
    pub(super) pools: Vec<Spanned<Pool>>,
    pub(super) accounts: Vec<Spanned<Account>>,
    pub(super) keys: Vec<Spanned<Grant>>,
    pub(super) evacuated: Vec<Spanned<id::DataCentre>>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Route {
    pub name: id::Route,
    #[serde(rename = "match")]
    pub rule: Match,
    pub pool: id::Pool,
    pub class: Class,
    pub idempotent: bool,
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    #[serde(default)]
    pub access: Access,
    #[serde(default)]
    pub retries: u8,
}

fn default_deadline_ms() -> u64 {
    const DEADLINE_MS: u64 = 2_000;
    DEADLINE_MS
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Match {
    #[serde(default = "default_methods")]
    pub methods: Vec<String>,
    pub path: String,
}

fn default_methods() -> Vec<String> {
    vec!["GET".into()]
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Pool {
    pub name: id::Pool,
    pub targets: Vec<Target>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Target {
    pub vm: id::Vm,
    pub data_centre: id::DataCentre,
    pub slots: u32,
    pub connections: u32,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Account {
    pub name: id::Account,
    pub rate: u64,
    pub burst: u32,
    #[serde(default)]
    pub shares: BTreeMap<id::DataCentre, u32>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Grant {
    pub digest: String,
    pub account: id::Account,
}
