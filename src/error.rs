//! The closed list of error kinds, and the one table from a kind to its answer.
//!
//! See `docs/INTERFACES.md`, "Refusals". A kind says "not run" only when the request
//! provably did not run; whatever cannot be proved is "may have run".

use std::fmt;

/// Whether a refused request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// No upstream ran any part of the request, and none will.
    NotRun,
    /// Some upstream may have run a part of the request, or may yet.
    MayHaveRun,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not run",
            Self::MayHaveRun => "may have run",
        })
    }
}

/// What a caller or an operator is told about one kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindRow {
    /// The kind.
    pub kind: ErrorKind,
    /// The stable name of the kind in answers, logs and metrics.
    pub code: &'static str,
    /// The HTTP status of the answer.
    pub status: u16,
    /// Whether the request was run.
    pub ran: Ran,
    /// Whether sending the same request again can succeed.
    pub again: bool,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => ($code:literal, $status:literal, $ran:ident, $again:literal),)*) => {
        /// Every kind of error that leaves an instance.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// The table from kind to answer.
            pub const TABLE: &'static [KindRow] = &[
                $(KindRow {
                    kind: ErrorKind::$kind,
                    code: $code,
                    status: $status,
                    ran: Ran::$ran,
                    again: $again,
                },)*
            ];
        }
    };
}

kinds! {
    /// The request could not be understood.
    BadRequest => ("bad-request", 400, NotRun, false),
    /// The stated timeout is no timeout, or none is left of it.
    BadTimeout => ("bad-timeout", 400, NotRun, false),
    /// The sender did not prove who it is.
    Unauthenticated => ("unauthenticated", 401, NotRun, false),
    /// There is no class of that name.
    UnknownClass => ("unknown-class", 404, NotRun, false),
    /// There is no such thing.
    NotFound => ("not-found", 404, NotRun, false),
    /// The sender took too long to send the request.
    SlowCaller => ("slow-caller", 408, NotRun, true),
    /// Another change came first.
    Conflict => ("conflict", 409, NotRun, true),
    /// A request with this idempotency key was already accepted.
    Duplicate => ("duplicate", 409, MayHaveRun, false),
    /// The key's time lies outside the time for which orders are remembered, so an
    /// earlier attempt may have run.
    StaleKey => ("stale-key", 409, MayHaveRun, false),
    /// The request is larger than the stated limit.
    TooLarge => ("too-large", 413, NotRun, false),
    /// The head of the request is larger than the stated limit.
    HeadTooLarge => ("head-too-large", 431, NotRun, false),
    /// Targets are unknown, out of range or contradict each other.
    BadTarget => ("bad-target", 422, NotRun, false),
    /// This request crashed upstreams before and is refused for a while.
    Poison => ("poison", 422, NotRun, false),
    /// Upstreams crashed while they ran this request.
    Crashed => ("crashed", 502, MayHaveRun, false),
    /// Too much work is under way.
    Overloaded => ("overloaded", 503, NotRun, true),
    /// The target's time is too short for the request now, so it was not begun.
    CannotFinish => ("cannot-finish", 503, NotRun, true),
    /// The instance is stopping.
    Stopping => ("stopping", 503, NotRun, true),
    /// No complete snapshot of the index is known.
    NoSnapshot => ("no-snapshot", 503, NotRun, true),
    /// What must be kept could not be written to the platform.
    PlatformDown => ("platform-down", 503, NotRun, true),
    /// A write to the platform may or may not have taken effect.
    Unsettled => ("unsettled", 503, MayHaveRun, true),
    /// No upstream accepted the request.
    NoUpstream => ("no-upstream", 503, NotRun, true),
    /// Upstreams failed, and some may have run a part of the request.
    UpstreamFailed => ("upstream-failed", 502, MayHaveRun, true),
    /// The time ran out before any part of the answer came.
    OutOfTime => ("out-of-time", 504, MayHaveRun, true),
    /// A fault of hyssopwalk itself.
    Internal => ("internal", 500, MayHaveRun, false),
}

impl ErrorKind {
    /// The row of this kind.
    #[must_use]
    pub fn row(self) -> &'static KindRow {
        &Self::TABLE[self as usize]
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.row().code)
    }
}

/// The answer to a request that is not served.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{kind} ({}): {detail}", .kind.row().ran)]
pub struct Refusal {
    /// Which row of the table applies.
    pub kind: ErrorKind,
    /// One sentence for a person.
    pub detail: String,
}

impl Refusal {
    /// A refusal of `kind` with a sentence for a person.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

#[cfg(test)]
#[path = "error_tests.rs"]
mod error_tests;
