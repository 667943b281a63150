//! The programs that a stand-in worker knows.
//!
//! - `sleep MS [OPTIONS]`: runs for a time, then finishes.
//! - `serve [OPTIONS]`: runs until it is stopped.
//! - `fail MS`: runs for a time, then fails.
//!
//! Option `--usage-percent P`: uses P percent of what was declared.

/// How a task behaves on a stand-in worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Program {
    /// Time until it ends by itself, in milliseconds.
    pub run_ms: Option<u64>,
    /// Whether it fails at its end.
    pub fails: bool,
    /// What it uses, as a percentage of what was declared.
    pub usage_percent: u64,
}

impl Program {
    /// Reads a command; an unknown one fails at once.
    ///
    /// ```
    /// use hemlockrock::standin::worker::program::Program;
    ///
    /// let command = ["sleep", "250", "--usage-percent", "1000"].map(str::to_owned);
    /// let program = Program::new(&command);
    /// assert_eq!((program.run_ms, program.usage_percent), (Some(250), 1_000));
    /// ```
    pub fn new(command: &[String]) -> Self {
        const DEFAULT_PERCENT: u64 = 50;
        let words: Vec<&str> = command.iter().map(String::as_str).collect();
        let usage_percent = option(&words, "--usage-percent").unwrap_or(DEFAULT_PERCENT);
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
