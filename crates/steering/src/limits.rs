//! Rate and burst of a workspace over all VMs, divided into conserved parts.
