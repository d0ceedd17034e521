//! The other nodes, and who reads the platform for whom.
//!
//! A node runs beside each target, so targets' entries name the peers. A node whose target left or
//! is not listed yet is learnt when it calls.

use {
    crate::{id, mesh::fact::Target, time::Instant},
    std::{collections::BTreeMap, net::IpAddr, time::Duration},
};

/// How long a peer that called and has no target's entry counts as a peer.
const CALLER_KEPT: Duration = Duration::from_secs(10);
/// How long a peer that said it leaves is taken at its word, unless it says that it is back.
const LEAVING_KEPT: Duration = Duration::from_secs(8);

/// How long a peer whose facts were old is not asked for facts.
const STALE_LEFT_OUT: Duration = Duration::from_secs(6);

/// What is known of a peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its data centre, where it is known.
    pub data_centre: Option<id::DataCentre>,
    is_listed: bool,
    heard: Option<Instant>,
    is_silent: bool,
    leaving_since: Option<Instant>,
    stale_since: Option<Instant>,
}

/// Where a node gets its facts from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// It reads the platform itself.
    Platform,
    /// It asks a peer.
    Peer(IpAddr),
}

/// The other nodes by the address of their VM.
#[derive(Debug)]
pub struct Peers {
    me: IpAddr,
    data_centre: id::DataCentre,
    peers: BTreeMap<IpAddr, Peer>,
}

impl Peers {
    /// Makes the peers of a node that knows none.
    pub fn new(me: IpAddr, data_centre: id::DataCentre) -> Self {
        Self { me, data_centre, peers: BTreeMap::new() }
    }

    /// Returns the number of peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Takes in the targets, beside which nodes run.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        for peer in self.peers.values_mut() {
            peer.is_listed = false;
        }
        let me = self.me;
        for target in targets.filter(|target| target.address.ip() != me) {
            let peer = self.entry(target.address.ip());
            peer.is_listed = true;
            peer.data_centre = Some(target.data_centre.clone());
        }
        self.peers.retain(|_, peer| peer.is_listed || peer.heard.is_some());
    }

    /// Notes that a peer called or answered.
    pub fn record_contact(
        &mut self,
        now: Instant,
        host: IpAddr,
        data_centre: Option<id::DataCentre>,
    ) {
        if host == self.me {
            return;
        }
        let peer = self.entry(host);
        peer.heard = Some(now);
        peer.is_silent = false;
        if data_centre.is_some() {
            peer.data_centre = data_centre;
        }
    }

    /// Notes that a peer can't be reached or does not answer. It is left out until it is heard.
    /// Returns whether that is news.
    pub fn mark_unreachable(&mut self, host: IpAddr) -> bool {
        let peer = self.peers.get_mut(&host);
        peer.is_some_and(|peer| !std::mem::replace(&mut peer.is_silent, true))
    }

    /// Returns the peers that are left out because they were silent.
    pub fn unreachable_hosts(&self) -> Vec<IpAddr> {
        let silent = self.peers.iter().filter(|(_, peer)| peer.is_silent && peer.is_listed);
        silent.map(|(host, _)| *host).collect()
    }

    /// Notes that a peer said that it leaves.
    pub fn mark_leaving(&mut self, now: Instant, host: IpAddr) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.leaving_since = Some(now);
        }
    }

    /// Notes that a peer's facts are not as new as those of a node that reads the platform.
    pub fn mark_stale(&mut self, now: Instant, host: IpAddr) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.stale_since = Some(now);
        }
    }

    /// Notes that a peer started.
    pub fn mark_started(&mut self, now: Instant, host: IpAddr, data_centre: id::DataCentre) {
        self.record_contact(now, host, Some(data_centre));
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.leaving_since = None;
        }
    }

    /// Tells whether requests may be sent to a peer.
    pub fn is_usable(&self, now: Instant, host: IpAddr) -> bool {
        if host == self.me {
            return true;
        }
        self.peers.get(&host).is_none_or(|peer| !peer.is_out(now))
    }

    /// Forgets peers that have neither a target nor anything to say.
    pub fn tick(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            peer.is_listed || peer.heard.is_some_and(|heard| now - heard < CALLER_KEPT)
        });
    }

    /// Returns the hosts of all peers.
    pub fn hosts(&self) -> impl Iterator<Item = IpAddr> {
        self.peers.keys().copied()
    }

    /// Returns the node that shares out the sold rates: the one with the lowest address of those
    /// that can be reached.
    pub fn coordinator(&self, now: Instant) -> IpAddr {
        self.lowest(now, |_| true)
    }

    /// Returns where this node gets its facts from: the node with the lowest address in each data
    /// centre reads the platform.
    pub fn source(&self, now: Instant) -> Source {
        let mine = Some(&self.data_centre);
        let is_fresh =
            |peer: &Peer| peer.stale_since.is_none_or(|since| now - since >= STALE_LEFT_OUT);
        match self.lowest(now, |peer| peer.data_centre.as_ref() == mine && is_fresh(peer)) {
            reader if reader == self.me => Source::Platform,
            reader => Source::Peer(reader),
        }
    }

    fn lowest(&self, now: Instant, is_candidate: impl Fn(&Peer) -> bool) -> IpAddr {
        let usable = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_listed && !peer.is_out(now) && is_candidate(peer));
        usable.map(|(host, _)| *host).chain([self.me]).min().unwrap_or(self.me)
    }

    fn entry(&mut self, host: IpAddr) -> &mut Peer {
        self.peers.entry(host).or_insert(Peer {
            data_centre: None,
            is_listed: false,
            heard: None,
            is_silent: false,
            leaving_since: None,
            stale_since: None,
        })
    }
}

impl Peer {
    fn is_out(&self, now: Instant) -> bool {
        let is_leaving = self.leaving_since.is_some_and(|since| now - since < LEAVING_KEPT);
        self.is_silent || is_leaving
    }
}
