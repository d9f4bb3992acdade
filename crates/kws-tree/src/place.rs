//! Where a value of the tree was written.

use std::{fmt, sync::Arc};

/// A file, and a line and column in it; both count from 1, and 0 means the whole file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SourcePlace {
    /// The key of the published value, such as `farm/till.yaml`.
    pub file: Arc<str>,
    /// The line.
    pub line: u64,
    /// The column, in characters.
    pub column: u64,
}

impl SourcePlace {
    /// The place that stands for the whole of `file`.
    pub fn whole_file(file: &str) -> Self {
        Self {
            file: Arc::from(file),
            line: 0,
            column: 0,
        }
    }
}

impl fmt::Display for SourcePlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.file)?;
        if self.line > 0 {
            write!(formatter, ":{}:{}", self.line, self.column)?;
        }
        Ok(())
    }
}
