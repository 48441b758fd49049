//! Operators' command line.

pub mod args;
pub mod diff;
pub mod exit;
pub mod explanation;
pub mod files;
pub mod orders;
pub mod output;
pub mod run;
