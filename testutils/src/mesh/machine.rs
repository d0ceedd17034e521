//! Machines of a deployment, each with a real node process and an application server.

use {
    super::{
        client::{Reply, Request, send},
        server::Server,
        store::Store,
    },
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
        fs::{self, File},
        io,
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus},
        sync::{
            Mutex, MutexGuard,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// The ports of nodes and servers, the same on all machines.
const OUTBOUND: u16 = 18_548;
const INBOUND: u16 = 18_543;
const READY: u16 = 18_546;
const METRICS: u16 = 18_549;
const SERVER: u16 = 18_547;
/// How long [`wait_for`] and [`Machine::ended`] wait.
const TIMEOUT: Duration = Duration::from_secs(10);
/// How often they check.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a loopback address that is unique to a machine and its test process.
fn unique_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() % 60_000;
    Ipv4Addr::new(127, 1 + (process >> 8) as u8, process as u8, number as u8)
}

/// A machine with its node and server.
pub struct Machine {
    /// The name of its node.
    pub name: String,
    /// The address that its node and server listen on.
    pub address: Ipv4Addr,
    /// The service of its server.
    pub service: String,
    /// The zone that it is in.
    pub zone: String,
    /// The application server.
    pub server: Server,
    node: Child,
    log: PathBuf,
}

impl Drop for Machine {
    fn drop(&mut self) {
        // Both calls fail harmlessly if the node has ended already.
        let _ = self.node.kill();
        let _ = self.node.wait();
    }
}

