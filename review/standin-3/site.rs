//! A small deployment: a store, and machines with a server and a node each.

use {
    crate::{
        Error,
        http::{connect, free_port, is_free, read_head},
        record::Record,
        server::{self, Server},
        store::Store,
    },
    std::{
        env, fs,
        fs::File,
        io::{BufReader, Write as _},
        net::{Ipv4Addr, SocketAddrV4},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// The command of `deploy/system.toml`, which is run in the root of the repository.
const PROGRAM: &str = "target/release/monsoon-platform";
/// The port of the metrics in that command. Another one is used if it is not free.
const METRICS_PORT: u16 = 7009;
/// The key of the only client account.
pub const KEY: &str = "key-of-alpha";
/// The time of the store and all machines without a disturbance after which rules are judged, with
/// some reserve. `stability_ms` is 3,000.
pub const CALM: Duration = Duration::from_millis(4_000);
/// The time between the starts of two machines, so that their servers do not write their entries at the
/// same moments.
const START_INTERVAL: Duration = Duration::from_millis(500);
/// `grace_s` in the settings.
const GRACE: Duration = Duration::from_secs(6);

/// The settings in which the sites of the cases differ.
pub struct Terms {
    pub ack_ms: u32,
    pub catch_up_s: u32,
    pub drain_ms: u32,
    pub config_apply_ms: u32,
    pub budget_slack: u32,
    pub reads_per_s: u32,
}

impl Terms {
    /// Returns `drain_ms`.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms.into())
    }
}

/// The settings of twhaa-mesh.
pub const TWHAA_MESH: Terms = Terms {
    ack_ms: 4_000,
    catch_up_s: 4,
    drain_ms: 2_000,
    config_apply_ms: 2_000,
    budget_slack: 48,
    reads_per_s: 2_000,
};

/// The settings of stw-hq-mesh-grown.
pub const STW_HQ_MESH_GROWN: Terms = Terms {
    ack_ms: 5_000,
    catch_up_s: 6,
    drain_ms: 2_500,
    config_apply_ms: 2_500,
    budget_slack: 94,
    reads_per_s: 6_000,
};

/// A machine with a server and a node.
pub struct Machine {
    pub host: Ipv4Addr,
    pub server: Server,
    node: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

/// A running deployment. All nodes end when it is dropped.
pub struct Site {
    pub store: Store,
    pub record: Record,
    pub machines: Vec<Machine>,
    root: PathBuf,
    folder: PathBuf,
    ports: Ports,
    terms: Terms,
}

#[derive(Clone, Copy)]
struct Ports {
    inbound: u16,
    outbound: u16,
    ready: u16,
    app: u16,
    metrics: u16,
}

/// What a route of the configuration says beside its service.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
}

impl Site {
    /// Starts a store with the routes and an account, and `count` machines whose servers are as
    /// `server` says.
    pub fn start(
        terms: Terms,
        count: u8,
        routes: &[Route],
        server: impl Fn(u8) -> server::Settings,
    ) -> Result<Self, Error> {
        let root = find_root()?;
        let id = std::process::id();
        // Each run has loopback addresses of its own.
        let (high, low) = (64 + (id >> 8 & 63) as u8, id as u8);
        let host = |last| Ipv4Addr::new(127, high, low, last);
        let hosts: Vec<Ipv4Addr> = (1..=count).map(host).collect();
        let mut ports = Vec::new();
        while ports.len() < 5 {
            let port = free_port(&hosts)?;
            if !ports.contains(&port) && port != METRICS_PORT {
                ports.push(port);
            }
        }
        let is_metrics_port_free = is_free(METRICS_PORT, &hosts);
        let ports = Ports {
            inbound: ports[0],
            outbound: ports[1],
            ready: ports[2],
            app: ports[3],
            metrics: if is_metrics_port_free { METRICS_PORT } else { ports[4] },
        };
        let folder = env::temp_dir().join(format!("monsoon-review-3-{id}"));
        fs::create_dir_all(&folder)?;
        let record = Record::create()?;
        let store = Store::start(host(250))?;
        store.write("op/config", Some(&configuration(routes)));
        let mut site = Self { store, record, machines: Vec::new(), root, folder, ports, terms };
        for (i, host) in hosts.into_iter().enumerate() {
            let settings =
                server::Settings { address: SocketAddrV4::new(host, ports.app), ..server(i as u8) };
            site.add(host, settings)?;
            thread::sleep(START_INTERVAL);
        }
        site.wait_until_ready()?;
        thread::sleep(CALM);
        site.record.write("the deployment is calm");
        Ok(site)
    }

    fn add(&mut self, host: Ipv4Addr, settings: server::Settings) -> Result<(), Error> {
        let number = self.machines.len() + 1;
        let path = self.folder.join(format!("node-{number}.toml"));
        fs::write(&path, self.node_settings(number, host, &settings))?;
        let server = Server::start(settings, &self.store, &self.record)?;
        let log = self.folder.join(format!("node-{number}.log"));
        self.machines.push(Machine { host, server, node: None, settings: path, log });
        self.start_node(number - 1)
    }

    /// Starts the node of a machine.
    pub fn start_node(&mut self, machine: usize) -> Result<(), Error> {
        let root = self.root.clone();
        let machine = &mut self.machines[machine];
        let log = File::options().create(true).append(true).open(&machine.log)?;
        let mut command = Command::new(root.join(PROGRAM));
        let metrics = self.ports.metrics.to_string();
        command.args(["--metrics-port", &metrics]).current_dir(&root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("MONSOONSTACK_CONFIG", &machine.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        machine.node = Some(command.spawn()?);
        self.record.write(&format!("node at {} starts", machine.host));
        Ok(())
    }

    /// Sends SIGTERM to the node of a machine.
    pub fn terminate(&self, machine: usize) -> Result<(), Error> {
        let machine = &self.machines[machine];
        let Some(node) = &machine.node else { return Err("the node does not run".into()) };
        self.record.write(&format!("SIGTERM to the node at {}", machine.host));
        // The kill of the shell needs no further program.
        let command = format!("kill -TERM {}", node.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err("SIGTERM was not sent".into()),
        }
    }

    /// Waits until the node of a machine has ended. Sends SIGKILL after the grace time.
    pub fn wait_until_ended(&mut self, machine: usize) -> Result<(), Error> {
        let end = Instant::now() + GRACE;
        let machine = &mut self.machines[machine];
        let Some(mut node) = machine.node.take() else { return Ok(()) };
        while node.try_wait()?.is_none() {
            if Instant::now() >= end {
                self.record.write(&format!("SIGKILL to the node at {}", machine.host));
                node.kill()?;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.write(&format!("node at {} has ended", machine.host));
        Ok(())
    }

    /// Returns the address of a machine's node for clients.
    pub fn outbound(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[machine].host, self.ports.outbound)
    }

    /// Waits until all nodes that run are ready.
    pub fn wait_until_ready(&self) -> Result<(), Error> {
        let end = Instant::now() + Duration::from_secs(20);
        for machine in self.machines.iter().filter(|machine| machine.node.is_some()) {
            while !self.is_ready(machine.host).unwrap_or(false) {
                if Instant::now() >= end {
                    let log = fs::read_to_string(&machine.log).unwrap_or_default();
                    return Err(format!("the node at {} is not ready:\n{log}", machine.host).into());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    fn is_ready(&self, host: Ipv4Addr) -> Result<bool, Error> {
        let mut stream = connect(SocketAddrV4::new(host, self.ports.ready))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: node\r\n\r\n")?;
        let head = read_head(&mut BufReader::new(stream))?;
        Ok(head.is_some_and(|head| head.status() == 200))
    }

    fn node_settings(&self, number: usize, host: Ipv4Addr, server: &server::Settings) -> String {
        let Ports { inbound, outbound, ready, .. } = self.ports;
        let Terms { ack_ms, catch_up_s, drain_ms, config_apply_ms, budget_slack, reads_per_s } =
            self.terms;
        let server::Settings { service, zone, address, .. } = server;
        let store = self.store.address();
        format!(
            r#"[self]
node = "sidecar-{zone}-{number}"
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{host}"
zone = "{zone}"
region = "r1"
counts_as_loss = false
bootstrap = true
app_addr = "{address}"
service = "{service}"
[self.limits]
cpu_share = 0.4
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
port_range = [7000,7015]
seeds = []
[network.listen]
inbound = "{host}:{inbound}"
outbound = "{host}:{outbound}"
ready = "{host}:{ready}"
[network.zones]
za = "r1"
[platform]
discovery = "platform"
entry = "static"
heartbeat_ms = 1500
[platform.platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = {reads_per_s}
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","platform"]
[terms.fault_tolerance]
machines = 1
zones = 1
regions = 0
[terms.bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_ms = 3000
ack_ms = {ack_ms}
catch_up_s = {catch_up_s}
drain_ms = {drain_ms}
grace_s = 6
loss_slack_ms = 200
config_apply_ms = {config_apply_ms}
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revocation = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = {budget_slack}
quota_window_s = 5
quota_over = 0.25
quota_slack = 20
recover_s = 15
"#
        )
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut node) = machine.node.take() {
                // It may have ended by itself.
                let _ = node.kill();
                let _ = node.wait();
            }
        }
        match env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs: {}", self.folder.display()),
            None => _ = fs::remove_dir_all(&self.folder),
        }
    }
}

/// Finds the root of the repository, above the current folder.
fn find_root() -> Result<PathBuf, Error> {
    let folder = env::current_dir()?;
    let root = folder.ancestors().find(|folder| folder.join("deploy/system.toml").is_file());
    let root = root.map(Path::to_owned).ok_or("deploy/system.toml was not found")?;
    match root.join(PROGRAM).is_file() {
        true => Ok(root),
        false => Err(format!("{PROGRAM} was not built").into()),
    }
}

fn configuration(routes: &[Route]) -> String {
    let row = |route: &Route| {
        let Route { name, prefix, kind, service, timeout_ms, target_latency_ms } = route;
        format!(
            "[\"{name}\",\"shop.example\",\"{prefix}\",\"{kind}\",{timeout_ms},\
             {target_latency_ms},1,2,false,\"{service}\"]"
        )
    };
    let rows: Vec<String> = routes.iter().map(row).collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> =
        services.iter().map(|name| format!("[\"{name}\",\"/health\",724]")).collect();
    format!(
        "{{\"version\":\"00000001\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\
         \"timeout_ms\",\"target_latency_ms\",\"priority\",\"max_attempts\",\"public\",\"service\"],\
         \"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"health_path\",\"max_connections\"],\
         \"rows\":[{}]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":{{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],\
         \"rows\":[[\"alpha\",[\"{KEY}\"],1,0,0]]}}}}",
        rows.join(","),
        services.join(",")
    )
}
