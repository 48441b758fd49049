//! Lease holders that are paused, killed and cut off.
