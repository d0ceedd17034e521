//! The known peers of a node, and the election of the coordinator and of platform readers.
//!
//! A node runs on the VM of each target, so the entries of targets identify the peers. A peer whose
//! target has left or is not listed yet is added when it connects.

use {
    crate::{
        id,
        mesh::{fact::Target, read_schedule::Place},
        time::Instant,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
        net::IpAddr,
        time::Duration,
    },
};

/// How long a peer without a target entry is kept after the last contact.
const UNLISTED_PEER_RETENTION: Duration = Duration::from_secs(10);
/// How long a peer is excluded after it announced that it is leaving, unless it announces a
/// restart.
const LEAVING_TTL: Duration = Duration::from_secs(8);

/// The number of nodes of a data centre that may be elected to read the platform. Most of them have
/// to be cut off from it before the others notice that their facts are old and look elsewhere.
const READER_CANDIDATES: usize = 4;
/// How often a candidate that did not read the platform is asked whether it does now.
const STALE_SOURCE_RECHECK: Duration = Duration::from_secs(3);
/// The number of peers of a data centre that must be silent before all of it counts as cut off.
const MIN_SILENT_PEERS: usize = 2;
/// The time without contact to a data centre after which it may count as cut off. Responses of busy
/// nodes in another region arrive within it.
const SILENCE: Duration = Duration::from_millis(600);

/// The state of a peer as seen by this node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The data centre of the peer, if known.
    pub data_centre: Option<id::DataCentre>,
    is_listed: bool,
    last_contact: Option<Instant>,
    is_unreachable: bool,
    leaving_since: Option<Instant>,
    stale_since: Option<Instant>,
}

/// The source from which a node gets its facts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The node reads the platform itself.
    Platform,
    /// The node replicates from this peer.
    Peer(IpAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => f.write_str("platform"),
            Self::Peer(host) => host.fmt(f),
        }
    }
}

/// The peers of a node by the address of their VM.
#[derive(Debug)]
pub struct Peers {
    own_host: IpAddr,
    data_centre: id::DataCentre,
    peers: BTreeMap<IpAddr, Peer>,
}

impl Peers {
    /// Creates the empty set of peers of the node at `own_host`.
    pub fn new(own_host: IpAddr, data_centre: id::DataCentre) -> Self {
        Self { own_host, data_centre, peers: BTreeMap::new() }
    }

