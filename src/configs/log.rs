//! Settings of a program's log on standard error.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Valid levels, most severe first.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Valid formats.
const FORMATS: [&str; 2] = ["text", "json"];

/// Level and format of the log on standard error.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// Least severe level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Format of a line: `text` or `json`.
    pub format: String,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { level: "info".to_owned(), format: "text".to_owned() }
    }
}

impl Validate for LogConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let level = LEVELS.contains(&self.level.as_str());
        report.require(level, "level", "expected error, warn, info, debug or trace");
        let format = FORMATS.contains(&self.format.as_str());
        report.require(format, "format", "expected text or json");
    }
}
