//! Exit codes, for scripts.

use std::process::ExitCode;

/// Result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command did what was asked.
    Done,
    /// The call failed or its result is unknown; `status` tells more.
    Failed,
    /// The files have errors; nothing changed.
    Refused,
    /// Another publication came first; review the named version and publish again.
    Conflict,
    /// The configuration was accepted but is not in force on all VMs in the time waited.
    Incomplete,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Refused => 3,
            Exit::Conflict => 4,
            Exit::Incomplete => 5,
        })
    }
}
