//! The exchange of facts between nodes.
//!
//! Earlier versions know revisions but no eras of the platform's store, so facts are sent in their
//! format, with what they lack in an extension that they ignore. See docs/design/platform.md.

use {
    super::frame::{Extension, FactOrigin, WireFact},
    monsoon_lib::{
        mesh::{
            fact::{Fact, Update},
            position::{Era, Position},
        },
        unit::Revision,
    },
};

/// A peer's request for the facts that it lacks.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// The position up to which the peer has all facts.
    pub after: Position,
    /// The revision of the peer's document.
    pub document: Revision,
}

impl Query {
    /// Returns the query that a peer sent with the given bare revision. `era` is the era of this
    /// node, which is that of earlier versions as well unless the store was restored.
    pub fn decode(after: Revision, extension: Option<&Extension>, era: Era) -> Self {
        match extension {
            Some(Extension::Query { era, document }) => {
                Self { after: Position::new(*era, after), document: *document }
            }
            _ => Self { after: Position::new(era, after), document: Revision(u64::MAX) },
        }
    }

    /// Returns the extension that completes the bare revision.
    pub fn extension(&self) -> Extension {
        Extension::Query { era: self.after.era, document: self.document }
    }
}

/// Splits an update into the facts as earlier versions know them and an extension.
pub fn encode(update: Update, outage_age_ms: Option<u64>) -> (Vec<WireFact>, Extension) {
    let origins = update
        .facts
        .iter()
        .map(|fact| FactOrigin { era: fact.position.era, heartbeat: fact.heartbeat });
    let extension = Extension::Update {
        era: update.position.era,
        origins: origins.collect(),
        is_complete: update.is_complete,
        outage_age_ms,
    };
    let facts = update.facts.into_iter().map(|fact| WireFact {
        key: fact.key,
        revision: fact.position.revision,
        value: fact.value,
    });
    (facts.collect(), extension)
}

/// Joins facts and extension to an update. Facts of earlier versions belong to the first era.
pub fn decode(facts: Vec<WireFact>, position: Revision, extension: Option<&Extension>) -> Update {
    let (era, origins, is_complete) = match extension {
        Some(Extension::Update { era, origins, is_complete, .. }) => {
            (*era, origins.as_slice(), *is_complete)
        }
        _ => (Era::default(), [].as_slice(), false),
    };
    let joined = facts.into_iter().enumerate().map(|(i, fact)| {
        let origin = origins.get(i).copied().unwrap_or_default();
        Fact {
            key: fact.key,
            position: Position::new(origin.era, fact.revision),
            heartbeat: origin.heartbeat,
            value: fact.value,
        }
    });
    Update { facts: joined.collect(), position: Position::new(era, position), is_complete }
}