    /// Returns the number of peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Sets the known targets, each of which has a node on its VM.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        for peer in self.peers.values_mut() {
            peer.is_listed = false;
        }
        let own_host = self.own_host;
        for target in targets.filter(|target| target.address.ip() != own_host) {
            let peer = self.entry(target.address.ip());
            peer.is_listed = true;
            peer.data_centre = Some(target.data_centre.clone());
        }
        self.peers.retain(|_, peer| peer.is_listed || peer.last_contact.is_some());
    }

    /// Records that a peer sent a message or an answer. It is no longer considered unreachable.
    pub fn record_contact(
        &mut self,
        now: Instant,
        host: IpAddr,
        data_centre: Option<id::DataCentre>,
    ) {
        if host == self.own_host {
            return;
        }
        let peer = self.entry(host);
        peer.last_contact = Some(now);
        peer.is_unreachable = false;
        if data_centre.is_some() {
            peer.data_centre = data_centre;
        }
    }

    /// Records that a peer can't be reached or does not answer. It is excluded until the next
    /// contact. Returns whether it was considered reachable before.
    pub fn mark_unreachable(&mut self, host: IpAddr) -> bool {
        let peer = self.peers.get_mut(&host);
        peer.is_some_and(|peer| !std::mem::replace(&mut peer.is_unreachable, true))
    }

    /// Returns the listed peers that are excluded as unreachable.
    pub fn unreachable_hosts(&self) -> Vec<IpAddr> {
        let unreachable =
            self.peers.iter().filter(|(_, peer)| peer.is_unreachable && peer.is_listed);
        unreachable.map(|(host, _)| *host).collect()
    }

    /// Records that a peer announced that it is leaving.
    pub fn mark_leaving(&mut self, now: Instant, host: IpAddr) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.leaving_since = Some(now);
        }
    }

    /// Records that a peer does not read the platform, so that it is not used as a source of facts
    /// until [`Self::mark_fresh`].
    pub fn mark_stale(&mut self, now: Instant, host: IpAddr) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.stale_since = Some(now);
        }
    }

    /// Records that a peer reads the platform.
    pub fn mark_fresh(&mut self, host: IpAddr) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.stale_since = None;
        }
    }

    /// Returns the peers with lower addresses that are due to be asked whether they read the
    /// platform again. Meanwhile this node goes on with the source that it has.
    pub fn stale_sources(&self, now: Instant) -> Vec<IpAddr> {
        let is_due =
            |peer: &Peer| peer.stale_since.is_some_and(|since| now - since >= STALE_SOURCE_RECHECK);
        let lower = self.lower_candidates(now);
        lower.into_iter().filter(|(_, peer)| is_due(peer)).map(|(host, _)| host).collect()
    }

    /// Records that a peer started, so that it is no longer considered leaving.
    pub fn mark_started(&mut self, now: Instant, host: IpAddr, data_centre: id::DataCentre) {
        self.record_contact(now, host, Some(data_centre));
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.leaving_since = None;
        }
    }

    /// Returns whether requests may be sent to a peer. Unknown peers are usable.
    pub fn is_usable(&self, now: Instant, host: IpAddr) -> bool {
        if host == self.own_host {
            return true;
        }
        self.peers.get(&host).is_none_or(|peer| !peer.is_excluded(now))
    }

    /// Returns the data centres that are probably cut off from this one: several of their peers are
    /// silent and none has answered lately. `unresponsive` are the peers whose responses are overdue.
    ///
    /// Each peer behind a partition would otherwise be found silent by itself, and the requests sent
    /// to it until then would be lost.
    pub fn silent_data_centres(
        &self,
        now: Instant,
        unresponsive: &BTreeSet<IpAddr>,
    ) -> BTreeSet<id::DataCentre> {
        let mut silent: BTreeMap<&id::DataCentre, usize> = BTreeMap::new();
        for (host, peer) in &self.peers {
            if let Some(data_centre) = &peer.data_centre
                && (peer.is_unreachable || unresponsive.contains(host))
            {
                *silent.entry(data_centre).or_default() += 1;
            }
        }
        let was_contacted = |data_centre: &id::DataCentre| {
            self.peers.values().any(|peer| {
                peer.data_centre.as_ref() == Some(data_centre)
                    && peer.last_contact.is_some_and(|at| now - at < SILENCE)
            })
        };
        let suspects = silent.into_iter().filter(|(_, count)| *count >= MIN_SILENT_PEERS);
        suspects
            .filter(|(data_centre, _)| **data_centre != self.data_centre)
            .filter(|(data_centre, _)| !was_contacted(data_centre))
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
    }

    /// Drops peers without a target entry and without recent contact.
    pub fn tick(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            peer.is_listed || peer.last_contact.is_some_and(|at| now - at < UNLISTED_PEER_RETENTION)
        });
    }

    /// Returns the addresses of all peers.
    pub fn hosts(&self) -> impl Iterator<Item = IpAddr> {
        self.peers.keys().copied()
    }

    /// Returns the coordinator of the sold rates: the node with the lowest address among this one
    /// and the listed peers that are reachable and not leaving.
    pub fn coordinator(&self, now: Instant) -> IpAddr {
        self.lowest_address(now, |_| true)
    }

    /// Returns the source of this node's facts. In each data centre, the first candidate by address
    /// whose facts are not outdated reads the platform, and the others replicate from it.
    pub fn source(&self, now: Instant) -> Source {
        let lower = self.lower_candidates(now);
        let fresh = lower.iter().find(|(_, peer)| peer.stale_since.is_none());
        let is_candidate = lower.len() < READER_CANDIDATES;
        match fresh.or(lower.first().filter(|_| !is_candidate)) {
            Some((host, _)) => Source::Peer(*host),
            None => Source::Platform,
        }
    }

    /// Returns the candidates for the reader of this data centre that come before this node.
    fn lower_candidates(&self, now: Instant) -> Vec<(IpAddr, &Peer)> {
        let own_data_centre = Some(&self.data_centre);
        let usable = self.peers.iter().filter(|(_, peer)| {
            peer.is_listed && !peer.is_excluded(now) && peer.data_centre.as_ref() == own_data_centre
        });
        let hosts = usable.map(|(host, peer)| (*host, peer));
        hosts.take_while(|(host, _)| *host < self.own_host).take(READER_CANDIDATES).collect()
    }

    /// Returns this node's place among the usable nodes of its data centre.
    pub fn place(&self, now: Instant) -> Place {
        let own_data_centre = Some(&self.data_centre);
        let mut place = Place { rank: 0, nodes: 1 };
        for (host, peer) in &self.peers {
            if peer.data_centre.as_ref() == own_data_centre && !peer.is_excluded(now) {
                place.nodes += 1;
                place.rank += usize::from(*host < self.own_host);
            }
        }
        place
    }

    /// Returns the usable peers in the order in which to ask them for news of the platform: the
    /// likely readers of all data centres first, beginning with the own one.
    pub fn search_order(&self, now: Instant) -> Vec<IpAddr> {
        let own_data_centre = Some(&self.data_centre);
        let mut ranks: BTreeMap<Option<&id::DataCentre>, usize> = BTreeMap::new();
        let mut order = Vec::new();
        for (host, peer) in self.peers.iter().filter(|(_, peer)| !peer.is_excluded(now)) {
            let data_centre = peer.data_centre.as_ref();
            let rank = ranks.entry(data_centre).or_default();
            order.push((*rank, data_centre != own_data_centre, *host));
            *rank += 1;
        }
        order.sort_unstable();
        order.into_iter().map(|(_, _, host)| host).collect()
    }

    fn lowest_address(&self, now: Instant, is_candidate: impl Fn(&Peer) -> bool) -> IpAddr {
        let usable = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_listed && !peer.is_excluded(now) && is_candidate(peer));
        usable.map(|(host, _)| *host).chain([self.own_host]).min().unwrap_or(self.own_host)
    }

    fn entry(&mut self, host: IpAddr) -> &mut Peer {
        self.peers.entry(host).or_insert(Peer {
            data_centre: None,
            is_listed: false,
            last_contact: None,
            is_unreachable: false,
            leaving_since: None,
            stale_since: None,
        })
    }
}

impl Peer {
    fn is_excluded(&self, now: Instant) -> bool {
        let is_leaving = self.leaving_since.is_some_and(|since| now - since < LEAVING_TTL);
        self.is_unreachable || is_leaving
    }
}
