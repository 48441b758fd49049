//! Which configuration version is in force.
