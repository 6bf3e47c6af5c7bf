//! How commands of operators and callers end; see `docs/OPERATING.md`, "Exit codes".

use std::process::ExitCode;

/// What a command came to; an error of any other sort ends with 1, and arguments that
/// could not be read with 2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exit {
    /// It was refused, and nothing was run or changed.
    Refused,
    /// It may or may not have been run, or have changed something.
    Unknown,
    /// Another change came first; nothing was changed.
    Conflict,
    /// There is an answer, and it covers less than the class's target.
    Incomplete,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Refused => 3,
            Exit::Unknown => 4,
            Exit::Conflict => 5,
            Exit::Incomplete => 6,
        })
    }
}
