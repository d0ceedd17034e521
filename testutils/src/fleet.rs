//! A small fleet of real nodes with stand-ins around them.
//!
//! Every data centre has a platform of its own, so that it can be cut off from the platform. Where the
//! description asks for them, a proxy stands before each node's listener for peers.

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
        proxy::{self, Mode, Proxy},
        target::{Run, Target},
    },
    std::{
        collections::BTreeMap,
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
    /// What stands before the node's listener for peers, if anything.
    proxy: Option<Proxy>,
}

/// One run and where it was.
#[derive(Clone, Debug)]
pub struct VmRun {
    /// The VM.
    pub vm: String,
    /// The run.
    pub run: Run,
}

/// A running fleet. All its processes end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    description: Description,
    platforms: BTreeMap<String, Platform>,
    vms: Vec<Vm>,
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
            vms.push(start_vm(&description, place, platform, seed).await?);
        }
        let fleet = Self { description, platforms, vms };
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
                if verdict == Verdict::Correct {
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

    /// Kills the node of a VM and starts a new one in its place, at another address unless peers
    /// reach it through a proxy.
    ///
    /// # Errors
    ///
    /// Returns why the new node does not start.
    pub async fn replace(&mut self, vm: &str) -> Result<(), Error> {
        let replaced = self.vm_mut(vm);
        replaced.node.kill()?;
        replaced.node = Node::start(&replaced.settings)?;
        replaced.target.set_egress(replaced.node.listen().egress);
        if let Some(proxy) = &replaced.proxy {
            proxy.set_upstream(replaced.node.listen().peers);
        }
        self.publish_vms();
        Ok(())
    }

    /// Cuts the given data centres off from all others. Bytes wait until [`Fleet::heal`].
    ///
    /// Only nodes of a description with proxies are cut off.
    pub fn partition(&self, data_centres: &[&str]) {
        let is_within = |vm: &Vm| data_centres.contains(&vm.place.data_centre.as_str());
        let faults = proxy::Faults { mode: Mode::Freeze, ..proxy::Faults::default() };
        self.set_faults_between(faults, |from, to| is_within(from) != is_within(to));
    }

    /// Sets what is wrong with all links between data centres.
    pub fn set_link_faults(&self, faults: proxy::Faults) {
        let is_far = |from: &Vm, to: &Vm| from.place.data_centre != to.place.data_centre;
        self.set_faults_between(faults, is_far);
    }

    fn set_faults_between(&self, faults: proxy::Faults, is_meant: impl Fn(&Vm, &Vm) -> bool) {
        for to in &self.vms {
            let from = self.vms.iter().filter(|from| is_meant(from, to));
            let names: Vec<_> = from.map(|from| from.place.vm.clone()).collect();
            if let Some(proxy) = to.proxy.as_ref().filter(|_| !names.is_empty()) {
                proxy.set_faults_from(names, faults);
            }
        }
    }

    /// Mends all links.
    pub fn heal(&self) {
        for proxy in self.proxies() {
            proxy.heal();
        }
    }

    /// Returns the proxies before the nodes' listeners for peers.
    pub fn proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.vms.iter().filter_map(|vm| vm.proxy.as_ref())
    }

    /// Returns all remembered runs of all targets.
    pub fn runs(&self) -> Vec<VmRun> {
        let found = |vm: &Vm| {
            let name = vm.place.vm.clone();
            vm.target.runs().into_iter().map(move |run| VmRun { vm: name.clone(), run })
        };
        self.vms.iter().flat_map(found).collect()
    }

    fn publish_vms(&self) {
        let line = |vm: &Vm| platform::Vm {
            vm: vm.place.vm.clone(),
            data_centre: vm.place.data_centre.clone(),
            address: vm.proxy.as_ref().map_or(vm.node.listen().peers, Proxy::address),
            state: vm.phase,
        };
        let vms = Vms { vms: self.vms.iter().map(line).collect() };
        for platform in self.platforms() {
            platform.set_vms(vms.clone());
        }
    }
}

async fn start_vm(
    description: &Description,
    place: Place,
    platform: SocketAddr,
    seed: u64,
) -> Result<Vm, Error> {
    let target_settings = description.target_settings(&place, seed).unwrap_or_default();
    let target = Target::start(target_settings)?;
    let proxy = match description.has_proxies {
        true => Some(start_proxy(description, seed).await?),
        false => None,
    };
    let settings = process::Settings {
        vm: place.vm.clone(),
        data_centre: place.data_centre.clone(),
        listen: Listen::default(),
        peers_address: proxy.as_ref().map(Proxy::address),
        target: target.address(),
        platform,
        secret: format!("fleet-secret-{:032}", description.seed),
        log: Log::default(),
    };
    let node = Node::start(&settings)?;
    target.set_egress(node.listen().egress);
    if let Some(proxy) = &proxy {
        proxy.set_upstream(node.listen().peers);
    }
    Ok(Vm { place, node, target, phase: Phase::Live, settings, proxy })
}

async fn start_proxy(description: &Description, seed: u64) -> Result<Proxy, Error> {
    let unset = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let proxy = Proxy::start(unset, seed).await?;
    proxy.set_names(description.places().into_iter().map(|place| place.vm).collect());
    Ok(proxy)
}
