//! Rate and burst over all VMs under faults and moving demand.
