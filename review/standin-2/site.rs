//! A small deployment: a store, and machines that each have a server and a node process.

use {
    super::{
        http::{Connection, Message},
        record::Record,
        server::Server,
        store::Store,
    },
    std::{
        fs::{self, File},
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
};

/// The command of the deploy file, with the port of the metrics.
const PROGRAM: &str = "target/release/monsoon-platform";
/// The memory of each machine for its node.
pub const MEMORY_MB: u64 = 260;
/// Host of all routes.
pub const HOST: &str = "shop.example";
/// The key of the tenant that the clients belong to.
pub const KEY: &str = "key-of-alpha";

/// The ports of a machine, the same on all of them.
#[derive(Clone, Copy)]
struct Ports {
    inbound: u16,
    outbound: u16,
    ready: u16,
    metrics: u16,
    server: u16,
}

pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub service: String,
    pub zone: String,
    pub server: Server,
    pub node: Child,
    log: PathBuf,
    ports: Ports,
}

impl Drop for Machine {
    fn drop(&mut self) {
        // Both calls fail harmlessly if the process has ended.
        let _ = self.node.kill();
        let _ = self.node.wait();
    }
}

impl Machine {
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.outbound)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.ready)
    }

    pub fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.node.id())).map_or(0, Iterator::count)
    }

    /// Returns the highest memory use of the node so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        self.memory_kb("VmHWM:")
    }

    /// Returns the present memory use of the node, in kilobytes.
    pub fn present_memory_kb(&self) -> u64 {
        self.memory_kb("VmRSS:")
    }

    fn memory_kb(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.node.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        line.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn spawn(
        settings: &PathBuf,
        log: &PathBuf,
        ports: Ports,
        descriptors: u32,
    ) -> io::Result<Child> {
        let out = File::options().create(true).append(true).open(log)?;
        // The shell only sets the platform's limit on descriptors and becomes the program.
        let command =
            format!("ulimit -n {descriptors} && exec {PROGRAM} --metrics-port {}", ports.metrics);
        Command::new("sh")
            .args(["-c", &command])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("MONSOONSTACK_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()
    }
}

pub struct Site {
    pub store: Store,
    pub machines: Vec<Machine>,
    directory: PathBuf,
    network: [u8; 2],
    ports: Ports,
    max_descriptors: u32,
    sequence: AtomicU64,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.machines.clear();
        // What can't be removed is left to the system's clean-up of temporary files.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Site {
    pub fn start(max_descriptors: u32) -> io::Result<Self> {
        let id = std::process::id();
        let network = [64 + (id >> 8 & 127) as u8, id as u8];
        let directory = std::env::temp_dir().join(format!("review-2-{id}"));
        fs::create_dir_all(&directory)?;
        let first = IpAddr::from([127, network[0], network[1], 1]);
        Ok(Self {
            store: Store::start(IpAddr::from([127, network[0], network[1], 250]))?,
            machines: Vec::new(),
            directory,
            network,
            ports: free_ports(first)?,
            max_descriptors,
            sequence: AtomicU64::new(0),
        })
    }

    /// Adds a machine and registers its server.
    pub fn add(&mut self, service: &str, zone: &str, slots: usize) -> io::Result<()> {
        self.add_behind(service, zone, slots, 0).map(drop)
    }

    /// Adds a machine whose server is reached at another address than its node, which is `offset`
    /// higher. Returns the address for peers that follows from it, and that of the node.
    pub fn add_behind(
        &mut self,
        service: &str,
        zone: &str,
        slots: usize,
        offset: u8,
    ) -> io::Result<(SocketAddr, SocketAddr)> {
        let number = self.machines.len() as u8 + 1;
        let ip = IpAddr::from(Ipv4Addr::new(127, self.network[0], self.network[1], number));
        let name = format!("m{number}");
        let ports = self.ports;
        let reached_at =
            IpAddr::from(Ipv4Addr::new(127, self.network[0], self.network[1], number + offset));
        let server =
            Server::start(SocketAddr::new(reached_at, ports.server), &format!("i-{name}"), slots)?;
        let settings = self.directory.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(&name, ip, server.address, service, zone))?;
        let log = self.directory.join(format!("{name}.log"));
        let node = Machine::spawn(&settings, &log, ports, self.max_descriptors)?;
        let (service, zone) = (service.to_owned(), zone.to_owned());
        self.machines.push(Machine { name, ip, service, zone, server, node, log, ports });
        self.register(self.machines.len() - 1, "ready");
        Ok((SocketAddr::new(reached_at, ports.inbound), SocketAddr::new(ip, ports.inbound)))
    }

    /// Writes the entry of a machine's server.
    pub fn register(&self, index: usize, state: &str) {
        let Machine { server, service, zone, .. } = &self.machines[index];
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{}}},"status":{{"state":"{state}","sequence":{sequence},"cold_remaining_ms":0}}}}"#,
            server.address,
            1_700_000_000_000_u64 + index as u64,
            server.slots
        );
        self.store.write(&format!("servers/{}", server.id), Some(&entry));
    }

    /// Writes a configuration, and returns when the store has it. Routes are name, prefix, kind and
    /// service; all of them need a key. Tenants are names with a key each.
    pub fn publish(
        &self,
        version: u32,
        routes: &[(&str, &str, &str, &str)],
        tenants: &[(&str, &str)],
        idle_timeout_ms: u32,
    ) -> Instant {
        let row = |(name, prefix, kind, service): &(&str, &str, &str, &str)| {
            format!(
                r#"["{name}","{HOST}","{prefix}","{kind}",5000,1000,1,null,2,false,"{service}"]"#
            )
        };
        let rows: Vec<String> = routes.iter().map(row).collect();
        let mut services: Vec<&str> = routes.iter().map(|route| route.3).collect();
        services.sort_unstable();
        services.dedup();
        let services: Vec<String> =
            services.iter().map(|name| format!(r#"["{name}","/health"]"#)).collect();
        let tenants: Vec<String> =
            tenants.iter().map(|(name, key)| format!(r#"["{name}",["{key}"],1,0,0]"#)).collect();
        let configuration = format!(
            r#"{{"version":"{version:08x}","routes":{{"columns":["name","host","prefix","kind","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","public","service"],"rows":[{}]}},"services":{{"columns":["name","health_path"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":{idle_timeout_ms}}},"tenants":{{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[{}]}}}}"#,
            rows.join(","),
            services.join(","),
            tenants.join(",")
        );
        self.store.write("op/config", Some(&configuration));
        Instant::now()
    }

    /// Waits until each node says that it is ready.
    pub fn wait_until_ready(&self, record: &Record) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        for machine in &self.machines {
            while !is_ready(machine) {
                if Instant::now() > end {
                    record.line(&machine.log());
                    return Err(io::Error::other(format!("{} is not ready", machine.name)));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            record.line(&format!("{} is ready", machine.name));
        }
        Ok(())
    }

    /// Records what each server ran.
    pub fn record_runs(&self, record: &Record) {
        for machine in &self.machines {
            let (server, service) = (&machine.server.id, &machine.service);
            for run in machine.server.runs() {
                let (at, tenant) =
                    (record.seconds(run.at), run.tenant.as_deref().unwrap_or("none"));
                record.line(&format!(
                    "{server} of {service} ran {} at {at:.3}, tenant {tenant}",
                    run.request
                ));
            }
        }
    }

    fn settings(
        &self,
        name: &str,
        ip: IpAddr,
        server: SocketAddr,
        service: &str,
        zone: &str,
    ) -> String {
        let Ports { inbound, outbound, ready, .. } = self.ports;
        let (store, descriptors) = (self.store.address, self.max_descriptors);
        format!(
            r#"[self]
node = "{name}"
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "r"
counts_as_loss = false
bootstrap = true
app_addr = "{server}"
service = "{service}"
[self.limits]
cpu_share = 0.4
cores = 1
memory_mb = {MEMORY_MB}
max_fds = {descriptors}
link_mbps = 1000.0
disk_mb = 0
[network]
port_range = [7000,7015]
seeds = []
[network.listen]
inbound = "{ip}:{inbound}"
outbound = "{ip}:{outbound}"
ready = "{ip}:{ready}"
[network.zones]
za = "r"
zb = "r"
[platform]
discovery = "platform"
entry = "static"
heartbeat_ms = 1500
[platform.platform]
address = "{store}"
form = "read"
reads_per_s = 2000
history_s = 20
[terms]
contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","platform"]
[terms.bounds]
reuse_after_s = 2
stability_ms = 3000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
strict_revocation = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 48
recover_s = 15
"#
        )
    }
}

fn is_ready(machine: &Machine) -> bool {
    let ask = || -> io::Result<bool> {
        let mut connection = Connection::open(machine.ready(), Duration::from_millis(500))?;
        connection.write(&readiness_request())?;
        let reply = connection.read(Some(Instant::now() + Duration::from_millis(500)))?;
        Ok(reply.is_some_and(|reply| reply.status() == 200))
    };
    ask().unwrap_or(false)
}

pub fn readiness_request() -> Message {
    Message {
        start: "GET /v1/readiness HTTP/1.1".into(),
        fields: vec![("Host".into(), "node".into())],
        body: Vec::new(),
    }
}

/// Builds a client's request.
pub fn request(method: &str, target: &str, id: &str, key: &str, deadline: Duration) -> Message {
    Message {
        start: format!("{method} {target} HTTP/1.1"),
        fields: vec![
            ("Host".into(), HOST.into()),
            ("X-Request-Id".into(), id.into()),
            ("X-Deadline-Ms".into(), deadline.as_millis().to_string()),
            ("Authorization".into(), format!("Token {key}")),
        ],
        body: Vec::new(),
    }
}

/// Returns ports that are free on the first machine's address.
fn free_ports(ip: IpAddr) -> io::Result<Ports> {
    let listeners = (0..5).map(|_| TcpListener::bind((ip, 0))).collect::<io::Result<Vec<_>>>()?;
    let ports = listeners.iter().map(|l| l.local_addr().map(|address| address.port()));
    let ports = ports.collect::<io::Result<Vec<u16>>>()?;
    Ok(Ports {
        inbound: ports[0],
        outbound: ports[1],
        ready: ports[2],
        metrics: ports[3],
        server: ports[4],
    })
}
