//! Stand-ins for the platform and for backend servers.

pub mod backend;
