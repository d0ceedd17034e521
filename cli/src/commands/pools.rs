//! `monsoonctl pools`: shows which pools are short of capacity, from the metrics of nodes.

use {
    crate::{
        error::{EXIT_FAULT, Error},
        layout::{self, Align, Column},
        metrics::{self, Sample},
        source,
    },
    argh::FromArgs,
    std::{
        cmp::Ordering,
        collections::{BTreeMap, BTreeSet},
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// The prefix of the names of all metrics of a node.
const PREFIX: &str = "monsoon_";

/// Shows pools by how short of capacity they are, and the state of each node's own target.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "pools",
    example = "{command_name} m0.prom m1.prom",
    example = "{command_name} - < m0.prom",
    note = "A file holds the text that a node of the users' platform serves at its metrics address; the node is \
            named by the file. Counts are added over the nodes. Exits with 1 where a pool is scarce."
)]
pub struct Pools {
    /// files of metrics; `-` is standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// What one node says about one pool.
#[derive(Clone, Debug, Default)]
struct PoolMetrics {
    demand: Option<f64>,
    capacity: Option<f64>,
    lowest_share: Option<f64>,
    refused: Option<f64>,
    resends: Option<f64>,
    denied: BTreeMap<String, f64>,
}

/// The metrics of one node that the command shows.
#[derive(Clone, Debug, Default)]
struct NodeMetrics {
    name: String,
    pools: BTreeMap<String, PoolMetrics>,
    concurrency_limit: Option<f64>,
    pace: Option<f64>,
    cold: Option<f64>,
    evacuated: Option<f64>,
    has_metrics: bool,
}

/// What all nodes together say about one pool.
#[derive(Clone, Debug)]
struct PoolRow<'a> {
    pool: &'a str,
    /// The node that sees the pool the scarcest. Demand, capacity and share are its view.
    seen_by: Option<&'a str>,
    view: &'a PoolMetrics,
    refused: Option<f64>,
    resends: Option<f64>,
    denied: BTreeMap<&'a str, f64>,
}

impl Pools {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if no file is given, or one can't be read or has a malformed line.
    pub fn run(self) -> Result<ExitCode, Error> {
        if self.files.is_empty() {
            return Err(Error::MissingInput("give files of metrics, or `-`"));
        }
        let names = source::node_names(&self.files)?;
        let mut nodes = Vec::new();
        for (path, name) in self.files.iter().zip(names) {
            nodes.push(read_node(path, name)?);
        }
        let rows = join(&nodes);
        match rows.is_empty() {
            true => println!("No node reports a pool under pressure."),
            false => print!("{}", layout::format(&pool_columns(&rows))),
        }
        print!("\n{}", layout::format(&node_columns(&nodes)));
        let is_scarce = rows.iter().any(|row| row.view.is_scarce());
        Ok(if is_scarce { ExitCode::from(EXIT_FAULT) } else { ExitCode::SUCCESS })
    }
}

fn read_node(path: &Path, name: String) -> Result<NodeMetrics, Error> {
    let mut node = NodeMetrics { name, ..NodeMetrics::default() };
    for (index, line) in source::lines(path)?.enumerate() {
        let added = Sample::parse(&line?).and_then(|sample| match sample {
            Some(sample) => node.add(&sample),
            None => Ok(()),
        });
        let metrics_error =
            |error| Error::Metrics { path: path.to_owned(), line: index + 1, error };
        added.map_err(metrics_error)?;
    }
    match node.has_metrics {
        true => Ok(node),
        false => Err(Error::NoMetrics(path.to_owned())),
    }
}

