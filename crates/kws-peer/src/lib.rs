//! Message exchange between daemons.
