//! Interfaces for operators: steering files, their checks, and the administration API.

pub mod admin;
pub mod bundle;
pub mod check;
pub mod explain;
pub mod fleet;
pub mod gateway;
pub mod service;
