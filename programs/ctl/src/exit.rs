//! Exit codes, for scripts.

use std::process::ExitCode;

/// Result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The call failed or its result is unknown; `status` shows the current state.
    Failed,
    /// The files have errors; nothing was changed.
    Refused,
    /// Another publication was accepted first; review the printed version and publish again.
    Conflict,
    /// The configuration was accepted but did not come into force on all VMs within the wait.
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
