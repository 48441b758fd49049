//! Fair order among the queued requests of workspaces, with shedding by deadline.
