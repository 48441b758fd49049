//! A service at twice its capacity, with retries.
