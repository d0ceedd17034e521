//! Data that was added to messages after their layout was fixed.

use {
    super::super::cause::Cause,
    monsoon_lib::{
        id,
        mesh::{cold, node::ForwardedRequest, position::Era, scarcity::PoolLoad, transfer},
        pressure::Share,
        unit::Revision,
    },
    serde::{Deserialize, Deserializer, Serialize},
};

/// Data that follows a message and its extension. Versions that do not know it ignore it, and act as
/// if it were missing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Supplement {
    /// Completes `PeerRequest::Run`.
    Run {
        /// The share of its class at which the client's request was admitted.
        admitted: Share,
        /// Whether a target of the pool refused or declined the request before.
        is_resend: bool,
    },
    /// Completes `PeerResponse::RunFinished`.
    RunFinished {
        /// The loads of the target's pool and of the pools below the route, where they are high.
        loads: Vec<PoolLoad>,
    },
    /// Completes `PeerResponse::Facts`.
    Facts {
        /// The bounds on cold targets in the document, by pool. Empty if the document is not part of
        /// the facts.
        cold_limits: Vec<(id::Pool, cold::Limit)>,
        /// The remaining cold times of those targets in the facts that are cold.
        cold_targets: Vec<ColdTarget>,
        /// All evacuations of data centres that are in force, or `None` if the sender does not know
        /// them because it follows a node of an earlier version.
        evacuations: Option<Vec<EvacuationFact>>,
        /// Whether `cold_limits` are all bounds of the document. If not, the sender has the document
        /// from a node of an earlier version, and the receiver has to read the platform. Versions
        /// without this field don't say so; bounds that they send are all there are.
        #[serde(deserialize_with = "deserialize_trailing")]
        has_cold_limits: bool,
    },
    /// Completes `PeerResponse::RunFinished` instead of `RunFinished` where the reason in the message
    /// does not say why the outcome is unknown.
    RunLost {
        /// Why the outcome is unknown.
        cause: Cause,
        /// As in `RunFinished`.
        loads: Vec<PoolLoad>,
    },
    /// Completes `PeerRequest::Hello`: the sender asks for long response bodies when it has room for
    /// them.
    AsksForBodies,
    /// Completes `PeerResponse::RunFinished` instead of `RunFinished` where the body is long. The
    /// sender keeps it until it is asked for it.
    BodyKept {
        /// The length of the body, in bytes.
        bytes: u64,
        /// As in `RunFinished`.
        loads: Vec<PoolLoad>,
    },
    /// Completes `PeerRequest::Ping`: asks for what the sender does not know.
    TransferQuery(transfer::Query),
    /// Completes `PeerResponse::Pong` in response to `TransferQuery`.
    Transfer(transfer::Snapshot),
}

/// Decodes a field that was added at the end of a supplement. It is false if the supplement ends
/// before it, since postcard does not encode how many fields follow.
fn deserialize_trailing<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    Ok(bool::deserialize(deserializer).unwrap_or(false))
}

/// How much longer a target is cold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdTarget {
    /// The name of the target.
    pub target: id::Vm,
    /// The remaining time, counted from when its entry was written, in milliseconds.
    pub remaining_ms: u64,
}

/// Whether a data centre is evacuated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationFact {
    /// The data centre.
    pub data_centre: id::DataCentre,
    /// The era in which this was written.
    pub era: Era,
    /// The revision at which this was written.
    pub revision: Revision,
    /// Whether the evacuation is in force, or was taken back.
    pub is_active: bool,
}

impl Supplement {
    /// Returns what a forwarded request lacks. In calm it lacks nothing, so that nothing is added.
    pub fn of_run(forwarded: &ForwardedRequest) -> Option<Self> {
        let ForwardedRequest { admitted, is_resend, .. } = *forwarded;
        (admitted != Share::ALL || is_resend).then_some(Self::Run { admitted, is_resend })
    }

