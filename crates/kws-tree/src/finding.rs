//! What is wrong with a tree, with its place and a way out.

mod problem;

use crate::SourcePlace;
use std::fmt;

pub use problem::Problem;

/// Whether a finding keeps the tree from being accepted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FindingSeverity {
    /// The tree is refused.
    Error,
    /// The tree is accepted, though it may not do what was meant.
    Warning,
}

impl FindingSeverity {
    /// The text used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}

/// One thing that is wrong with a tree.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Where it was written.
    pub place: SourcePlace,
    /// The path in the tree, such as `teams.shop.rate`; empty for a whole file.
    pub path: String,
    /// What is wrong.
    pub problem: Problem,
}

impl Finding {
    /// Whether it keeps the tree from being accepted.
    pub fn severity(&self) -> FindingSeverity {
        self.problem.severity()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}: ", self.place, self.severity().as_str())?;
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        write!(
            formatter,
            "{}\n  help: {}",
            self.problem,
            self.problem.help()
        )
    }
}
