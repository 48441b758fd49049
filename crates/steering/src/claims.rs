//! At-most-once execution per request id.
