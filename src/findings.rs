//! Findings: all faults of an input, each with its position, reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in an input file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// Line, from 1; 0 if unknown.
    pub line: u32,
    /// Column, from 1; 0 if unknown.
    pub column: u32,
}

/// One fault in an input.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Finding {
    /// Name of the file, or `request` for the headers of a request.
    pub file: String,
    /// Position in the file.
    pub place: Position,
    /// Path of the field, such as `store.address`; empty for the whole input.
    pub path: String,
    /// What is wrong or what was expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.place;
        write!(formatter, "{}:{line}:{column}: {}: {}", self.file, self.path, self.message)
    }
}

/// All findings of one input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Findings {
    /// Findings in the order of discovery; [`Findings::into_result`] sorts them by position.
    pub items: Vec<Finding>,
}

impl Findings {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one finding.
    ///
    /// ```
    /// use hemlockrock::findings;
    ///
    /// let mut found = findings::Findings::new();
    /// found.push("entry.yaml", findings::Position { line: 3, column: 5 }, "zone", "must not be empty");
    /// assert_eq!(found.to_string(), "entry.yaml:3:5: zone: must not be empty");
    /// ```
    pub fn push(
        &mut self,
        file: impl Into<String>,
        place: Position,
        path: impl Into<String>,
        message: impl Into<String>,
    ) {
        self.items.push(Finding {
            file: file.into(),
            place,
            path: path.into(),
            message: message.into(),
        });
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns `value` if there are no findings, and otherwise the findings by file and position.
    ///
    /// # Errors
    /// The findings, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        self.items.sort_by(|left, right| (&left.file, left.place).cmp(&(&right.file, right.place)));
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, item) in self.items.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{item}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