    /// Completes a forwarded request that was received with this supplement, if any.
    pub fn complete_run(supplement: Option<&Self>, forwarded: &mut ForwardedRequest) {
        if let Some(Self::Run { admitted, is_resend }) = supplement {
            forwarded.admitted = *admitted;
            forwarded.is_resend = *is_resend;
        }
    }

    /// Returns what a response to a run carries beyond its message.
    pub fn of_result(cause: Option<Cause>, loads: Vec<PoolLoad>) -> Option<Self> {
        match cause.filter(|cause| Cause::of_reason(cause.reason()) != *cause) {
            Some(cause) => Some(Self::RunLost { cause, loads }),
            None => (!loads.is_empty()).then_some(Self::RunFinished { loads }),
        }
    }

    /// Returns why the outcome of a run is unknown, if the response says so.
    pub const fn cause(&self) -> Option<Cause> {
        match self {
            Self::RunLost { cause, .. } => Some(*cause),
            _ => None,
        }
    }

    /// Returns the length of the body that the sender of a response keeps, if it does.
    pub fn kept_bytes(&self) -> Option<usize> {
        match self {
            Self::BodyKept { bytes, .. } => usize::try_from(*bytes).ok(),
            _ => None,
        }
    }

    /// Returns the loads that came with a response to a run.
    pub fn into_loads(self) -> Vec<PoolLoad> {
        match self {
            Self::RunFinished { loads }
            | Self::RunLost { loads, .. }
            | Self::BodyKept { loads, .. } => loads,
            Self::Run { .. }
            | Self::Facts { .. }
            | Self::AsksForBodies
            | Self::TransferQuery(_)
            | Self::Transfer(_) => Vec::new(),
        }
    }

