//! Order of steps in a drain and in a VM's own stop.
