//! The exchange of facts between nodes.
//!
//! Earlier versions know revisions but no eras of the platform's store, so facts are sent in their
//! format, with what they lack in an extension and a supplement that they ignore. See
//! docs/design/platform.md.

use {
    super::frame::{ColdTarget, EvacuationFact, Extension, FactOrigin, Supplement, WireFact},
    monsoon_lib::{
        id,
        mesh::{
            cold,
            fact::{Fact, Heartbeat, Key, Update, Value},
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

/// Splits an update into the facts as earlier versions know them, an extension and a supplement.
pub fn encode(
    mut update: Update,
    outage_age_ms: Option<u64>,
) -> (Vec<WireFact>, Extension, Supplement) {
    let supplement = supplement(&update);
    update.facts.retain(|fact| !matches!(fact.key, Key::Evacuation(_)));
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
    (facts.collect(), extension, supplement)
}

/// Returns what an update holds beyond the format of its facts. Every update has a supplement, by
/// which the peer knows that its document is complete.
fn supplement(update: &Update) -> Supplement {
    let values = || update.facts.iter().map(|fact| &fact.value);
    let document = values().find_map(|value| match value {
        Value::Document(document) => Some(document),
        _ => None,
    });
    let cold_target = |value: &Value| match value {
        Value::Target(target) if !target.cold_remaining.is_zero() => Some(ColdTarget {
            target: target.name.clone(),
            remaining_ms: ceil_millis(target.cold_remaining),
        }),
        _ => None,
    };
    let evacuations = || update.facts.iter().filter_map(encode_evacuation).collect();
    Supplement::Facts {
        cold_limits: document.map_or_else(Vec::new, |document| {
            let limits = document.cold.iter().flatten();
            limits.map(|(pool, limit)| (pool.clone(), *limit)).collect()
        }),
        cold_targets: values().filter_map(cold_target).collect(),
        evacuations: update.has_evacuations.then(evacuations),
        has_cold_limits: !lacks_cold_limits(update),
    }
}

/// Returns whether an update has the operator's document without its bounds on cold targets. These
/// are then not known until the platform was read.
pub fn lacks_cold_limits(update: &Update) -> bool {
    let lacks = |fact: &Fact| matches!(&fact.value, Value::Document(d) if d.cold.is_none());
    update.facts.iter().any(lacks)
}

/// Completes the facts of an update with its supplement.
fn complete(facts: &mut [Fact], supplement: Option<&Supplement>) {
    let Some(Supplement::Facts { cold_limits, cold_targets, has_cold_limits, .. }) = supplement
    else {
        return;
    };
    let limits: BTreeMap<id::Pool, cold::Limit> = cold_limits.iter().cloned().collect();
    let limits = (*has_cold_limits || !limits.is_empty()).then_some(limits);
    let remaining: BTreeMap<&id::Vm, u64> =
        cold_targets.iter().map(|cold| (&cold.target, cold.remaining_ms)).collect();
    for fact in facts {
        match &mut fact.value {
            Value::Document(document) => Arc::make_mut(document).cold.clone_from(&limits),
            Value::Target(target) => {
                let remaining_ms = remaining.get(&target.name).copied().unwrap_or(0);
                target.cold_remaining = Duration::from_millis(remaining_ms);
            }
            Value::Evacuated | Value::Removed => {}
        }
    }
}

fn ceil_millis(duration: Duration) -> u64 {
    duration.as_nanos().div_ceil(1_000_000).try_into().unwrap_or(u64::MAX)
}

fn encode_evacuation(fact: &Fact) -> Option<EvacuationFact> {
    let Key::Evacuation(data_centre) = &fact.key else { return None };
    Some(EvacuationFact {
        data_centre: data_centre.clone(),
        era: fact.position.era,
        revision: fact.position.revision,
        is_active: fact.value == Value::Evacuated,
    })
}

fn decode_evacuation(fact: &EvacuationFact) -> Fact {
    Fact {
        key: Key::Evacuation(fact.data_centre.clone()),
        position: Position::new(fact.era, fact.revision),
        heartbeat: Heartbeat::default(),
        value: if fact.is_active { Value::Evacuated } else { Value::Removed },
    }
}

/// Joins facts, extension and supplement to an update. Facts of earlier versions belong to the first
/// era.
pub fn decode(
    facts: Vec<WireFact>,
    position: Revision,
    extension: Option<&Extension>,
    supplement: Option<&Supplement>,
) -> Update {
    let evacuations = match supplement {
        Some(Supplement::Facts { evacuations, .. }) => evacuations.as_deref(),
        _ => None,
    };
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
    facts.extend(evacuations.into_iter().flatten().map(decode_evacuation));
    Update {
        facts,
        position: Position::new(era, position),
        is_complete,
        has_evacuations: evacuations.is_some(),
    }
}

#[cfg(test)]
mod tests {
    use {
        super::{decode, encode, lacks_cold_limits},
        monsoon_lib::{
            id,
            mesh::{
                cold,
                fact::{Fact, FactStore, Heartbeat, Key, Update, Value},
                position::{Era, Position},
                table::{Bounds, Document},
            },
            time::Instant,
            unit::{Bytes, Revision},
        },
        std::{collections::BTreeMap, sync::Arc, time::Duration},
    };

    fn fact(key: Key, revision: u64, value: Value) -> Fact {
        let position = Position::new(Era(2), Revision(revision));
        Fact { key, position, heartbeat: Heartbeat { started_at_ms: revision, sequence: 1 }, value }
    }

    /// An evacuation in the list of facts would make the message unreadable for earlier versions,
    /// and would shift the origins of the facts behind it.
    #[test]
    fn evacuation_apart() {
        let name = "t1".parse().expect("a name");
        let target = fact(Key::Target(name), 7, Value::Removed);
        let zone = Key::Evacuation("za".parse().expect("a name"));
        let evacuation =
            Fact { heartbeat: Heartbeat::default(), ..fact(zone, 5, Value::Evacuated) };
        let update = Update {
            facts: vec![evacuation.clone(), target.clone()],
            position: Position::new(Era(2), Revision(9)),
            is_complete: true,
            has_evacuations: true,
        };
        let (facts, extension, supplement) = encode(update.clone(), None);
        assert_eq!(facts.len(), 1);
        let position = update.position.revision;
        let known = decode(facts.clone(), position, Some(&extension), Some(&supplement));
        assert_eq!(known, Update { facts: vec![target.clone(), evacuation], ..update.clone() });
        let earlier = decode(facts, position, Some(&extension), None);
        assert_eq!(earlier, Update { facts: vec![target], has_evacuations: false, ..update });
    }

    fn document(cold: Option<BTreeMap<id::Pool, cold::Limit>>) -> Fact {
        let bounds = Bounds {
            head: Bytes(1),
            body: Bytes(1),
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        };
        let document = Document {
            revision: Revision(3),
            routes: Vec::new(),
            accounts: Vec::new(),
            requires_key: false,
            health: BTreeMap::new(),
            bounds,
            cold,
        };
        fact(Key::Document, 5, Value::Document(Arc::new(document)))
    }

    /// Passes the facts of a node on to a peer and returns the update that the peer receives.
    fn pass_on(facts: &FactStore, has_supplement: bool) -> Update {
        let update = facts.update_after(Position::default(), Revision(0));
        let position = update.position.revision;
        let (facts, extension, supplement) = encode(update, None);
        // Earlier versions encode the document in the same way.
        let bytes = postcard::to_stdvec(&facts).expect("it is small");
        let facts = postcard::from_bytes(&bytes).expect("it is complete");
        decode(facts, position, Some(&extension), has_supplement.then_some(&supplement))
    }

    /// Guards against followers that take the document of a node which follows one of an earlier
    /// version for one without bounds, and let any number of calls start on cold targets.
    #[test]
    fn unknown_cold_limits() {
        let limit =
            cold::Limit { duration: Duration::from_secs(8), rate: "11/s".parse().expect("a rate") };
        let pool: id::Pool = "desk".parse().expect("a name");
        for known in [BTreeMap::new(), BTreeMap::from([(pool, limit)])] {
            let [mut earlier, mut node, mut follower] = [(); 3].map(|()| FactStore::default());
            earlier.insert(Instant::ZERO, &document(None));
            let from_earlier = pass_on(&earlier, false);
            assert!(lacks_cold_limits(&from_earlier), "the node has to read the platform");
            node.insert(Instant::ZERO, &from_earlier.facts[0]);
            let update = pass_on(&node, true);
            assert!(lacks_cold_limits(&update), "so has its follower");
            follower.insert(Instant::ZERO, &update.facts[0]);
            // What either reads completes the document of the same revision.
            assert!(follower.insert(Instant::ZERO, &document(Some(known.clone()))));
            assert!(!follower.insert(Instant::ZERO, &update.facts[0]));
            let update = pass_on(&follower, true);
            assert!(!lacks_cold_limits(&update));
            assert_eq!(update.facts, [document(Some(known))]);
        }
    }
}
