//! `monsoon-bench control`: measures the overhead of the protocols between nodes, by fleet size.

use {
    super::Error,
    crate::{text, usage::Usage},
    argh::FromArgs,
    monsoon_lib::table::Class,
    monsoon_testutils::fleet::{Description, Fleet, Pool, Route},
    std::time::Duration,
};

/// Measure control traffic, exchanges, processor time and memory of idle fleets of real nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "control", example = "{command_name} --nodes 6 --nodes 13")]
pub struct Control {
    /// the number of nodes; may be given several times (default 4, 8, 16, 32)
    #[argh(option)]
    nodes: Vec<usize>,
    /// duration of each measurement in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
}

/// The cumulative resource usage of a fleet's nodes. Bytes are per node, the rest is summed.
struct Sample {
    bytes: Vec<f64>,
    exchanges: f64,
    cpu_s: f64,
    resident_mb: f64,
}

impl Control {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if a fleet can't be started or a node can't be queried.
    pub fn run(&self) -> Result<(), Error> {
        let sizes = if self.nodes.is_empty() { vec![4, 8, 16, 32] } else { self.nodes.clone() };
        let mut rows = Vec::new();
        for nodes in sizes {
            rows.push(actix_rt::System::new().block_on(self.measure(nodes))?);
        }
        let headings =
            ["nodes", "mean B/s", "busiest B/s", "exchanges/s", "% of a core", "resident MB"];
        text::print(&headings, &rows);
        Ok(())
    }

    async fn measure(&self, nodes: usize) -> Result<Vec<String>, Error> {
        const SETTLE_TIME: Duration = Duration::from_secs(8);
        let fleet = Fleet::start(description(nodes)).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let before = sample(&fleet).await?;
        tokio::time::sleep(Duration::from_secs(self.seconds)).await;
        let after = sample(&fleet).await?;
        let count = fleet.vms().len() as f64;
        let seconds = self.seconds as f64;
        let bytes_per_s: Vec<f64> = before
            .bytes
            .iter()
            .zip(&after.bytes)
            .map(|(before, after)| (after - before) / seconds)
            .collect();
        let busiest = bytes_per_s.iter().copied().fold(0.0, f64::max);
        Ok(vec![
            format!("{count:.0}"),
            format!("{:.0}", bytes_per_s.iter().sum::<f64>() / count),
            format!("{busiest:.0}"),
            format!("{:.1}", (after.exchanges - before.exchanges) / seconds / count),
            format!("{:.2}", (after.cpu_s - before.cpu_s) / seconds / count * 100.0),
            format!("{:.1}", after.resident_mb / count),
        ])
    }
}

/// Returns a fleet of two pools of equal size.
fn description(nodes: usize) -> Description {
    const SLOTS: u32 = 32;
    let pool = |name: &str| {
        let route = Route::lookup(name, &format!("/{name}"), Class::Browse, 1);
        Pool::new(name, (nodes / 2).max(1), SLOTS, route)
    };
    Description::new(3, vec![pool("look-up"), pool("notice")])
}

async fn sample(fleet: &Fleet) -> Result<Sample, Error> {
    let mut sample = Sample { bytes: Vec::new(), exchanges: 0.0, cpu_s: 0.0, resident_mb: 0.0 };
    for vm in fleet.vms() {
        let dump = vm.node.dump().await?;
        let control = &dump["process"]["control"];
        sample.bytes.push(control["bytes"].as_f64().unwrap_or(0.0));
        sample.exchanges += control["exchanges"].as_f64().unwrap_or(0.0);
        let usage = Usage::of(vm.node.pid());
        sample.cpu_s += usage.cpu_s;
        sample.resident_mb += usage.resident_mb;
    }
    Ok(sample)
}
