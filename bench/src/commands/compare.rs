//! `monsoon-bench compare`: compares two result files.

use {
    super::{Error, run::file_error},
    crate::{outcome::Outcome, text},
    argh::FromArgs,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Print the mean results of two files that `run` wrote, and their ratios.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare", example = "{command_name} out/before.jsonl out/after.jsonl")]
pub struct Compare {
    /// the first result file, in JSON lines
    #[argh(positional)]
    a: PathBuf,
    /// the second result file, in JSON lines
    #[argh(positional)]
    b: PathBuf,
}

impl Compare {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if a result file can't be read.
    pub fn run(&self) -> Result<(), Error> {
        let a = read(&self.a)?;
        let b = read(&self.b)?;
        type Metric = fn(&Outcome) -> f64;
        let metrics: [(&str, Metric); 6] = [
            ("goodput", |outcome| outcome.goodput),
            ("harm/s", |outcome| outcome.goodput_per_s),
            ("worst account", |outcome| outcome.worst_share),
            ("wrongful", |outcome| outcome.wrongful as f64),
            ("failed within rate", |outcome| outcome.failed_within_rate),
            ("violations", |outcome| outcome.violations.total() as f64),
        ];
        let row = |(name, metric): &(&str, Metric)| {
            let (a, b) = (mean(&a, *metric), mean(&b, *metric));
            let ratio = if a == 0.0 { "-".into() } else { format!("{:.3}", b / a) };
            vec![(*name).to_owned(), format!("{a:.4}"), format!("{b:.4}"), ratio]
        };
        let rows: Vec<Vec<String>> = metrics.iter().map(row).collect();
        text::print(&["measure", "A", "B", "B/A"], &rows);
        Ok(())
    }
}

fn mean(outcomes: &[Outcome], metric: fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(metric).sum::<f64>() / outcomes.len().max(1) as f64
}

fn read(path: &Path) -> Result<Vec<Outcome>, Error> {
    let text = fs::read_to_string(path).map_err(|error| file_error(path, error))?;
    let parse = |line: &str| {
        serde_json::from_str(line).map_err(|error| Error::Result { path: path.to_owned(), error })
    };
    text.lines().map(parse).collect()
}
