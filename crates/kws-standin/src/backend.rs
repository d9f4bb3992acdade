//! A backend server that answers as its script says, byte by byte, right or wrong.

mod answer;
mod refusal;
mod request;
mod script;
mod server;

pub use request::SeenRequest;
pub use script::{BackendFault, BackendScript, BodyFraming, RefusalCopies, ScriptError};
pub use server::{BackendHandle, BackendServer};
