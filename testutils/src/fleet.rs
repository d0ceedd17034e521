//! A fleet of real node processes with test doubles of their platform and targets.
//!
//! Every data centre has its own platform, so that it can be cut off from the platform. If the
//! description asks for proxies, peers reach each node through one.

mod description;
mod size;

pub use {
    description::{Account, Description, Placement, Pool, Route, grant},
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

/// The interval at which tests check a condition that they wait for.
pub const POLL: Duration = Duration::from_millis(20);

/// An error from starting or controlling a fleet.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A platform, target or proxy can't be started.
    #[error("can't start a platform, target or proxy: {0}")]
    Io(#[from] io::Error),
    /// A node can't be started or controlled.
    #[error(transparent)]
    Process(#[from] process::Error),
    /// A node did not serve requests in time.
    #[error("{vm} did not serve within {waited:?}, last result {verdict:?}; its log is:\n{log}")]
    NotReady {
        /// The name of the VM.
        vm: String,
        /// The timeout.
        waited: Duration,
        /// The result of the last request.
        verdict: Verdict,
        /// The node's log.
        log: String,
    },
}

/// A VM with its target and node.
#[derive(Debug)]
pub struct Vm {
    /// The name, data centre and pool of the VM.
    pub placement: Placement,
    /// The node process.
    pub node: Node,
    /// The target of the node.
    pub target: Target,
    /// The state of the VM that the platforms report.
    pub phase: Phase,
    settings: process::Settings,
    /// The proxy in front of the node's listener for peers, if any.
    proxy: Option<Proxy>,
}

/// A run of a target and its VM.
#[derive(Clone, Debug)]
pub struct VmRun {
    /// The name of the VM.
    pub vm: String,
    /// The run, as the target recorded it.
    pub run: Run,
}

/// A running fleet. All its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    description: Description,
    platforms: BTreeMap<String, Platform>,
    vms: Vec<Vm>,
}

impl Fleet {
    /// Starts a fleet and waits until every node serves requests.
    ///
    /// # Errors
    ///
    /// Returns an error when a part does not start or a node does not serve in time.
    pub async fn start(description: Description) -> Result<Self, Error> {
        const READY_TIMEOUT: Duration = Duration::from_secs(20);
        let fleet = Self::start_unready(description).await?;
        fleet.ready(READY_TIMEOUT).await?;
        Ok(fleet)
    }

    /// Starts a fleet without waiting until its nodes serve requests.
    ///
    /// # Errors
    ///
    /// Returns an error when a part does not start.
    pub async fn start_unready(description: Description) -> Result<Self, Error> {
        let mut platforms = BTreeMap::new();
        for data_centre in &description.data_centres {
            let platform = Platform::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            platform.publish(description.tables());
            platforms.insert(data_centre.clone(), platform);
        }
        let mut vms = Vec::new();
        for (placement, seed) in description.placements().into_iter().zip(description.seed..) {
            let platform = platforms[&placement.data_centre].address();
            vms.push(start_vm(&description, placement, platform, seed).await?);
        }
        let fleet = Self { description, platforms, vms };
        fleet.publish_vms();
        Ok(fleet)
    }

    /// Waits until every node answers a look-up correctly.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotReady`] for the first node that does not in time.
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
                    let vm = vm.placement.vm.clone();
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

    /// Returns the description that the fleet was started from.
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

    /// Returns a VM by its name.
    ///
    /// # Panics
    ///
    /// Panics when there is no such VM.
    pub fn vm(&self, vm: &str) -> &Vm {
        self.vms.iter().find(|other| other.placement.vm == vm).expect("the fleet has the VM")
    }

    /// Returns a VM by its name, to change it.
    ///
    /// # Panics
    ///
    /// Panics when there is no such VM.
    pub fn vm_mut(&mut self, vm: &str) -> &mut Vm {
        self.vms.iter_mut().find(|other| other.placement.vm == vm).expect("the fleet has the VM")
    }

    /// Returns the address of a node's listener for callers.
    pub fn callers(&self, vm: &str) -> SocketAddr {
        self.vm(vm).node.listen().callers
    }

    /// Returns the addresses of all nodes' listeners for callers.
    pub fn all_callers(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.node.listen().callers).collect()
    }

    /// Publishes a batch on all platforms and returns the highest of its revisions.
    pub fn publish(&self, changes: &Changes) -> u64 {
        let publish = |platform: &Platform| platform.publish(changes.clone());
        self.platforms.values().map(publish).max().unwrap_or(0)
    }

    /// Publishes a value, or its deletion, on all platforms and returns the highest of its
    /// revisions.
    pub fn publish_value(&self, name: &str, text: Option<String>) -> u64 {
        self.publish(&Changes { changes: [(name.to_owned(), text)].into() })
    }

    /// Withdraws a key on all platforms.
    pub fn withdraw(&self, key: &str) -> u64 {
        self.publish_value(&grant(key, "").0, None)
    }

    /// Sets the same faults on all platforms.
    pub fn set_platform_faults(&self, faults: platform::Faults) {
        for platform in self.platforms.values() {
            platform.set_faults(faults);
        }
    }

    /// Sets the state of a VM that the platforms report.
    pub fn set_phase(&mut self, vm: &str, phase: Phase) {
        self.vm_mut(vm).phase = phase;
        self.publish_vms();
    }

    /// Kills the node of a VM and starts a new one in its place. Its address changes, unless peers
    /// reach it through a proxy.
    ///
    /// # Errors
    ///
    /// Returns an error when the node can't be killed or the new one does not start.
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
    /// Has an effect only if the description asks for proxies.
    pub fn partition(&self, data_centres: &[&str]) {
        let is_within = |vm: &Vm| data_centres.contains(&vm.placement.data_centre.as_str());
        let faults = proxy::Faults { mode: Mode::Freeze, ..proxy::Faults::default() };
        self.set_faults_between(faults, |from, to| is_within(from) != is_within(to));
    }

    /// Sets the faults of all links between data centres.
    pub fn set_link_faults(&self, faults: proxy::Faults) {
        let is_between_data_centres =
            |from: &Vm, to: &Vm| from.placement.data_centre != to.placement.data_centre;
        self.set_faults_between(faults, is_between_data_centres);
    }

    fn set_faults_between(&self, faults: proxy::Faults, is_affected: impl Fn(&Vm, &Vm) -> bool) {
        for to in &self.vms {
            let from = self.vms.iter().filter(|from| is_affected(from, to));
            let names: Vec<_> = from.map(|from| from.placement.vm.clone()).collect();
            if let Some(proxy) = to.proxy.as_ref().filter(|_| !names.is_empty()) {
                proxy.set_faults_from(names, faults);
            }
        }
    }

    /// Clears the faults of all links.
    pub fn heal(&self) {
        for proxy in self.proxies() {
            proxy.heal();
        }
    }

    /// Returns the proxies in front of the nodes' listeners for peers.
    pub fn proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.vms.iter().filter_map(|vm| vm.proxy.as_ref())
    }

    /// Returns all retained runs of all targets.
    pub fn runs(&self) -> Vec<VmRun> {
        let found = |vm: &Vm| {
            let name = vm.placement.vm.clone();
            vm.target.runs().into_iter().map(move |run| VmRun { vm: name.clone(), run })
        };
        self.vms.iter().flat_map(found).collect()
    }

    fn publish_vms(&self) {
        let entry = |vm: &Vm| platform::Vm {
            vm: vm.placement.vm.clone(),
            data_centre: vm.placement.data_centre.clone(),
            address: vm.proxy.as_ref().map_or(vm.node.listen().peers, Proxy::address),
            state: vm.phase,
        };
        let vms = Vms { vms: self.vms.iter().map(entry).collect() };
        for platform in self.platforms() {
            platform.set_vms(vms.clone());
        }
    }
}

async fn start_vm(
    description: &Description,
    placement: Placement,
    platform: SocketAddr,
    seed: u64,
) -> Result<Vm, Error> {
    let target_settings = description.target_settings(&placement, seed).unwrap_or_default();
    let target = Target::start(target_settings)?;
    let proxy = match description.has_proxies {
        true => Some(start_proxy(description, seed).await?),
        false => None,
    };
    let settings = process::Settings {
        vm: placement.vm.clone(),
        data_centre: placement.data_centre.clone(),
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
    Ok(Vm { placement, node, target, phase: Phase::Live, settings, proxy })
}

async fn start_proxy(description: &Description, seed: u64) -> Result<Proxy, Error> {
    let unset = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let proxy = Proxy::start(unset, seed).await?;
    proxy.set_names(description.placements().into_iter().map(|placement| placement.vm).collect());
    Ok(proxy)
}
