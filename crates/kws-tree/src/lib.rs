//! The operators' tree of settings: parsing, inheritance, checks and explanations.

mod branch;
mod decode;
mod directory;
mod fields;
mod finding;
mod host;
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

pub use directory::read_directory;
pub use finding::{Finding, FindingSeverity, Problem};
pub use host::{HostSettings, PlatformSource, TlsFiles, parse_host};
pub use place::SourcePlace;
pub use reference::{host_reference, tree_reference};
pub use resolve::{check, resolve};
