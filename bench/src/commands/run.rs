//! `monsoon-bench run`: runs experiments from files.

use {
    super::Error,
    crate::{
        experiment::Experiment,
        outcome::{self, Outcome},
        plot, run,
    },
    argh::FromArgs,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Run experiments from YAML files, print a table, and write results and plots.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "run",
    example = "{command_name} bench/experiments/slow-pool.yaml --out out"
)]
pub struct Run {
    /// the files of the experiments
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// the directory for results in JSON lines and plots in SVG (default out)
    #[argh(option, default = "PathBuf::from(\"out\")")]
    out: PathBuf,
    /// how often each experiment is run, each time with the next seed (default 1)
    #[argh(option, default = "1")]
    repeat: u64,
}

impl Run {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if a file is invalid or can't be written, a fleet can't be started, or a
    /// guarantee was violated.
    pub fn run(&self) -> Result<(), Error> {
        fs::create_dir_all(&self.out).map_err(|error| file_error(&self.out, error))?;
        let mut outcomes = Vec::new();
        for path in &self.files {
            let experiment = read(path)?;
            outcomes.extend(self.run_repeatedly(&experiment)?);
        }
        outcome::print(&outcomes);
        println!();
        outcome::print_refused(&outcomes);
        let violations: usize = outcomes.iter().map(|outcome| outcome.violations.total()).sum();
        if violations > 0 {
            return Err(Error::Violations(violations));
        }
        Ok(())
    }

    fn run_repeatedly(&self, experiment: &Experiment) -> Result<Vec<Outcome>, Error> {
        let mut lines = String::new();
        let mut outcomes = Vec::new();
        for repetition in 0..self.repeat {
            let experiment =
                Experiment { seed: experiment.seed + repetition, ..experiment.clone() };
            let outcome = actix_rt::System::new().block_on(run::run_experiment(&experiment))?;
            let line = serde_json::to_string(&outcome).unwrap_or_default();
            lines.push_str(&line);
            lines.push('\n');
            outcomes.push(outcome);
        }
        let results = self.out.join(format!("{}.jsonl", experiment.name));
        fs::write(&results, lines).map_err(|error| file_error(&results, error))?;
        if let Some(first) = outcomes.first() {
            plot::draw(first, &self.out.join(format!("{}.svg", experiment.name)))?;
        }
        Ok(outcomes)
    }
}

fn read(path: &Path) -> Result<Experiment, Error> {
    let text = fs::read_to_string(path).map_err(|error| file_error(path, error))?;
    serde_saphyr::from_str(&text).map_err(|error| Error::Description {
        path: path.to_owned(),
        message: error.to_string().lines().next().unwrap_or_default().to_owned(),
    })
}

/// Returns an [`Error::File`] with the path of the file.
pub(super) fn file_error(path: &Path, error: std::io::Error) -> Error {
    Error::File { path: path.to_owned(), error }
}
