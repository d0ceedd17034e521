//! Runs commands and writes down what a person at the terminal would see.

use std::{
    fmt::Write as _,
    fs,
    io::Write as _,
    path::PathBuf,
    process::{Command, Stdio},
};

/// A directory and the record of the commands that were run in it.
pub struct Session {
    directory: PathBuf,
    record: String,
}

impl Session {
    /// Begins a session in an empty directory.
    pub fn new(name: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).expect("the test directory can be made");
        Self { directory, record: String::new() }
    }

    /// Writes a file before the next command.
    pub fn write(&mut self, name: &str, text: &str) {
        fs::write(self.directory.join(name), text).expect("the file can be written");
    }

    /// Reads a file that a command wrote.
    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.directory.join(name)).expect("the file was written")
    }

    /// Runs a command. Returns what it printed.
    pub fn run(&mut self, arguments: &str) -> String {
        self.run_with("", arguments)
    }

    /// Runs a command with text on its standard input. Returns what it printed.
    pub fn run_with(&mut self, input: &str, arguments: &str) -> String {
        let mut child = Command::new(env!("CARGO_BIN_EXE_monsoonctl"))
            .args(arguments.split_whitespace())
            .current_dir(&self.directory)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the tool starts");
        let mut stdin = child.stdin.take().expect("the tool has an input");
        // A command that reads nothing may have closed its input already.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        let output = child.wait_with_output().expect("the tool ends");
        let printed = String::from_utf8(output.stdout).expect("the tool prints text");
        let errors = String::from_utf8(output.stderr).expect("the tool prints text");
        writeln!(self.record, "$ monsoonctl {arguments}").expect("a text can grow");
        self.record.push_str(&printed);
        errors.lines().for_each(|line| writeln!(self.record, "! {line}").expect("a text can grow"));
        if let Some(code) = output.status.code().filter(|code| *code != 0) {
            writeln!(self.record, "[exit {code}]").expect("a text can grow");
        }
        self.record.push('\n');
        printed
    }

    /// Returns the record with some texts replaced by names.
    pub fn record(&self, replaced: &[(&str, &str)]) -> String {
        let replace = |text: String, (from, to): &(&str, &str)| text.replace(from, to);
        replaced.iter().fold(self.record.clone(), replace)
    }
}
