//! A small deployment: a store, servers, and the nodes with the command of the deploy file.

use {
    super::{
        http::{Connection, Request},
        server::{self, Behaviour, Runs, Settings},
        store::Store,
    },
    crate::record,
    std::{
        fs::{self, File},
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        os::fd::AsRawFd as _,
        os::unix::process::CommandExt as _,
        path::{Path, PathBuf},
        process::{Child, Command},
        time::{Duration, Instant},
    },
};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

/// The ports, the same on all machines.
const INBOUND: u16 = 18_743;
const READY: u16 = 18_746;
const SERVER: u16 = 18_747;
const OUTBOUND: u16 = 18_748;
const METRICS: u16 = 7_009;
const STORE: u16 = 18_745;

/// The zones of the settings.
pub const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// How many connections a listener's queue of length 0 may hold.
const MAX_HELD: usize = 16;

/// How long the nodes may take to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(25);

/// A machine with a server and a node.
pub struct Machine {
    pub name: String,
    pub address: Ipv4Addr,
    pub service: String,
    pub zone: String,
    node: Option<Child>,
    /// A listener that accepts nothing and the connections that fill its queue, while the machine is
    /// cut off.
    hole: Option<(TcpListener, Vec<TcpStream>)>,
}

impl Machine {
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::from((self.address, OUTBOUND))
    }

    /// Sends a signal to the node.
    pub fn signal(&self, signal: i32) {
        let Some(node) = &self.node else { return };
        // The process was started here and has not been waited for, so the id is still its own.
        unsafe { kill(node.id() as i32, signal) };
    }

    /// Returns whether the node has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.node.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Returns a figure of the node's memory in kB, such as `VmRSS`.
    pub fn memory_kb(&self, name: &str) -> Option<u64> {
        let path = format!("/proc/{}/status", self.node.as_ref()?.id());
        let status = fs::read_to_string(path).ok()?;
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns whether the node answers its readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.address, READY));
        let request = Request {
            method: "GET",
            path: "/v1/readiness",
            id: "",
            key: "",
            budget_ms: 1_000,
            upload: 0,
        };
        let answer = Connection::open(address).and_then(|mut open| open.exchange(&request));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    fn metrics(&self) -> io::Result<String> {
        let address = SocketAddr::from((self.address, METRICS));
        let request = Request {
            method: "GET",
            path: "/metrics",
            id: "",
            key: "",
            budget_ms: 1_000,
            upload: 0,
        };
        let answer = Connection::open(address)?.exchange(&request)?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }
}

/// A running deployment. Dropping it ends all nodes.
pub struct Site {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub runs: Runs,
    directory: PathBuf,
    command: Vec<String>,
    store_address: SocketAddr,
    version: u64,
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.signal(SIGKILL);
            if let Some(node) = &mut machine.node {
                let _ = node.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// A route of the configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub aim_ms: u64,
}

impl Site {
    /// Starts a deployment with one machine for each of the services, all in one zone.
    pub fn start(services: &[&str], slots: usize, behaviour: Behaviour) -> io::Result<Self> {
        let machines: Vec<_> = services.iter().map(|service| (*service, ZONES[0])).collect();
        Self::start_in_zones(&machines, slots, behaviour)
    }

