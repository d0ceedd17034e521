//! `monsoon-bench overload`: runs the overload simulation.

use {
    argh::FromArgs,
    monsoon_bench::overload::{Case, Report, Variant, cases, run, table, variants},
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        thread,
    },
};

/// Compare overload controls in a simulation in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "overload")]
pub struct Overload {
    /// run only cases whose name contains this text
    #[argh(option, default = "String::new()")]
    case: String,
    /// run only variants with one of these names, separated by commas
    #[argh(option, default = "String::new()")]
    variant: String,
    /// random seed of arrivals and service times
    #[argh(option, default = "1")]
    seed: u64,
    /// number of threads
    #[argh(option, default = "3")]
    threads: usize,
}

impl Overload {
    /// Runs the selected cases and prints one line per case and variant.
    pub fn run(&self) {
        let is_selected = |variant: &Variant| {
            self.variant.is_empty() || self.variant.split(',').any(|name| name == variant.name)
        };
        let variants: Vec<Variant> = variants().into_iter().filter(is_selected).collect();
        let cases = cases().into_iter().filter(|case| case.name.contains(&self.case));
        let pairs = cases.flat_map(|case| variants.iter().map(move |v| (case.clone(), v.clone())));
        let reports = self.run_all(&pairs.collect::<Vec<_>>());
        println!("{}", table(&reports));
    }

    fn run_all(&self, pairs: &[(Case, Variant)]) -> Vec<Report> {
        let next = AtomicUsize::new(0);
        let worker = || {
            let mut reports = Vec::new();
            loop {
                let i = next.fetch_add(1, Ordering::Relaxed);
                let Some((case, variant)) = pairs.get(i) else { break reports };
                reports.push((i, run(case, variant, self.seed)));
            }
        };
        let mut reports: Vec<(usize, Report)> = thread::scope(|scope| {
            let threads: Vec<_> = (0..self.threads.max(1)).map(|_| scope.spawn(worker)).collect();
            let joined = threads.into_iter().map(|thread| thread.join().unwrap_or_default());
            joined.flatten().collect()
        });
        reports.sort_by_key(|(i, _)| *i);
        reports.into_iter().map(|(_, report)| report).collect()
    }
}