impl Machine {
    fn socket_address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.address, port))
    }

    /// Sends a request to the node's listener for clients.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the node can't be reached.
    pub async fn send(&self, request: &Request) -> io::Result<Reply> {
        send(self.socket_address(OUTBOUND), request).await
    }

    /// Returns the address of the node's listener for clients.
    pub fn outbound(&self) -> SocketAddr {
        self.socket_address(OUTBOUND)
    }

    /// Returns the address of the node's listener for its peers.
    pub fn inbound(&self) -> SocketAddr {
        self.socket_address(INBOUND)
    }

    /// Returns whether the node's readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        let request = Request::new("GET", "/v1/readiness", "ready");
        send(self.socket_address(READY), &request).await.is_ok_and(|reply| reply.status == 200)
    }

    /// Returns the node's metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the node can't be reached.
    pub async fn metrics(&self) -> io::Result<String> {
        let request = Request::new("GET", "/metrics", "metrics");
        Ok(send(self.socket_address(METRICS), &request).await?.body)
    }

    /// Returns the highest memory use of the node so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.node.id());
        let status = fs::read_to_string(path).expect("the node runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().strip_suffix(" kB"));
        kilobytes.and_then(|text| text.trim().parse().ok()).expect("the peak memory in kB")
    }

    /// Returns the number of descriptors that the node has open.
    ///
    /// # Panics
    ///
    /// Panics when the node does not run any more.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.node.id());
        fs::read_dir(path).expect("the node runs").count()
    }

    /// Sends a signal to the node.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.node.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the node runs");
    }

    /// Waits until the node has ended. Returns none on a timeout.
    pub async fn ended(&mut self) -> Option<ExitStatus> {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.node.try_wait() {
                return Some(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Returns the node's log, over all its restarts.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// A deployment: a store and machines.
pub struct Deployment {
    /// The store that all nodes use.
    pub store: Store,
    /// The machines, in the order in which they were added.
    pub machines: Vec<Machine>,
    /// The contracts that the settings of machines added from now on name.
    pub contracts: Vec<&'static str>,
    /// The memory in MB that the settings of machines added from now on state.
    pub memory_mb: u64,
    program: PathBuf,
    directory: PathBuf,
    version: u64,
    /// What the operator wrote last.
    configuration: Vec<u8>,
    /// The state that each registered server wrote last, by the index of its machine.
    registered: Mutex<BTreeMap<usize, String>>,
    /// How long the servers of a service are cold, in seconds, and their bound on requests per second.
    cold_bounds: BTreeMap<String, (f64, f64)>,
    /// The number of starts of all servers so far, by which the last start of each is told apart.
    starts: Mutex<BTreeMap<usize, u64>>,
    /// The number of entries written so far, which stands in for the heartbeats of all servers.
    sequence: AtomicU64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.machines.clear();
        // Files that can't be removed are left to the system's clean-up of temporary files.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Deployment {
    /// Starts a deployment with a store and no machines. `program` is the node's executable.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the store can't be started.
    pub fn start(program: &Path) -> io::Result<Self> {
        let unique = format!("monsoon-mesh-{}-{}", std::process::id(), unique_address());
        let directory = std::env::temp_dir().join(unique);
        fs::create_dir_all(&directory)?;
        let store = Store::start()?;
        Ok(Self {
            store,
            machines: Vec::new(),
            contracts: Vec::new(),
            memory_mb: 260,
            program: program.into(),
            directory,
            version: 0,
            configuration: Vec::new(),
            registered: Mutex::default(),
            cold_bounds: BTreeMap::new(),
            starts: Mutex::default(),
            sequence: AtomicU64::new(0),
        })
    }

    /// Adds a machine with a server of the service, registers the server and returns the machine's
    /// index.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the server or the node can't be started.
    pub async fn add(&mut self, service: &str, zone: &str, slots: usize) -> io::Result<usize> {
        let store = self.store.address();
        self.add_with_store(service, zone, slots, store).await
    }

    /// Like [`Deployment::add`], for a machine that reaches the store at the given address, such as
    /// that of a proxy.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the server or the node can't be started.
    pub async fn add_with_store(
        &mut self,
        service: &str,
        zone: &str,
        slots: usize,
        store: SocketAddr,
    ) -> io::Result<usize> {
        let address = unique_address();
        let name = format!("m{}", self.machines.len());
        let id = format!("i-{name}");
        let server = Server::start(SocketAddr::from((address, SERVER)), &id, slots).await?;
        let path = self.directory.join(format!("{name}.toml"));
        let terms = format!("[terms]\ncontracts = {:?}\n", self.contracts);
        let limits = format!("[self.limits]\nmemory_mb = {}\n", self.memory_mb);
        fs::write(&path, settings(&name, address, service, zone, store) + &limits + &terms)?;
        let log = self.directory.join(format!("{name}.log"));
        let node = self.spawn(&path, &log)?;
        let (service, zone) = (service.to_owned(), zone.to_owned());
        self.machines.push(Machine { name, address, service, zone, server, node, log });
        let index = self.machines.len() - 1;
        self.register(index, "ready");
        Ok(index)
    }

    /// Sets the executable of nodes that are started or restarted from now on.
    pub fn set_program(&mut self, program: &Path) {
        self.program = program.into();
    }

    fn spawn(&self, settings: &Path, log: &Path) -> io::Result<Child> {
        let out = File::options().create(true).append(true).open(log)?;
        Command::new(&self.program)
            .arg("--metrics-port")
            .arg(METRICS.to_string())
            .env("MONSOONSTACK_CONFIG", settings)
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()
    }

    /// Starts the node of a machine again after it has ended.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the node can't be started.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        let settings = self.directory.join(format!("{}.toml", self.machines[index].name));
        let node = self.spawn(&settings, &self.machines[index].log)?;
        self.machines[index].node = node;
        Ok(())
    }

    /// Makes the entries of a machine's server from now on those of another start of it.
    pub fn renew(&self, index: usize) {
        let mut starts = self.starts.lock().expect("no holder of the lock panics");
        *starts.entry(index).or_default() += 1;
    }

    /// Writes the store entry of a machine's server with the given state.
    pub fn register(&self, index: usize, state: &str) {
        let machine = &self.machines[index];
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let starts = self.starts.lock().expect("no holder of the lock panics");
        let starts = starts.get(&index).copied().unwrap_or(0);
        self.registered().insert(index, state.into());
        let entry = json!({
            "address": machine.server.address().to_string(),
            "born": 1_700_000_000_000_u64 + index as u64 + starts * 1_000,
            "info": {"service": machine.service, "version": "v1", "zone": machine.zone,
                "slots": machine.server.slots()},
            "status": {"state": state, "sequence": sequence,
                "cold_remaining_ms": machine.server.cold_remaining().as_millis() as u64},
        });
        let key = format!("servers/{}", machine.server.id());
        self.store.write(&key, Some(entry.to_string().as_bytes()));
    }

    fn registered(&self) -> MutexGuard<'_, BTreeMap<usize, String>> {
        self.registered.lock().expect("no holder of the lock panics")
    }

    /// Writes the configuration and the entries of all registered servers again, as the operator and
    /// the servers do after the store was restored from a copy.
    pub fn write_again(&self) {
        let registered = self.registered().clone();
        for (index, state) in registered {
            self.register(index, &state);
        }
        self.store.write("op/config", Some(&self.configuration));
    }

    /// Removes the store entry of a machine's server.
    pub fn unregister(&self, index: usize) {
        self.registered().remove(&index);
        let key = format!("servers/{}", self.machines[index].server.id());
        self.store.write(&key, None);
    }

    /// Sets the bound on the cold servers of a service in configurations from now on: how long they are
    /// cold, in seconds, and how many requests per second they take.
    pub fn set_cold_bound(&mut self, service: &str, seconds: f64, per_second: f64) {
        self.cold_bounds.insert(service.into(), (seconds, per_second));
    }

    /// Publishes a configuration. Routes are `(prefix, kind, service, target latency in ms,
    /// public)`. Tenants are `(name, keys, requests per second)`, where a rate of 0 means no limit.
    pub fn publish(
        &mut self,
        routes: &[(&str, &str, &str, u64, bool)],
        tenants: &[(&str, &[&str], u64)],
    ) {
        self.version += 3;
        let service_names: BTreeSet<&str> = routes.iter().map(|route| route.2).collect();
        let services: Vec<Value> = service_names
            .iter()
            .map(|service| {
                let bound = self.cold_bounds.get(*service);
                json!([service, "/health", bound.map(|bound| bound.0), bound.map(|bound| bound.1)])
            })
            .collect();
        let route =
            |(i, (prefix, kind, service, target_latency_ms, public)): (usize, &(_, _, _, _, _))| {
                json!([
                    format!("r-{i}"),
                    "shop.example",
                    prefix,
                    kind,
                    5000,
                    target_latency_ms,
                    1,
                    null,
                    2,
                    public,
                    service
                ])
            };
        let routes: Vec<Value> = routes.iter().enumerate().map(route).collect();
        let tenant = |(name, keys, rate): &(&str, &[&str], u64)| json!([name, keys, 1, rate, rate]);
        let tenants: Vec<Value> = tenants.iter().map(tenant).collect();
        let configuration = json!({
            "version": format!("{:08x}", self.version),
            "routes": {"columns": ["name", "host", "prefix", "kind", "timeout_ms",
                "target_latency_ms", "priority", "traffic_split", "max_attempts", "public",
                "service"], "rows": routes},
            "services": {"columns": ["name", "health_path", "cold_start_s", "cold_per_s"],
                "rows": services},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
                "rows": tenants},
        });
        self.configuration = configuration.to_string().into_bytes();
        self.store.write("op/config", Some(&self.configuration));
    }

    /// Publishes the last configuration once more with changes, which may make it invalid.
    ///
    /// # Panics
    ///
    /// Panics when no configuration was published before.
    pub fn edit(&mut self, change: impl FnOnce(&mut Value)) {
        let mut configuration: Value =
            serde_json::from_slice(&self.configuration).expect("a published configuration");
        self.version += 3;
        configuration["version"] = json!(format!("{:08x}", self.version));
        change(&mut configuration);
        self.configuration = configuration.to_string().into_bytes();
        self.store.write("op/config", Some(&self.configuration));
    }

    /// Returns the version of the last configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Waits until all nodes are ready and know all their peers.
    pub async fn ready(&self) {
        for machine in &self.machines {
            let what = format!("{} is ready; its log:\n{}", machine.name, machine.log());
            let peers = self.machines.len() - 1;
            wait_for(&what, async || {
                let has_peers = machine.metrics().await.is_ok_and(|text| {
                    text.lines().any(|line| line == format!("monsoon_peers {peers}"))
                });
                has_peers && machine.is_ready().await
            })
            .await;
        }
    }
}

fn settings(name: &str, address: Ipv4Addr, service: &str, zone: &str, store: SocketAddr) -> String {
    format!(
        "[self]\nnode = \"{name}\"\nip = \"{address}\"\nzone = \"{zone}\"\n\
         app_addr = \"{address}:{SERVER}\"\nservice = \"{service}\"\nunknown = 1\n\
         [network]\nseeds = []\n[network.listen]\ninbound = \"{address}:{INBOUND}\"\n\
         outbound = \"{address}:{OUTBOUND}\"\nready = \"{address}:{READY}\"\n\
         [network.zones]\nza = \"r\"\nzb = \"r\"\n[platform.platform]\n\
         address = \"{store}\"\n[terms.bounds]\ngrace_s = 6\nrevoke_ms = 5000\n\
         drain_ms = 2000\n         retry_budget_ratio = 0.2\nbudget_window_s = 10\n\
         cold_over = 1.5\ncold_slack = 8\nevac_ms = 5000\nmax_stretch_ms = 2000\n"
    )
}

/// Waits until the condition is true.
///
/// # Panics
///
/// Panics when the condition is not true in time.
pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