impl NodeMetrics {
    /// Adds a sample. Metrics that the command does not show are passed over.
    fn add(&mut self, sample: &Sample) -> Result<(), metrics::Error> {
        self.has_metrics |= sample.name.starts_with(PREFIX);
        let field = match sample.name.as_str() {
            "monsoon_concurrency_limit" => &mut self.concurrency_limit,
            "monsoon_target_pace_percent" => &mut self.pace,
            "monsoon_target_cold" => &mut self.cold,
            "monsoon_evacuated_data_centres" => &mut self.evacuated,
            "monsoon_pool_demand" => &mut self.pool(sample)?.demand,
            "monsoon_pool_capacity" => &mut self.pool(sample)?.capacity,
            "monsoon_pool_lowest_share" => &mut self.pool(sample)?.lowest_share,
            "monsoon_entry_refused_total" => &mut self.pool(sample)?.refused,
            "monsoon_resends_total" => &mut self.pool(sample)?.resends,
            "monsoon_resends_denied_total" => {
                let cause = sample.label("cause")?.to_owned();
                let previous = self.pool(sample)?.denied.insert(cause, sample.value);
                return check_unique(sample, previous);
            }
            _ => return Ok(()),
        };
        check_unique(sample, field.replace(sample.value))
    }

    fn pool(&mut self, sample: &Sample) -> Result<&mut PoolMetrics, metrics::Error> {
        Ok(self.pools.entry(sample.label("pool")?.to_owned()).or_default())
    }
}

/// A series that is given twice means that the text of several nodes is in one file, whose values
/// would replace each other.
fn check_unique(sample: &Sample, previous: Option<f64>) -> Result<(), metrics::Error> {
    match previous {
        Some(_) => Err(metrics::Error::Repeated(sample.name.clone())),
        None => Ok(()),
    }
}

impl PoolMetrics {
    fn is_scarce(&self) -> bool {
        self.lowest_share.is_some_and(|share| share < 1.0)
    }

    fn has_view(&self) -> bool {
        self.demand.or(self.capacity).or(self.lowest_share).is_some()
    }

    fn pressure(&self) -> f64 {
        self.demand.zip(self.capacity).map_or(0.0, |(demand, capacity)| match demand > 0.0 {
            true => demand / capacity,
            false => 0.0,
        })
    }

    /// Orders the scarcer pool, or view of a pool, first.
    fn cmp_scarcest(&self, other: &Self) -> Ordering {
        let share = |metrics: &Self| metrics.lowest_share.unwrap_or(f64::INFINITY);
        let by_share = share(self).total_cmp(&share(other));
        by_share.then_with(|| other.pressure().total_cmp(&self.pressure()))
    }
}

/// Joins what nodes say about each pool, the scarcest pool first.
fn join(nodes: &[NodeMetrics]) -> Vec<PoolRow<'_>> {
    let pools: BTreeSet<&str> =
        nodes.iter().flat_map(|node| node.pools.keys().map(String::as_str)).collect();
    let mut rows: Vec<PoolRow<'_>> =
        pools.into_iter().filter_map(|pool| join_pool(pool, nodes)).collect();
    rows.sort_by(|a, b| a.view.cmp_scarcest(b.view).then_with(|| a.pool.cmp(b.pool)));
    rows
}

fn join_pool<'a>(pool: &'a str, nodes: &'a [NodeMetrics]) -> Option<PoolRow<'a>> {
    let with_pool = || nodes.iter().filter_map(|node| Some((node, node.pools.get(pool)?)));
    let (node, view) = with_pool().min_by(|(_, a), (_, b)| a.cmp_scarcest(b))?;
    let mut denied = BTreeMap::new();
    for (_, metrics) in with_pool() {
        for (cause, count) in &metrics.denied {
            *denied.entry(cause.as_str()).or_default() += count;
        }
    }
    Some(PoolRow {
        pool,
        seen_by: view.has_view().then_some(&node.name),
        view,
        refused: sum(with_pool().filter_map(|(_, metrics)| metrics.refused)),
        resends: sum(with_pool().filter_map(|(_, metrics)| metrics.resends)),
        denied,
    })
}

/// Returns the sum, or none if there is no value.
fn sum(values: impl Iterator<Item = f64>) -> Option<f64> {
    values.reduce(|sum, value| sum + value)
}

