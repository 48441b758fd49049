//! Workspace keys as keyed digests, and their withdrawal.
