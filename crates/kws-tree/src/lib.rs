//! The operators' tree of settings: parsing, inheritance, checks and explanations.

mod branch;
mod decode;
mod diff;
mod directory;
mod effective;
mod explain;
mod fields;
mod finding;
mod host;
mod hosts;
mod merge;
mod node;
mod parse;
mod place;
mod reference;
mod references;
mod resolve;
mod schema;
mod unit;
mod value;

pub use diff::{EffectChange, TreeEffect, diff};
pub use directory::read_directory;
pub use explain::{EffectiveValue, ValueOrigin, explain};
pub use finding::{Finding, FindingSeverity, Problem};
pub use host::{HostSettings, PlatformSource, StoreTerms, TlsFiles, parse_host};
pub use hosts::resolve_hosts;
pub use place::SourcePlace;
pub use reference::{host_reference, tree_reference};
pub use resolve::{TreeReview, resolve, review};
