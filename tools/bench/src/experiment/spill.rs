//! Failure of a data centre and a region at peak.
