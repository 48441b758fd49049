//! Workspaces inside their rate beside one that floods.
