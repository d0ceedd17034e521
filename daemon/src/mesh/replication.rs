//! The exchange of facts between nodes.
//!
//! Earlier versions know revisions but no eras of the platform's store, so facts are sent in their
//! format, with what they lack in an extension that they ignore. See docs/design/platform.md.

use {
    super::frame::{ColdTarget, Extension, FactOrigin, Supplement, WireFact},
    monsoon_lib::{
        id,
        mesh::{
            cold,
            fact::{Fact, Update, Value},
            position::{Era, Position},
        },
        unit::Revision,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
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

/// Returns what an update holds beyond the format of its facts. An update with a document always has
/// a supplement, by which the peer knows that the document is complete.
pub fn supplement(update: &Update) -> Option<Supplement> {
    let values = || update.facts.iter().map(|fact| &fact.value);
    let document = values().find_map(|value| match value {
        Value::Document(document) => Some(document),
        _ => None,
    });
    let cold_targets: Vec<ColdTarget> = values()
        .filter_map(|value| match value {
            Value::Target(target) if !target.cold_remaining.is_zero() => Some(ColdTarget {
                target: target.name.clone(),
                remaining_ms: ceil_millis(target.cold_remaining),
            }),
            _ => None,
        })
        .collect();
    let is_needed = document.is_some() || !cold_targets.is_empty();
    is_needed.then(|| Supplement::Facts {
        cold_limits: document.map_or_else(Vec::new, |document| {
            document.cold.iter().map(|(pool, limit)| (pool.clone(), *limit)).collect()
        }),
        cold_targets,
        evacuations: Vec::new(),
    })
}

/// Completes the facts of an update with its supplement.
fn complete(facts: &mut [Fact], supplement: Option<&Supplement>) {
    let Some(Supplement::Facts { cold_limits, cold_targets, .. }) = supplement else { return };
    let limits: BTreeMap<id::Pool, cold::Limit> = cold_limits.iter().cloned().collect();
    let remaining: BTreeMap<&id::Vm, u64> =
        cold_targets.iter().map(|cold| (&cold.target, cold.remaining_ms)).collect();
    for fact in facts {
        match &mut fact.value {
            Value::Document(document) => Arc::make_mut(document).cold = limits.clone(),
            Value::Target(target) => {
                let remaining_ms = remaining.get(&target.name).copied().unwrap_or(0);
                target.cold_remaining = Duration::from_millis(remaining_ms);
            }
            Value::Removed => {}
        }
    }
}

fn ceil_millis(duration: Duration) -> u64 {
    duration.as_nanos().div_ceil(1_000_000).try_into().unwrap_or(u64::MAX)
}

/// Joins facts, extension and supplement to an update. Facts of earlier versions belong to the first
/// era.
pub fn decode(
    facts: Vec<WireFact>,
    position: Revision,
    extension: Option<&Extension>,
    supplement: Option<&Supplement>,
) -> Update {
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
    let mut facts: Vec<Fact> = joined.collect();
    complete(&mut facts, supplement);
    Update { facts, position: Position::new(era, position), is_complete }
}
