//! Propagation of configuration through store outages and partitions.
