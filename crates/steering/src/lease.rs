//! Ownership under a lease that the table's versions fence.
