//! Which VMs and backend servers are live, leaving or gone.
