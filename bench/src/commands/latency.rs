//! `latency`: what the system adds to a call, and what a node costs.

use {
    super::Error,
    crate::{
        probe::{self, Effort, Ways},
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

/// Measure the latency that the system adds to a call, with a node's processor time and memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
pub struct Latency {
    /// requests a second by each of the three ways (default 1000)
    #[argh(option, default = "1000")]
    pub rate: u32,
    /// seconds (default 10)
    #[argh(option, default = "10")]
    pub seconds: u32,
}

impl Latency {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where the fleet can't be started.
    pub fn run(&self) -> Result<(), Error> {
        actix_rt::System::new().block_on(self.measure())
    }

    async fn measure(&self) -> Result<(), Error> {
        const SLOTS: u32 = 256;
        const SERVICE_US: u64 = 1_000;
        let look_up = Route::lookup("look-up", "/look-up", Class::Browse, 1);
        let service = ServiceTime { mean_us: SERVICE_US, exponential: false };
        let served = Pool { service, ..Pool::new("served", 1, SLOTS, look_up) };
        let entry =
            Pool::new("entry", 1, SLOTS, Route::lookup("entry", "/entry", Class::Browse, 0));
        let fleet = Fleet::start(Description::new(2, vec![served, entry])).await?;
        let idle: Vec<Usage> = fleet.vms().iter().map(|vm| Usage::of(vm.node.pid())).collect();
        let start = Instant::now();
        let effort = Effort { per_second: self.rate, requests: self.rate * self.seconds };
        let ways = probe::measure(&fleet, effort).await;
        let elapsed = start.elapsed().as_secs_f64();
        print_ways(&ways, self.rate);
        let names = fleet.vms().iter().map(|vm| vm.placement.vm.clone());
        let busy = fleet.vms().iter().map(|vm| Usage::of(vm.node.pid()));
        // The serving node takes requests of its own callers and those that the entry node sends.
        let requests = [2 * effort.requests, effort.requests];
        print_usage(names, &idle, busy, requests, elapsed);
        Ok(())
    }
}

fn print_ways(ways: &Ways, rate: u32) {
    let millis = |way: &Histogram<u64>, quantile| {
        format!("{:.3}", way.value_at_quantile(quantile) as f64 / 1_000.0)
    };
    let row = |name: &str, way: &Histogram<u64>| {
        let added = probe::added_between(&ways.direct, way);
        vec![
            name.to_owned(),
            way.len().to_string(),
            millis(way, 0.5),
            millis(way, 0.99),
            format!("{:.3}", added.p50_ms),
            format!("{:.3}", added.p99_ms),
        ]
    };
    println!("{rate} requests a second by each way, {} without a whole answer\n", ways.failed);
    let rows =
        [row("direct", &ways.direct), row("one node", &ways.near), row("two nodes", &ways.far)];
    text::print(&["way", "answers", "p50 ms", "p99 ms", "added p50", "added p99"], &rows);
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
    text::print(&["node", "idle MB", "busy MB", "% of a core", "requests a core-second"], &rows);
}
