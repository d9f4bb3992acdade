//! The operators' tree of settings: parsing, inheritance and checks.
