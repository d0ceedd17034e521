//! Log output as text or JSON lines. Each line names the module that logged it as its `part`.
//!
//! The structured log goes to standard output, one JSON object per line. It never blocks the
//! process: a separate thread writes the lines, and lines that don't fit into its queue are dropped
//! and counted.

use {
    fern::Dispatch,
    log::{
        LevelFilter, Record, SetLoggerError,
        kv::{Error as FieldError, Key, Value, VisitSource, VisitValue},
    },
    monsoon_lib::settings::{Level, Log},
    serde_json::Map,
    std::{
        io::Write as _,
        sync::{
            Mutex,
            mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// The capacity of the queue of the writer thread, in lines.
const QUEUE_LINES: usize = 4096;
/// The rate limit of the structured log, in lines per second. Under overload each refusal is
/// logged, and a few hundred lines per second show what happens.
const LINES_PER_S: u32 = 300;

fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::Off,
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
    }
}

fn unix_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Starts the log on standard error.
///
/// # Errors
///
/// Returns an error if a logger is already installed.
pub fn start(settings: &Log) -> Result<(), SetLoggerError> {
    let json = settings.json;
    Dispatch::new()
        .level(LevelFilter::Off)
        .level_for("monsoon_daemon", level_filter(settings.level))
        .level_for("monsoon_lib", level_filter(settings.level))
        .format(move |out, message, record| {
            let part = record.target().rsplit("::").next().unwrap_or("daemon");
            if json {
                let line = serde_json::json!({
                    "time": unix_seconds(),
                    "level": record.level().as_str(),
                    "part": part,
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                let level = record.level();
                out.finish(format_args!("{:.3} {level} {part}: {message}", unix_seconds()));
            }
        })
        .chain(std::io::stderr())
        .apply()
}

/// A field's value as JSON, or `None` for the value of an absent option.
#[derive(Default)]
struct Json(Option<serde_json::Value>);

impl<'v> VisitValue<'v> for Json {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), FieldError> {
        self.0 = Some(value.to_string().into());
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), FieldError> {
        self.0 = None;
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), FieldError> {
        self.0 = Some(value.into());
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), FieldError> {
        self.0 = Some(value.into());
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), FieldError> {
        self.0 = Some(value.into());
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), FieldError> {
        self.0 = Some(value.into());
        Ok(())
    }
}

/// The structured fields of a log record, as JSON. Absent options are left out.
#[derive(Default)]
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), FieldError> {
        let mut json = Json::default();
        value.visit(&mut json)?;
        if let Some(value) = json.0 {
            self.0.insert(key.as_str().to_owned(), value);
        }
        Ok(())
    }
}

/// Limits the number of lines in each window of one second.
struct LineLimiter {
    window_start: Instant,
    lines: u32,
    dropped: u64,
}

impl LineLimiter {
    /// Returns the number of lines dropped since the last admitted one, or `None` if this line must
    /// be dropped.
    fn admit(&mut self) -> Option<u64> {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            (self.window_start, self.lines) = (Instant::now(), 0);
        }
        if self.lines >= LINES_PER_S {
            self.dropped += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}

fn structured_line(record: &Record<'_>, dropped: u64) -> String {
    let mut fields = Fields::default();
    let part = record.target().rsplit("::").next().unwrap_or("daemon");
    fields.0.insert("time".into(), unix_seconds().into());
    fields.0.insert("level".into(), record.level().as_str().into());
    fields.0.insert("part".into(), part.into());
    fields.0.insert("event".into(), record.args().to_string().into());
    if dropped > 0 {
        fields.0.insert("dropped_before".into(), dropped.into());
    }
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields.0.insert("log_error".into(), error.to_string().into());
    }
    serde_json::Value::Object(fields.0).to_string()
}

fn write_lines(lines: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(mut line) = lines.recv() {
        line.push('\n');
        // If standard output is closed, there is nowhere to report the error.
        let _ = out.write_all(line.as_bytes());
    }
}

/// Starts the structured log on standard output.
///
/// # Errors
///
/// Returns an error if a logger is already installed.
pub fn start_structured() -> Result<(), SetLoggerError> {
    let (sender, lines): (SyncSender<String>, _) = sync_channel(QUEUE_LINES);
    std::thread::spawn(move || write_lines(&lines));
    let limiter = Mutex::new(LineLimiter { window_start: Instant::now(), lines: 0, dropped: 0 });
    let write = move |record: &Record<'_>| {
        let Ok(mut limiter) = limiter.lock() else { return };
        let Some(dropped) = limiter.admit() else { return };
        let line = structured_line(record, dropped);
        if let Err(TrySendError::Full(_)) = sender.try_send(line) {
            limiter.dropped += dropped + 1;
        }
    };
    Dispatch::new()
        .level(LevelFilter::Off)
        .level_for("monsoon_daemon", LevelFilter::Info)
        .level_for("monsoon_lib", LevelFilter::Info)
        .level_for("monsoon_platform", LevelFilter::Info)
        .chain(fern::Output::call(write))
        .apply()
}