    /// Starts a deployment with one machine for each pair of a service and a zone.
    pub fn start_in_zones(
        services: &[(&str, &str)],
        slots: usize,
        behaviour: Behaviour,
    ) -> io::Result<Self> {
        let network = free_network(services.len())?;
        let address = |number: usize| Ipv4Addr::new(127, network.0, network.1, number as u8 + 10);
        let store_address = SocketAddr::from((Ipv4Addr::new(127, network.0, network.1, 2), STORE));
        let directory = std::env::temp_dir().join(format!("monsoon-review-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let mut site = Self {
            store: Store::start(store_address)?,
            machines: Vec::new(),
            runs: Runs::default(),
            directory,
            command: deploy_command()?,
            store_address,
            version: 4,
        };
        for (number, (service, zone)) in services.iter().enumerate() {
            let machine = Machine {
                name: format!("m{number}"),
                address: address(number),
                service: (*service).into(),
                zone: (*zone).into(),
                node: None,
                hole: None,
            };
            site.machines.push(machine);
            let settings = Settings::new(&format!("i-{number}"), service, slots);
            site.start_server(number, settings, behaviour.clone())?;
            site.write_settings(number, service)?;
        }
        Ok(site)
    }

    /// Starts a server beside a node, which has none there.
    fn start_server(
        &mut self,
        machine: usize,
        settings: Settings,
        behaviour: Behaviour,
    ) -> io::Result<()> {
        let address = SocketAddr::from((self.machines[machine].address, SERVER));
        self.register(machine, &settings);
        server::start(address, settings, behaviour, self.runs.clone())
    }

    /// Writes the entry of a server to the store.
    fn register(&self, machine: usize, settings: &Settings) {
        let Settings { id, service, slots, born } = settings;
        let zone = &self.machines[machine].zone;
        let address = SocketAddr::from((self.machines[machine].address, SERVER));
        let entry = format!(
            "{{\"address\":\"{address}\",\"born\":{},\"info\":{{\"service\":\"{service}\",\
             \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\
             \"state\":\"ready\",\"sequence\":4,\"cold_remaining_ms\":0}}}}",
            born
        );
        self.store.write(&format!("servers/{id}"), Some(&entry));
    }

    /// Writes the settings file of a machine.
    pub fn write_settings(&self, machine: usize, service: &str) -> io::Result<()> {
        let Machine { name, address, zone, .. } = &self.machines[machine];
        let store = self.store_address;
        let text = format!(
            "[self]\nnode = \"{name}\"\nrole = \"node\"\nmachine_class = \"sidecar\"\n\
             serves = [\"sidecar\"]\nip = \"{address}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
             counts_as_loss = false\nbootstrap = true\napp_addr = \"{address}:{SERVER}\"\n\
             service = \"{service}\"\n[self.limits]\ncpu_share = 0.4\ncores = 1\n\
             memory_mb = {MEMORY_MB}\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [network]\nport_range = [7000,7015]\nseeds = []\n[network.listen]\n\
             inbound = \"{address}:{INBOUND}\"\noutbound = \"{address}:{OUTBOUND}\"\n\
             ready = \"{address}:{READY}\"\n[network.zones]\nza = \"r\"\nzb = \"r\"\nzc = \"r\"\n[platform]\n\
             discovery = \"platform\"\nentry = \"static\"\nheartbeat_ms = 1500\n\
             [platform.platform]\naddress = \"{store}\"\nform = \"read\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n\
             [terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\
             \"recover\",\"pressure\",\"tenants\",\"quota\",\"platform\"]\n\
             [terms.fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[terms.bounds]\n\
             seed_lag_s = 3\nreuse_after_s = 2\nstability_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n\
             strict_revocation = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             budget_window_s = 10\nbudget_slack = 48\nquota_window_s = 5\nquota_over = 0.25\n\
             quota_slack = 20\nrecover_s = 15\n"
        );
        // A reader must not see half of the file.
        let path = self.settings_path(machine);
        fs::write(path.with_extension("new"), text)?;
        fs::rename(path.with_extension("new"), path)
    }

    fn settings_path(&self, machine: usize) -> PathBuf {
        self.directory.join(format!("{}.toml", self.machines[machine].name))
    }

    /// Writes a configuration with these routes and one tenant, whose key is `key-1`.
    pub fn publish(&mut self, routes: &[Route<'_>]) {
        self.version += 3;
        let rows: Vec<String> = routes
            .iter()
            .enumerate()
            .map(|(number, Route { prefix, kind, service, timeout_ms, aim_ms })| {
                format!(
                    "[\"r-{number}\",\"shop.example\",\"{prefix}\",\"{kind}\",{timeout_ms},\
                     {aim_ms},1,null,2,false,\"{service}\"]"
                )
            })
            .collect();
        let mut services: Vec<String> = self
            .machines
            .iter()
            .map(|machine| format!("[\"{}\",\"/health\",934,\"h1\",false]", machine.service))
            .collect();
        services.sort();
        services.dedup();
        let configuration = format!(
            "{{\"version\":\"{:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\
             \"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_split\",\
             \"max_attempts\",\"public\",\"service\"],\"rows\":[{}]}},\"services\":{{\"columns\":\
             [\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":{{\"columns\":\
             [\"name\",\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],\"rows\":\
             [[\"pulo780\",[\"key-1\"],1,0,0]]}}}}",
            self.version,
            rows.join(","),
            services.join(",")
        );
        self.store.write("op/config", Some(&configuration));
    }

    /// Starts all nodes and waits until they are ready and know each other.
    pub fn start_nodes(&mut self) -> io::Result<()> {
        for machine in 0..self.machines.len() {
            self.start_node(machine)?;
        }
        let end = Instant::now() + START_TIMEOUT;
        let peers = format!("monsoon_peers {}", self.machines.len() - 1);
        for machine in &self.machines {
            let knows_peers = || {
                let text = machine.metrics().unwrap_or_default();
                text.lines().any(|line| line == peers)
            };
            while !(machine.is_ready() && knows_peers()) {
                if Instant::now() > end {
                    return Err(io::Error::other(format!("{} is not ready", machine.name)));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        record!("all nodes are ready");
        Ok(())
    }

    /// Starts the node of a machine.
    pub fn start_node(&mut self, machine: usize) -> io::Result<()> {
        let settings = self.settings_path(machine);
        let out = File::create(settings.with_extension("log"))?;
        let mut command = Command::new(&self.command[0]);
        command
            .args(&self.command[1..])
            .env_clear()
            .envs(
                ["PATH", "HOME", "LANG"]
                    .iter()
                    .filter_map(|name| std::env::var_os(name).map(|value| (name, value))),
            )
            .env("MONSOONSTACK_CONFIG", settings)
            .stdout(out.try_clone()?)
            .stderr(out);
        // The node ends with this process, whatever happens to it.
        unsafe {
            command.pre_exec(|| {
                const PR_SET_PDEATHSIG: i32 = 1;
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        self.machines[machine].node = Some(command.spawn()?);
        Ok(())
    }

    /// Cuts a machine off from the others: its node ends, so that it sends nothing, and connections to
    /// it hang, since the queue of the listener in its place is full.
    pub fn cut_off(&mut self, machine: usize) -> io::Result<()> {
        let machine = &mut self.machines[machine];
        machine.signal(SIGKILL);
        if let Some(node) = &mut machine.node {
            node.wait()?;
        }
        let address = SocketAddr::from((machine.address, INBOUND));
        let listener = TcpListener::bind(address)?;
        // A second call sets the length of the queue.
        unsafe { listen(listener.as_raw_fd(), 0) };
        let mut held = Vec::new();
        while let Ok(open) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            held.push(open);
            if held.len() > MAX_HELD {
                return Err(io::Error::other("connections to a full queue do not hang here"));
            }
        }
        record!("connections to {address} hang, {} are in its queue", held.len());
        machine.hole = Some((listener, held));
        Ok(())
    }

    /// Copies the lines of a node's log that mention the text to the record.
    pub fn record_log(&self, machine: usize, text: &str) {
        let path = self.settings_path(machine).with_extension("log");
        let log = fs::read_to_string(path).unwrap_or_default();
        for line in log.lines().filter(|line| line.contains(text)) {
            record!("log of {}: {line}", self.machines[machine].name);
        }
    }
}

/// The memory of a machine, as on the sites with the fewest machines.
pub const MEMORY_MB: u64 = 260;

/// Returns the program and the arguments of the deploy file's only role.
fn deploy_command() -> io::Result<Vec<String>> {
    let text = fs::read_to_string(Path::new("deploy/system.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let words = line.and_then(|line| line.strip_suffix('"'));
    let words = words.ok_or_else(|| io::Error::other("the deploy file has no run line"))?;
    Ok(words.split(' ').map(str::to_owned).collect())
}

/// Finds a block of loopback addresses on which all ports are free.
fn free_network(machines: usize) -> io::Result<(u8, u8)> {
    let process = std::process::id();
    for attempt in 0..200 {
        let number = process.wrapping_mul(7).wrapping_add(attempt * 31);
        let (first, second) = ((number >> 8) as u8 % 200 + 20, number as u8 % 250 + 1);
        let is_free = |last: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, first, second, last), port)).is_ok()
        };
        let ports = [INBOUND, READY, SERVER, OUTBOUND, METRICS];
        let are_free = |last: u8| ports.iter().all(|port| is_free(last, *port));
        if is_free(2, STORE) && (0..machines).all(|number| are_free(number as u8 + 10)) {
            return Ok((first, second));
        }
    }
    Err(io::Error::other("no free block of loopback addresses"))
}
