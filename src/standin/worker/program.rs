//! The commands that a fake worker can simulate.
//!
//! - `sleep MS [OPTIONS]`: runs for a time, then finishes.
//! - `serve [OPTIONS]`: runs until it is stopped.
//! - `fail MS`: runs for a time, then fails.
//!
//! Any other command is treated as `fail`. Option `--usage-percent P`: the task uses P percent of
//! the processor and memory that it reserved, 50 by default.

/// Simulated behaviour of a task, read from its command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Program {
    /// Time until it ends by itself, in milliseconds; `None` if it runs until it is stopped.
    pub run_ms: Option<u64>,
    /// Whether it ends with a failure.
    pub fails: bool,
    /// Resources that it uses, as a percentage of those reserved.
    pub usage_percent: u64,
}

impl Program {
    /// Parses a command; an unknown one is treated as `fail`.
    ///
    /// A missing or malformed run time counts as 0, a malformed percentage as the default.
    ///
    /// ```
    /// use hemlockrock::standin::worker::program::Program;
    ///
    /// let command = ["sleep", "250", "--usage-percent", "1000"].map(str::to_owned);
    /// let program = Program::new(&command);
    /// assert_eq!((program.run_ms, program.usage_percent), (Some(250), 1_000));
    /// ```
    pub fn new(command: &[String]) -> Self {
        const DEFAULT_USAGE_PERCENT: u64 = 50;
        let words: Vec<&str> = command.iter().map(String::as_str).collect();
        let usage_percent = option(&words, "--usage-percent").unwrap_or(DEFAULT_USAGE_PERCENT);
        let number = |index: usize| words.get(index).and_then(|word| word.parse().ok());
        match words.first() {
            Some(&"sleep") => {
                Self { run_ms: Some(number(1).unwrap_or(0)), fails: false, usage_percent }
            }
            Some(&"serve") => Self { run_ms: None, fails: false, usage_percent },
            _ => Self { run_ms: Some(number(1).unwrap_or(0)), fails: true, usage_percent },
        }
    }
}

fn option(words: &[&str], name: &str) -> Option<u64> {
    let at = words.iter().position(|word| *word == name)?;
    words.get(at + 1)?.parse().ok()
}
