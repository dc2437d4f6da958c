//! The project's small logger: one line a record on standard error, with the time and the level.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Lines;

impl log::Log for Lines {
    fn enabled(&self, metadata: &log::Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &log::Record) {
        if self.enabled(record.metadata()) {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let line = line(unix.as_millis(), record.level(), &record.args().to_string());
            // Nobody is left to tell when standard error is gone.
            let _ = std::io::stderr().lock().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// A line of the log; line breaks in the text would make two records of it.
fn line(unix_ms: u128, level: log::Level, text: &str) -> String {
    let text = text.replace(['\n', '\r'], " ");
    format!("{}.{:03} {level} {text}\n", unix_ms / 1000, unix_ms % 1000)
}

/// Installs the logger; `level` is a level's name, `info` if absent or unknown.
pub fn start(level: Option<&str>) {
    let level = level.and_then(|name| name.parse().ok()).unwrap_or(log::LevelFilter::Info);
    // A second start within one process keeps the first logger.
    let _ = log::set_logger(&Lines);
    log::set_max_level(level);
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_record_is_one_line_whatever_its_text() {
        let line = super::line(1_500, log::Level::Warn, "a\nb");
        assert_eq!(line, "1.500 WARN a b\n");
    }
}
