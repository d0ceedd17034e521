//! The log: short sentences with a fixed prefix for each part, as text or as JSON lines.

use {
    fern::Dispatch,
    log::{LevelFilter, SetLoggerError},
    monsoon_lib::settings::{Level, Log},
    std::time::{SystemTime, UNIX_EPOCH},
};

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::Off,
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
    }
}

fn seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Starts the log on standard error.
///
/// # Errors
///
/// Fails where a log was started before.
pub fn start(settings: &Log) -> Result<(), SetLoggerError> {
    let json = settings.json;
    Dispatch::new()
        .level(LevelFilter::Off)
        .level_for("monsoon_daemon", filter(settings.level))
        .level_for("monsoon_lib", filter(settings.level))
        .format(move |out, message, record| {
            let part = record.target().rsplit("::").next().unwrap_or("daemon");
            if json {
                let line = serde_json::json!({
                    "time": seconds(),
                    "level": record.level().as_str(),
                    "part": part,
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                let level = record.level();
                out.finish(format_args!("{:.3} {level} {part}: {message}", seconds()));
            }
        })
        .chain(std::io::stderr())
        .apply()
}