fn pool_columns(rows: &[PoolRow<'_>]) -> Vec<Column> {
    let numbers = |title: &str, value: &dyn Fn(&PoolRow<'_>) -> Option<String>| {
        Column::new(title, Align::Right, rows.iter().map(value))
    };
    let count = |count: f64| count.to_string();
    let slots = |slots: f64| format!("{slots:.2}");
    let mut columns = vec![
        Column::new("POOL", Align::Left, rows.iter().map(|row| Some(row.pool.to_owned()))),
        numbers("DEMAND", &|row| row.view.demand.map(slots)),
        numbers("CAPACITY", &|row| row.view.capacity.map(slots)),
        numbers("LOWEST SHARE", &|row| row.view.lowest_share.map(format_share)),
        Column::new("SEEN BY", Align::Left, rows.iter().map(|row| row.seen_by.map(str::to_owned))),
        numbers("ENTRY REFUSED", &|row| row.refused.map(count)),
        numbers("RESENDS", &|row| row.resends.map(count)),
    ];
    let causes: BTreeSet<&str> = rows.iter().flat_map(|row| row.denied.keys().copied()).collect();
    for cause in causes {
        let title = format!("DENIED: {}", layout::escape(cause));
        columns.push(numbers(&title, &|row| row.denied.get(cause).copied().map(count)));
    }
    columns
}

/// Formats a share rounded down, so that the share of a scarce pool is never shown as 1.
fn format_share(share: f64) -> String {
    format!("{:.3}", (share * 1_000.0).floor() / 1_000.0)
}

fn node_columns(nodes: &[NodeMetrics]) -> Vec<Column> {
    let column = |title: &str, value: &dyn Fn(&NodeMetrics) -> Option<String>| {
        Column::new(title, Align::Right, nodes.iter().map(value))
    };
    let pace = |percent: f64| match percent < 0.0 {
        true => "unknown".to_owned(),
        false => format!("{percent} %"),
    };
    let cold = |cold: f64| if cold == 0.0 { "no" } else { "yes" }.to_owned();
    vec![
        Column::new("NODE", Align::Left, nodes.iter().map(|node| Some(node.name.clone()))),
        column("CONCURRENCY LIMIT", &|node| node.concurrency_limit.map(|limit| limit.to_string())),
        column("PACE", &|node| node.pace.map(pace)),
        column("COLD", &|node| node.cold.map(cold)),
        column("EVACUATED DATA CENTRES", &|node| node.evacuated.map(|count| count.to_string())),
    ]
}

#[cfg(test)]
mod tests {
    use super::{NodeMetrics, Sample, format_share, join};

    fn node(name: &str, text: &str) -> NodeMetrics {
        let mut node = NodeMetrics { name: name.into(), ..NodeMetrics::default() };
        for line in text.lines() {
            let sample = Sample::parse(line.as_bytes()).expect("valid").expect("a sample");
            node.add(&sample).expect("a valid metric");
        }
        node
    }

    /// Guards against a calm node's view that hides the scarcity that another node sees, and
    /// against counters of only one node.
    #[test]
    fn joined_views() {
        let calm = "monsoon_pool_demand{pool=\"a\"} 1\nmonsoon_pool_capacity{pool=\"a\"} 4\n\
                    monsoon_pool_lowest_share{pool=\"a\"} 1\nmonsoon_entry_refused_total{pool=\"a\"} 2\n\
                    monsoon_resends_denied_total{cause=\"budget\",pool=\"a\"} 1";
        let scarce = "monsoon_pool_lowest_share{pool=\"a\"} 0.5\nmonsoon_pool_demand{pool=\"a\"} 8\n\
                      monsoon_entry_refused_total{pool=\"a\"} 3\n\
                      monsoon_resends_denied_total{cause=\"budget\",pool=\"a\"} 4\n\
                      monsoon_pool_lowest_share{pool=\"b\"} 0.2\n\
                      monsoon_resends_total{pool=\"0\"} 7";
        let nodes = [node("calm", calm), node("scarce", scarce)];
        let rows = join(&nodes);
        let pools: Vec<&str> = rows.iter().map(|row| row.pool).collect();
        assert_eq!(pools, ["b", "a", "0"], "the scarcest pool is first");
        let row = &rows[1];
        assert_eq!(
            (row.seen_by, row.view.demand, row.view.capacity),
            (Some("scarce"), Some(8.0), None)
        );
        assert_eq!((row.refused, row.denied["budget"], row.resends), (Some(5.0), 5.0, None));
        assert_eq!((rows[2].seen_by, rows[2].resends), (None, Some(7.0)));
        assert_eq!(format_share(0.9999), "0.999");
    }
}
