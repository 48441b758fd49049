//! Generated good and bad versions.
