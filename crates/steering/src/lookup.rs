//! Which entry VMs a client should use.
