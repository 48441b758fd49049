//! Share, verdict and pacing of a new version.
