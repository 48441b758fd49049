//! Budget for retries.
