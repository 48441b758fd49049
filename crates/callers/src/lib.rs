//! Interface for callers: header names and limits, outcomes as HTTP answers, and entry lookups.
//!
//! Use: read the request head with [`header::key`], [`header::request_id`] and
//! [`header::deadline`]. Answer with [`outcome::response`], or add the headers of a served answer
//! with [`outcome::mark`]. [`answer::Answer`] is the JSON body of an entry lookup.

pub mod answer;
pub mod header;
pub mod outcome;
