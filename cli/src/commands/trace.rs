//! `monsoonctl trace`: shows what happened to a request, from the log lines of nodes.

use {
    crate::{
        error::{EXIT_FAULT, Error},
        layout::{self, Align, Column},
        source,
    },
    argh::FromArgs,
    serde_json::{Map, Value},
    std::{
        fmt::{self, Write as _},
        path::PathBuf,
        process::ExitCode,
    },
};

/// The separator between the id of a request and the number of one of its calls.
const SEPARATOR: char = '.';
/// The indentation of one level of calls.
const INDENT: &str = "  ";
const REFUSED: &str = "refused";
const CANCELLED: &str = "caller disconnected, request cancelled";
const ATTEMPT_FAILED: &str = "attempt failed";
const TARGET_FAILED: &str = "target responded with a failure";
const SCARCE: &str = "pool is scarce";

/// Shows what happened to a request and to the calls that follow from it, in the order of time.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "trace",
    example = "{command_name} 7f3a-19 m0.log m1.log m2.log",
    example = "{command_name} 7f3a-19 - < m0.log",
    note = "A file holds the log lines of one node of the users' platform; the node is named by the file. Clocks of \
            VMs differ, which may change the order of lines of different nodes. Exits with 1 where the request was \
            refused."
)]
pub struct Trace {
    /// the request's `X-Request-Id`
    #[argh(positional)]
    id: String,
    /// files of log lines; `-` is standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// A log line of a node.
#[derive(Clone, Debug)]
struct Line {
    time: f64,
    /// The index of the node.
    node: usize,
    fields: Map<String, Value>,
}

/// Lines that a node left out because of its limit of lines per second.
#[derive(Clone, Copy, Debug)]
struct Gap {
    from: f64,
    to: f64,
    lines: u64,
}

/// Lines of a file that are not log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Unreadable {
    lines: usize,
    /// The number of the first one.
    first: usize,
}

