//! `monsoon-bench latency`: measures added latency and the resource usage of nodes.

use {
    super::Error,
    crate::{
        probe::{self, PathLatencies, ProbeLoad},
        text,
        usage::Usage,
    },
    argh::FromArgs,
    hdrhistogram::Histogram,
    monsoon_lib::table::Class,
    monsoon_testutils::{
        fleet::{Description, Fleet, Pool, Route},
        target::ServiceTime,
    },
    std::time::Instant,
};

/// Measure the latency that nodes add to a call, and the nodes' processor time and memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
pub struct Latency {
    /// requests per second over each of the three paths (default 1000)
    #[argh(option, default = "1000")]
    pub rate: u32,
    /// duration in seconds (default 10)
    #[argh(option, default = "10")]
    pub seconds: u32,
}

impl Latency {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet can't be started.
    pub fn run(&self) -> Result<(), Error> {
        actix_rt::System::new().block_on(self.measure())
    }

    async fn measure(&self) -> Result<(), Error> {
        const SLOTS: u32 = 256;
        const SERVICE_US: u64 = 1_000;
        let lookup = Route::lookup("look-up", "/look-up", Class::Browse, 1);
        let service = ServiceTime { mean_us: SERVICE_US, exponential: false };
        let served = Pool { service, ..Pool::new("served", 1, SLOTS, lookup) };
        let entry =
            Pool::new("entry", 1, SLOTS, Route::lookup("entry", "/entry", Class::Browse, 0));
        let fleet = Fleet::start(Description::new(2, vec![served, entry])).await?;
        let idle: Vec<Usage> = fleet.vms().iter().map(|vm| Usage::of(vm.node.pid())).collect();
        let start = Instant::now();
        let load = ProbeLoad { per_second: self.rate, requests: self.rate * self.seconds };
        let latencies = probe::measure(&fleet, load).await;
        let elapsed = start.elapsed().as_secs_f64();
        print_latencies(&latencies, self.rate);
        let names = fleet.vms().iter().map(|vm| vm.placement.vm.clone());
        let busy = fleet.vms().iter().map(|vm| Usage::of(vm.node.pid()));
        // The first node handles its own callers' requests and those that the entry node forwards.
        let requests = [2 * load.requests, load.requests];
        print_usage(names, &idle, busy, requests, elapsed);
        Ok(())
    }
}

fn print_latencies(latencies: &PathLatencies, rate: u32) {
    let millis = |path: &Histogram<u64>, quantile| {
        format!("{:.3}", path.value_at_quantile(quantile) as f64 / 1_000.0)
    };
    let row = |name: &str, path: &Histogram<u64>| {
        let added = probe::added_latency(&latencies.direct, path);
        vec![
            name.to_owned(),
            path.len().to_string(),
            millis(path, 0.5),
            millis(path, 0.99),
            format!("{:.3}", added.p50_ms),
            format!("{:.3}", added.p99_ms),
        ]
    };
    println!(
        "{rate} requests per second over each path, {} not answered successfully\n",
        latencies.failed
    );
    let rows = [
        row("direct", &latencies.direct),
        row("one node", &latencies.one_node),
        row("two nodes", &latencies.two_nodes),
    ];
    text::print(&["path", "answers", "p50 ms", "p99 ms", "added p50", "added p99"], &rows);
}

fn print_usage(
    names: impl Iterator<Item = String>,
    idle: &[Usage],
    busy: impl Iterator<Item = Usage>,
    requests: [u32; 2],
    elapsed: f64,
) {
    let row = |(((name, idle), busy), requests): (((String, &Usage), Usage), u32)| {
        let cpu_s = busy.cpu_s - idle.cpu_s;
        vec![
            name,
            format!("{:.1}", idle.resident_mb),
            format!("{:.1}", busy.resident_mb),
            format!("{:.1}", cpu_s / elapsed * 100.0),
            format!("{:.0}", f64::from(requests) / cpu_s),
        ]
    };
    let rows: Vec<Vec<String>> = names.zip(idle).zip(busy).zip(requests).map(row).collect();
    println!();
    text::print(&["node", "idle MB", "busy MB", "% of a core", "requests per core-second"], &rows);
}
