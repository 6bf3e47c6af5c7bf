//! Exit codes of the operator and caller commands; see `docs/OPERATING.md`, "Exit codes".

use std::process::ExitCode;

/// An outcome with its own exit code. Any other error exits with 1, and invalid arguments
/// exit with 2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exit {
    /// The request was refused; nothing was run or changed.
    Refused,
    /// The outcome is unknown: the request may have been run, or the change may have been made.
    Unknown,
    /// A concurrent change was accepted first; nothing was changed.
    Conflict,
    /// The query was answered, but the answer covers less than the class's target.
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
