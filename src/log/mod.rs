//! Logger that writes each record as one line to standard error, with the time and the level.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct StderrLogger;

impl log::Log for StderrLogger {
    fn enabled(&self, metadata: &log::Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &log::Record) {
        if self.enabled(record.metadata()) {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let line = format_line(since_epoch.as_millis(), record.level(), &record.args().to_string());
            // If standard error is closed, there is nowhere to report the failure.
            let _ = std::io::stderr().lock().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// Formats a record as one line. Line breaks in the text are replaced, because they would split the record.
fn format_line(unix_ms: u128, level: log::Level, text: &str) -> String {
    let text = text.replace(['\n', '\r'], " ");
    format!("{}.{:03} {level} {text}\n", unix_ms / 1000, unix_ms % 1000)
}

/// Installs the logger. `level` is the name of a level; `info` is used if the name is absent or unknown.
pub fn start(level: Option<&str>) {
    let level = level.and_then(|name| name.parse().ok()).unwrap_or(log::LevelFilter::Info);
    // A second call within one process keeps the first logger.
    let _ = log::set_logger(&StderrLogger);
    log::set_max_level(level);
}

#[cfg(test)]
mod tests {
    #[test]
    fn record_with_line_breaks_is_written_as_one_line() {
        let line = super::format_line(1_500, log::Level::Warn, "a\nb");
        assert_eq!(line, "1.500 WARN a b\n");
    }
}