    /// Decodes a supplement. Returns `None` if there is none, or if it is of a kind that only later
    /// versions know.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.is_empty() {
            return None;
        }
        match postcard::from_bytes(bytes) {
            Ok(supplement) => Some(supplement),
            Err(error) => {
                log::debug!(error:% = error; "ignored an unknown supplement of a message");
                None
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use {
        super::{
            super::{Attachments, PeerRequest, encode, encode_with, read},
            ColdTarget, EvacuationFact, Supplement,
        },
        bytes::{Bytes, BytesMut},
        monsoon_lib::{
            id,
            mesh::{
                cold,
                gate::Rank,
                node::ForwardedRequest,
                scarcity::{Class, ClassDemand, Load, PoolLoad},
            },
            pressure::Share,
        },
        serde::{Deserialize, Serialize},
        std::{sync::Arc, time::Duration},
    };

    /// The layout before `has_cold_limits` was added.
    #[derive(Debug, Deserialize, PartialEq, Serialize)]
    enum EarlierSupplement {
        Run {
            admitted: Share,
            is_resend: bool,
        },
        RunFinished {
            loads: Vec<PoolLoad>,
        },
        Facts {
            cold_limits: Vec<(id::Pool, cold::Limit)>,
            cold_targets: Vec<ColdTarget>,
            evacuations: Option<Vec<EvacuationFact>>,
        },
    }

    async fn decode(head: Bytes) -> super::super::Received<PeerRequest> {
        let mut from = head.as_ref();
        read(&mut from, &mut BytesMut::new()).await.expect("the frame is valid")
    }

    /// A message keeps its supplement also without an extension.
    #[actix_web::test]
    async fn round_trip() {
        let supplement = Supplement::Run { admitted: Share(51), is_resend: true };
        let attachments = Attachments { extension: None, supplement: Some(&supplement) };
        let frame = encode_with(7, PeerRequest::Ping, attachments, Bytes::new());
        let received = decode(frame.expect("the frame is small").head).await;
        assert_eq!(received.envelope.number, 7);
        assert_eq!(received.supplement, Some(supplement));
    }

    /// A frame of an earlier version has no supplement.
    #[actix_web::test]
    async fn earlier_version() {
        let frame = encode(7, PeerRequest::Ping, Bytes::new()).expect("the frame is small");
        assert_eq!(decode(frame.head).await.supplement, None);
    }

    /// Nodes of the earlier version read a request in which shares were added.
    #[test]
    fn unchanged_layout() {
        let mut forwarded = ForwardedRequest {
            request: "a".into(),
            target: "a".parse().expect("a name"),
            caller: "a".parse().expect("a name"),
            account: None,
            rank: Rank { account: 1, route: 2, is_first_attempt: true, hash_bucket: 3 },
            is_repeat: true,
            is_idempotent: false,
            fingerprint: 5,
            objective: Duration::from_secs(6),
            remaining: Duration::from_secs(7),
            admitted: Share(51),
            is_resend: true,
            route: Some("a".parse().expect("a name")),
        };
        let encoded = postcard::to_stdvec(&forwarded).expect("it is small");
        let earlier = [1, b'a', 1, b'a', 1, b'a', 0, 1, 2, 1, 3, 1, 0, 5, 6, 0, 7, 0];
        assert_eq!(encoded, earlier);
        let decoded: ForwardedRequest = postcard::from_bytes(&earlier).expect("it is complete");
        assert_eq!((decoded.admitted, decoded.is_resend), (Share::ALL, false));
        assert_eq!(Supplement::of_run(&decoded), None, "nothing is added in calm");
        let supplement = Supplement::of_run(&forwarded).expect("the share is low");
        forwarded.admitted = Share::ALL;
        Supplement::complete_run(Some(&supplement), &mut forwarded);
        assert_eq!(forwarded.admitted, Share(51));
    }

    /// Guards against losing evacuations and cold times between this version and the one whose
    /// supplement ends before `has_cold_limits`, in either direction.
    #[test]
    fn field_at_end() {
        let limit =
            cold::Limit { duration: Duration::from_secs(8), rate: "11/s".parse().expect("a rate") };
        let cold_limits = vec![("desk".parse().expect("a name"), limit)];
        let target = "t1".parse().expect("a name");
        let cold_targets = vec![ColdTarget { target, remaining_ms: 300 }];
        for evacuations in [None, Some(Vec::new())] {
            let facts = |has_cold_limits| Supplement::Facts {
                cold_limits: cold_limits.clone(),
                cold_targets: cold_targets.clone(),
                evacuations: evacuations.clone(),
                has_cold_limits,
            };
            let earlier = EarlierSupplement::Facts {
                cold_limits: cold_limits.clone(),
                cold_targets: cold_targets.clone(),
                evacuations: evacuations.clone(),
            };
            let new_bytes = postcard::to_stdvec(&facts(true)).expect("it is small");
            assert_eq!(Supplement::decode(&new_bytes), Some(facts(true)));
            let read: EarlierSupplement = postcard::from_bytes(&new_bytes).expect("it is readable");
            assert_eq!(read, earlier);
            let earlier_bytes = postcard::to_stdvec(&earlier).expect("it is small");
            assert_eq!(Supplement::decode(&earlier_bytes), Some(facts(false)));
        }
    }

    /// Guards against loads that nodes of earlier versions read as other numbers.
    #[test]
    fn layout_of_loads() {
        let class = Class { account: 0, route: 2 };
        let demands = Arc::new(vec![ClassDemand { class, demand: 2.0 }]);
        let load = Load { capacity: 1.0, demands, is_contended: true };
        let loads = vec![PoolLoad { pool: "a".parse().expect("a name"), load }];
        let bytes = postcard::to_stdvec(&Supplement::RunFinished { loads }).expect("it is small");
        assert_eq!(bytes, [1, 1, 1, b'a', 0, 0, 128, 63, 1, 0, 2, 0, 0, 0, 64, 1]);
    }

    /// A supplement of a later version does not make the message unreadable.
    #[test]
    fn later_version() {
        assert_eq!(Supplement::decode(&[250, 1, 2, 3]), None);
    }
}
