//! Runs commands and records their output as a terminal would show it.

use std::{
    fmt::Write as _,
    fs,
    io::Write as _,
    path::PathBuf,
    process::{Command, Stdio},
};

/// A working directory, and a transcript of the commands that were run in it.
pub struct Session {
    directory: PathBuf,
    transcript: String,
}

impl Session {
    /// Starts a session in an empty directory.
    pub fn new(name: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).expect("creating the test directory");
        Self { directory, transcript: String::new() }
    }

    /// Writes a file to the session's directory.
    pub fn write(&mut self, name: &str, text: &str) {
        fs::write(self.directory.join(name), text).expect("writing the file");
    }

    /// Reads a file in the session's directory.
    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.directory.join(name)).expect("reading the file")
    }

    /// Runs a command and returns its standard output.
    pub fn run(&mut self, arguments: &str) -> String {
        self.run_with("", arguments)
    }

    /// Runs a command with the given standard input and returns its standard output.
    pub fn run_with(&mut self, input: &str, arguments: &str) -> String {
        let mut child = Command::new(env!("CARGO_BIN_EXE_monsoonctl"))
            .args(arguments.split_whitespace())
            .current_dir(&self.directory)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("starting monsoonctl");
        let mut stdin = child.stdin.take().expect("standard input is piped");
        // The write fails if the command exits without reading its input.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        let output = child.wait_with_output().expect("waiting for monsoonctl");
        let stdout = String::from_utf8(output.stdout).expect("the output is UTF-8");
        let stderr = String::from_utf8(output.stderr).expect("the output is UTF-8");
        writeln!(self.transcript, "$ monsoonctl {arguments}").expect("writing to a string");
        self.transcript.push_str(&stdout);
        stderr
            .lines()
            .for_each(|line| writeln!(self.transcript, "! {line}").expect("writing to a string"));
        if let Some(code) = output.status.code().filter(|code| *code != 0) {
            writeln!(self.transcript, "[exit {code}]").expect("writing to a string");
        }
        self.transcript.push('\n');
        stdout
    }

    /// Returns the transcript with each `(from, to)` replacement applied.
    pub fn record(&self, replacements: &[(&str, &str)]) -> String {
        let replace = |text: String, (from, to): &(&str, &str)| text.replace(from, to);
        replacements.iter().fold(self.transcript.clone(), replace)
    }
}
