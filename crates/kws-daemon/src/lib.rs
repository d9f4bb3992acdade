//! The daemon: one thread for each duty, joined by bounded rings.