/// What the logs say about a request.
#[derive(Debug)]
struct Log {
    id: String,
    /// The lines of the request and its calls.
    lines: Vec<Line>,
    scarce: Vec<Line>,
    gaps: Vec<Gap>,
    /// One for each node.
    unreadable: Vec<Unreadable>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
enum Ending<'a> {
    Refused(&'a Line),
    /// The line that says that the request was refused is missing.
    RefusedWithoutLine(&'a Line),
    Cancelled(&'a Line),
    /// The target's failure was the answer.
    Failed(&'a Line),
    /// No line says that the request was refused. Holds a line of the node that relayed it.
    Answered(Option<&'a Line>),
}

impl Trace {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if no file is given, one can't be read, or no line is about the request.
    pub fn run(self) -> Result<ExitCode, Error> {
        if self.files.is_empty() {
            return Err(Error::MissingInput("give files of log lines, or `-`"));
        }
        let names = source::node_names(&self.files)?;
        let mut log = Log::new(&self.id);
        for path in &self.files {
            log.read(source::lines(path)?)?;
        }
        log.sort();
        if !log.lines.is_empty() {
            print!("{}\n{}", layout::format(&log.columns(&names)), log.summary(&names));
        }
        print!("{}", log.missing(&names));
        match log.ending() {
            None => Err(Error::UnknownRequest(self.id)),
            Some(Ending::Refused(_) | Ending::RefusedWithoutLine(_)) => {
                Ok(ExitCode::from(EXIT_FAULT))
            }
            Some(_) => Ok(ExitCode::SUCCESS),
        }
    }
}

impl Line {
    /// Parses a log line. Returns none if it is not a JSON object with a time and an event.
    fn parse(text: &[u8], node: usize) -> Option<Self> {
        let fields: Map<String, Value> = serde_json::from_slice(text).ok()?;
        let time = fields.get("time")?.as_f64()?;
        fields.get("event")?.as_str()?;
        Some(Self { time, node, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns the value of a field as text, whatever its type.
    fn value(&self, field: &str) -> Option<String> {
        match self.fields.get(field)? {
            Value::String(text) => Some(text.clone()),
            value => Some(value.to_string()),
        }
    }

    /// Returns the value of a field, rounded to two decimals if it is a number.
    fn number_or_text(&self, field: &str) -> Option<String> {
        let number = self.fields.get(field)?.as_f64();
        number.map(|number| format!("{number:.2}")).or_else(|| self.value(field))
    }

    fn event(&self) -> &str {
        self.text("event").unwrap_or_default()
    }

    fn request(&self) -> &str {
        self.text("request").unwrap_or_default()
    }

    /// Returns why an attempt or request ended, from all fields that state a reason.
    fn reason(&self) -> Option<String> {
        let plain = ["end", "reason", "cause", "error"].map(|field| self.value(field));
        let named = ["outcome", "status", "pool"]
            .map(|field| self.value(field).map(|value| format!("{field} {value}")));
        let parts: Vec<String> = plain.into_iter().chain(named).flatten().collect();
        (!parts.is_empty()).then(|| parts.join(", "))
    }
}

/// Returns how many calls are between the request and the one with the given id, or none if that
/// does not follow from the request.
fn depth(root: &str, id: &str) -> Option<usize> {
    let rest = id.strip_prefix(root)?;
    (rest.is_empty() || rest.starts_with(SEPARATOR)).then(|| rest.matches(SEPARATOR).count())
}

impl Log {
    fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            lines: Vec::new(),
            scarce: Vec::new(),
            gaps: Vec::new(),
            unreadable: Vec::new(),
        }
    }

    /// Reads the lines of the next node and keeps those that matter for the request.
    fn read(&mut self, lines: impl Iterator<Item = Result<Vec<u8>, Error>>) -> Result<(), Error> {
        let node = self.unreadable.len();
        let mut unreadable = Unreadable::default();
        let mut previous = f64::NEG_INFINITY;
        for (index, text) in lines.enumerate() {
            let text = text?;
            if text.trim_ascii().is_empty() {
                continue;
            }
            let Some(line) = Line::parse(&text, node) else {
                if unreadable.lines == 0 {
                    unreadable.first = index + 1;
                }
                unreadable.lines += 1;
                continue;
            };
            if let Some(lines) = line.fields.get("dropped_before").and_then(Value::as_u64) {
                self.gaps.push(Gap { from: previous, to: line.time, lines });
            }
            previous = line.time;
            if depth(&self.id, line.request()).is_some() {
                self.lines.push(line);
            } else if line.event() == SCARCE {
                self.scarce.push(line);
            }
        }
        self.unreadable.push(unreadable);
        Ok(())
    }

    /// Orders the lines by time. Lines of the same time stay in the order of the files.
    fn sort(&mut self) {
        self.lines.sort_by(|a, b| a.time.total_cmp(&b.time));
        self.scarce.sort_by(|a, b| a.time.total_cmp(&b.time));
    }

    fn columns(&self, names: &[String]) -> Vec<Column> {
        let start = self.lines.first().map_or(0.0, |line| line.time);
        let column = |title: &str, align: Align, value: &dyn Fn(&Line) -> Option<String>| {
            Column::new(title, align, self.lines.iter().map(value))
        };
        let indented = |line: &Line, text: &str| {
            let depth = depth(&self.id, line.request()).unwrap_or(0);
            Some(format!("{}{text}", INDENT.repeat(depth)))
        };
        let retry = |line: &Line| line.value("retry_after_ms").map(|delay| format!("{delay} ms"));
        vec![
            column("TIME", Align::Right, &|line| Some(format!("+{:.3} s", line.time - start))),
            column("NODE", Align::Left, &|line| names.get(line.node).cloned()),
            column("REQUEST", Align::Left, &|line| indented(line, line.request())),
            column("EVENT", Align::Left, &|line| indented(line, line.event())),
            column("TARGET", Align::Left, &|line| line.value("target")),
            column("REASON", Align::Left, &Line::reason),
            column("NEXT", Align::Left, &|line| line.value("next")),
            column("RETRY AFTER", Align::Right, &retry),
        ]
    }

    /// Returns how the request ended, or none if no line is about it or its calls.
    fn ending(&self) -> Option<Ending<'_>> {
        if self.lines.is_empty() {
            return None;
        }
        let last = |events: &[&str]| {
            let mut own = self.lines.iter().rev().filter(|line| line.request() == self.id);
            own.find(|line| events.contains(&line.event()))
        };
        if let Some(line) = last(&[REFUSED, CANCELLED]) {
            return Some(match line.event() {
                REFUSED => Ending::Refused(line),
                _ => Ending::Cancelled(line),
            });
        }
        let attempt = last(&[ATTEMPT_FAILED]);
        let is_refused = attempt.is_some_and(|line| line.text("next") == Some("refuse"));
        let is_resent =
            |failure: &Line| attempt.is_some_and(|line| !is_refused && line.time >= failure.time);
        Some(match (last(&[TARGET_FAILED]), attempt) {
            // A failure of a target is the answer unless a later attempt has another one.
            (Some(failure), _) if !is_resent(failure) => Ending::Failed(failure),
            (None, Some(attempt)) if is_refused => Ending::RefusedWithoutLine(attempt),
            (_, attempt) => Ending::Answered(attempt),
        })
    }

    /// Returns the lines that say that a call of the request was refused.
    fn refused_calls(&self) -> impl DoubleEndedIterator<Item = &Line> {
        let is_refused = |line: &&Line| line.event() == REFUSED && line.request() != self.id;
        self.lines.iter().filter(is_refused)
    }

    /// Returns one line on how the request ended, and on the pool that it was refused for.
    fn summary(&self, names: &[String]) -> String {
        let Some(ending) = self.ending() else { return String::new() };
        let mut text = format!("{} {}.", self.id, Described { ending, names });
        let refused_call = self.refused_calls().next_back();
        if let Some(line) = refused_call {
            let (count, call) = (self.refused_calls().count(), Refusal { line, names });
            let _ =
                write!(text, " Refused calls: {count}, the last one {} {call}.", line.request());
        }
        let refused = match ending {
            Ending::Refused(line) => Some(line),
            _ => refused_call,
        };
        if let Some(scarcity) = refused.and_then(|line| self.scarcity(line, names)) {
            let _ = write!(text, " {scarcity}");
        }
        layout::escape(&text) + "\n"
    }

    /// Returns when the pool of a refusal was last reported scarce before the last line of the
    /// request. A refusal at a gate names no pool, so that the pools below its route count.
    fn scarcity(&self, refusal: &Line, names: &[String]) -> Option<String> {
        let end = self.lines.last().map_or(0.0, |line| line.time);
        let key = if refusal.text("pool").is_some() { "pool" } else { "route" };
        let value = refusal.text(key)?;
        let is_before = |line: &&Line| line.time <= end && line.text(key) == Some(value);
        let Some(line) = self.scarce.iter().rev().find(is_before) else {
            return (key == "pool")
                .then(|| format!("No earlier line says that pool {value} is scarce."));
        };
        let node = names.get(line.node).map_or("", String::as_str);
        let details: Vec<String> = ["route", "demand", "capacity", "shares"]
            .into_iter()
            .filter_map(|field| Some(format!("{field} {}", line.number_or_text(field)?)))
            .collect();
        Some(format!(
            "Pool {} was last reported scarce {:.3} s before the last line, by {node}: {}.",
            line.text("pool").unwrap_or("unknown"),
            end - line.time,
            details.join(", ")
        ))
    }

    /// Returns lines on what is missing: lines that can't be read, and lines that nodes left out
    /// between the first and the last line of the request.
    fn missing(&self, names: &[String]) -> String {
        let mut text = String::new();
        for (name, unreadable) in names.iter().zip(&self.unreadable) {
            let Unreadable { lines, first } = unreadable;
            if *lines > 0 {
                let name = layout::escape(name);
                let _ = writeln!(
                    text,
                    "{name}: lines that are not JSON log lines: {lines}, the first one is line {first}"
                );
            }
        }
        if let Some((first, last)) = self.lines.first().zip(self.lines.last()) {
            let overlaps = |gap: &&Gap| gap.to >= first.time && gap.from <= last.time;
            let dropped: u64 = self.gaps.iter().filter(overlaps).map(|gap| gap.lines).sum();
            if dropped > 0 {
                let _ = writeln!(
                    text,
                    "Lines of this time that nodes left out because of their limit: {dropped}"
                );
            }
        }
        text
    }
}

/// Displays who refused a request, and why.
struct Refusal<'a> {
    line: &'a Line,
    names: &'a [String],
}

impl fmt::Display for Refusal<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let node = self.names.get(self.line.node).map_or("", String::as_str);
        write!(f, "by {node}")?;
        for (index, field) in ["reason", "outcome", "pool", "route"].into_iter().enumerate() {
            // A request that is refused at its entry has no route yet.
            if let Some(value) = self.line.value(field).filter(|value| value != "none") {
                write!(f, "{} {field} {value}", if index == 0 { ":" } else { "," })?;
            }
        }
        Ok(())
    }
}

/// Displays how a request ended.
struct Described<'a> {
    ending: Ending<'a>,
    names: &'a [String],
}

impl fmt::Display for Described<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.names;
        let node = |line: &Line| names.get(line.node).map_or("", String::as_str);
        match self.ending {
            Ending::Refused(line) => write!(f, "was refused {}", Refusal { line, names }),
            Ending::RefusedWithoutLine(line) => {
                write!(f, "was refused {}; its line `refused` is missing", Refusal { line, names })
            }
            Ending::Cancelled(line) => write!(f, "was cancelled by its caller, at {}", node(line)),
            Ending::Failed(line) => {
                let value = |field: &str| line.value(field).unwrap_or_else(|| "unknown".into());
                let (status, target) = (value("status"), value("target"));
                write!(f, "was answered with status {status} of target {target}, at {}", node(line))
            }
            Ending::Answered(relayed) => {
                f.write_str("was answered")?;
                if let Some(line) = relayed {
                    write!(f, " by {}", node(line))?;
                }
                f.write_str(": no line says that it was refused")
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{Ending, Log, depth};

    fn log(nodes: &[&str]) -> Log {
        let mut log = Log::new("r");
        for text in nodes {
            let lines = text.lines().map(|line| Ok(line.as_bytes().to_vec()));
            log.read(lines).expect("the lines can be read");
        }
        log.sort();
        log
    }

    /// Guards against calls of other requests whose ids begin alike.
    #[test]
    fn ids() {
        assert_eq!(depth("r", "r"), Some(0));
        assert_eq!(depth("r", "r.1.20"), Some(2));
        assert_eq!(depth("r.1", "r.1.20"), Some(1));
        assert_eq!(depth("r", "r2.1"), None);
        assert_eq!(depth("r.1", "r"), None);
    }

    /// Guards against a refused request that is reported as answered, and the other way round.
    #[test]
    fn endings() {
        let failed = r#"{"time":1,"event":"target responded with a failure","request":"r"}"#;
        let resent = r#"{"time":2,"event":"attempt failed","request":"r","next":"resend"}"#;
        let given_up = r#"{"time":3,"event":"attempt failed","request":"r","next":"refuse"}"#;
        let refused = r#"{"time":4.5,"event":"refused","request":"r"}"#;
        let call = r#"{"time":5,"event":"refused","request":"r.1"}"#;
        assert!(log(&["{}"]).ending().is_none());
        assert!(matches!(log(&[failed]).ending(), Some(Ending::Failed(_))));
        assert!(matches!(log(&[resent, failed]).ending(), Some(Ending::Answered(Some(_)))));
        assert!(matches!(log(&[resent, failed, given_up]).ending(), Some(Ending::Failed(_))));
        assert!(matches!(log(&[given_up]).ending(), Some(Ending::RefusedWithoutLine(_))));
        assert!(matches!(log(&[call, refused, failed]).ending(), Some(Ending::Refused(_))));
        assert!(matches!(log(&[call]).ending(), Some(Ending::Answered(None))));
    }

    /// Guards against losses that are not reported, and against those of other times.
    #[test]
    fn missing_lines() {
        let first = "not JSON\n\n[1]\n{\"time\":1,\"event\":\"a\",\"dropped_before\":1}\n\
                     {\"time\":4,\"event\":\"b\",\"dropped_before\":2}\n\
                     {\"time\":6,\"event\":\"c\",\"dropped_before\":4}";
        let second = "{\"time\":2,\"event\":\"refused\",\"request\":\"r\"}\n\
                      {\"time\":3,\"event\":\"refused\",\"request\":\"r\"}";
        let names = ["first".to_owned(), "second".to_owned()];
        let expected = "first: lines that are not JSON log lines: 2, the first one is line 1\n\
                        Lines of this time that nodes left out because of their limit: 2\n";
        assert_eq!(log(&[first, second]).missing(&names), expected);
    }
}
