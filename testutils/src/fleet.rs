//! A small fleet of real nodes with stand-ins around them.
//!
//! Every data centre has a platform of its own, so that it can be cut off from the platform, and so
//! that links to other data centres can go through proxies.

mod description;
mod size;

pub use {
    description::{Account, Description, Place, Pool, Route, grant},
    size::{association, matbakh, small},
};

use {
    crate::{
        client::{Client, Request, Verdict},
        platform::{self, Changes, Phase, Platform, Vms},
        process::{self, Listen, Log, Node},
        proxy::{Mode, Proxy},
        target::{Run, Target},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// The pause between two looks at something that is waited for.
pub const POLL: Duration = Duration::from_millis(20);

/// Why a fleet can't be started or used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in can't be started.
    #[error("can't start a stand-in: {0}")]
    Io(#[from] io::Error),
    /// A node can't be started or signalled.
    #[error(transparent)]
    Process(#[from] process::Error),
    /// A node does not serve.
    #[error("{vm} does not serve after {waited:?}: {verdict:?}; its log is:\n{log}")]
    NotReady {
        /// The VM.
        vm: String,
        /// How long it was waited for.
        waited: Duration,
        /// What came of the last request.
        verdict: Verdict,
        /// What the node logged.
        log: String,
    },
}

/// One VM: a target and its node.
#[derive(Debug)]
pub struct Vm {
    /// The place.
    pub place: Place,
    /// The node.
    pub node: Node,
    /// The target.
    pub target: Target,
    /// What the platform says of the VM.
    pub phase: Phase,
    settings: process::Settings,
}

/// One run and where it was.
#[derive(Clone, Debug)]
pub struct Found {
    /// The VM.
    pub vm: String,
    /// The run.
    pub run: Run,
}

#[derive(Debug)]
struct Link {
    from: String,
    to: String,
    proxy: Proxy,
}

/// A running fleet. All its processes end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    description: Description,
    platforms: BTreeMap<String, Platform>,
    vms: Vec<Vm>,
    /// The links from one data centre to the VM of another.
    links: BTreeMap<(String, String), Link>,
}

impl Fleet {
    /// Starts a fleet and waits until every node serves.
    ///
    /// # Errors
    ///
    /// Returns why a part does not start or a node does not serve in time.
    pub async fn start(description: Description) -> Result<Self, Error> {
        const READY_TIMEOUT: Duration = Duration::from_secs(20);
        let fleet = Self::start_unready(description).await?;
        fleet.ready(READY_TIMEOUT).await?;
        Ok(fleet)
    }

    /// Starts a fleet and does not wait until its nodes serve.
    ///
    /// # Errors
    ///
    /// Returns why a part does not start.
    pub async fn start_unready(description: Description) -> Result<Self, Error> {
        let mut platforms = BTreeMap::new();
        for data_centre in &description.data_centres {
            let platform = Platform::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            platform.publish(description.tables());
            platforms.insert(data_centre.clone(), platform);
        }
        let mut vms = Vec::new();
        for (place, seed) in description.places().into_iter().zip(description.seed..) {
            let platform = platforms[&place.data_centre].address();
            vms.push(start_vm(&description, place, platform, seed)?);
        }
        let mut fleet = Self { description, platforms, vms, links: BTreeMap::new() };
        fleet.link().await?;
        fleet.publish_vms();
        Ok(fleet)
    }

    /// Waits until every node has an answer to a look-up.
    ///
    /// # Errors
    ///
    /// Returns the first node that does not serve in time.
    pub async fn ready(&self, timeout: Duration) -> Result<(), Error> {
        let client = Client::default();
        let start = Instant::now();
        for vm in &self.vms {
            loop {
                let verdict = client.send(&self.probe(), vm.node.listen().callers).await.verdict;
                if verdict == Verdict::Whole {
                    break;
                }
                if start.elapsed() > timeout {
                    let log = vm.node.log();
                    let vm = vm.place.vm.clone();
                    return Err(Error::NotReady { vm, waited: timeout, verdict, log });
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    fn probe(&self) -> Request {
        let mut routes = self.description.pools.iter().flat_map(|pool| &pool.routes);
        let path = routes.find(|route| route.method == "GET").map_or("/", |route| &route.path);
        let account = &self.description.accounts[0].name;
        Request::get(&format!("{path}/ready")).key(&self.description.key(account))
    }

    /// Returns what the fleet is made of.
    pub fn description(&self) -> &Description {
        &self.description
    }

    /// Returns the key of an account.
    pub fn key(&self, account: &str) -> String {
        self.description.key(account)
    }

    /// Returns the platform of a data centre.
    ///
    /// # Panics
    ///
    /// Panics when there is no such data centre.
    pub fn platform(&self, data_centre: &str) -> &Platform {
        &self.platforms[data_centre]
    }

    /// Returns all platforms.
    pub fn platforms(&self) -> impl Iterator<Item = &Platform> {
        self.platforms.values()
    }

    /// Returns all VMs.
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Returns a VM.
    ///
    /// # Panics
    ///
    /// Panics when there is no such VM.
    pub fn vm(&self, vm: &str) -> &Vm {
        self.vms.iter().find(|other| other.place.vm == vm).expect("the fleet has the VM")
    }

    /// Returns a VM.
    ///
    /// # Panics
    ///
    /// Panics when there is no such VM.
    pub fn vm_mut(&mut self, vm: &str) -> &mut Vm {
        self.vms.iter_mut().find(|other| other.place.vm == vm).expect("the fleet has the VM")
    }

    /// Returns where the node of a VM listens for callers.
    pub fn callers(&self, vm: &str) -> SocketAddr {
        self.vm(vm).node.listen().callers
    }

    /// Returns where all nodes listen for callers.
    pub fn all_callers(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.node.listen().callers).collect()
    }

    /// Publishes a batch on all platforms and returns its revision.
    pub fn publish(&self, changes: &Changes) -> u64 {
        let publish = |platform: &Platform| platform.publish(changes.clone());
        self.platforms.values().map(publish).max().unwrap_or(0)
    }

    /// Publishes one value, or its deletion, on all platforms.
    pub fn publish_value(&self, name: &str, text: Option<String>) -> u64 {
        self.publish(&Changes { changes: [(name.to_owned(), text)].into() })
    }

    /// Withdraws a key.
    pub fn withdraw(&self, key: &str) -> u64 {
        self.publish_value(&grant(key, "").0, None)
    }

    /// Sets the same switches for faults on all platforms.
    pub fn set_platform_faults(&self, faults: platform::Faults) {
        for platform in self.platforms.values() {
            platform.set_faults(faults);
        }
    }

    /// Sets what the platform says of a VM.
    pub fn set_phase(&mut self, vm: &str, phase: Phase) {
        self.vm_mut(vm).phase = phase;
        self.publish_vms();
    }

    /// Kills the node of a VM and starts a new one in its place, at another address.
    ///
    /// # Errors
    ///
    /// Returns why the new node does not start.
    pub async fn replace(&mut self, vm: &str) -> Result<(), Error> {
        let replaced = self.vm_mut(vm);
        replaced.node.kill()?;
        replaced.node = Node::start(&replaced.settings)?;
        replaced.target.set_egress(replaced.node.listen().egress);
        self.links.retain(|(_, to), _| to != vm);
        self.link().await?;
        self.publish_vms();
        Ok(())
    }

    /// Cuts the given data centres off from all others. Bytes wait until [`Fleet::heal`].
    pub fn partition(&self, data_centres: &[&str]) {
        let group: BTreeSet<&str> = data_centres.iter().copied().collect();
        for link in self.links.values() {
            if group.contains(link.from.as_str()) != group.contains(link.to.as_str()) {
                link.proxy.set_mode(Mode::Freeze);
            }
        }
    }

    /// Mends all links.
    pub fn heal(&self) {
        for link in self.links.values() {
            link.proxy.heal();
        }
    }

    /// Returns the proxies between data centres.
    pub fn proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.links.values().map(|link| &link.proxy)
    }

    /// Returns all remembered runs of all targets.
    pub fn runs(&self) -> Vec<Found> {
        let found = |vm: &Vm| {
            let name = vm.place.vm.clone();
            vm.target.runs().into_iter().map(move |run| Found { vm: name.clone(), run })
        };
        self.vms.iter().flat_map(found).collect()
    }

    async fn link(&mut self) -> Result<(), Error> {
        if !self.description.has_proxies {
            return Ok(());
        }
        for from in &self.description.data_centres {
            for vm in self.vms.iter().filter(|vm| vm.place.data_centre != *from) {
                let key = (from.clone(), vm.place.vm.clone());
                if self.links.contains_key(&key) {
                    continue;
                }
                let seed = self.description.seed + self.links.len() as u64;
                let proxy = Proxy::start(vm.node.listen().peers, seed).await?;
                let to = vm.place.data_centre.clone();
                self.links.insert(key, Link { from: from.clone(), to, proxy });
            }
        }
        Ok(())
    }

    fn publish_vms(&self) {
        for (data_centre, platform) in &self.platforms {
            let line = |vm: &Vm| {
                let link = self.links.get(&(data_centre.clone(), vm.place.vm.clone()));
                let direct = vm.node.listen().peers;
                platform::Vm {
                    vm: vm.place.vm.clone(),
                    data_centre: vm.place.data_centre.clone(),
                    address: link.map_or(direct, |link| link.proxy.address()),
                    state: vm.phase,
                }
            };
            platform.set_vms(Vms { vms: self.vms.iter().map(line).collect() });
        }
    }
}

fn start_vm(
    description: &Description,
    place: Place,
    platform: SocketAddr,
    seed: u64,
) -> Result<Vm, Error> {
    let target_settings = description.target_settings(&place, seed).unwrap_or_default();
    let target = Target::start(target_settings)?;
    let settings = process::Settings {
        vm: place.vm.clone(),
        data_centre: place.data_centre.clone(),
        listen: Listen::default(),
        target: target.address(),
        platform,
        secret: format!("fleet-secret-{:032}", description.seed),
        log: Log::default(),
    };
    let node = Node::start(&settings)?;
    target.set_egress(node.listen().egress);
    Ok(Vm { place, node, target, phase: Phase::Live, settings })
}
