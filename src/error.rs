//! All kinds of errors, and the table that maps each kind to its answer.
//!
//! See `docs/INTERFACES.md`, "Refusals". A kind states "not run" only if the request
//! provably did not run; otherwise it states "may have run".

use std::fmt;

use crate::types::Span;

/// Whether a refused request ran.
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

/// The answer to callers and operators for one kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindRow {
    /// The kind.
    pub kind: ErrorKind,
    /// The stable name of the kind in answers, logs and metrics.
    pub code: &'static str,
    /// The HTTP status of the answer.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// Whether sending the same request again can succeed.
    pub retryable: bool,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => ($code:literal, $status:literal, $ran:ident, $retryable:literal),)*) => {
        /// The kinds of errors that an instance returns.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// The answers, indexed by kind.
            pub const TABLE: &'static [KindRow] = &[
                $(KindRow {
                    kind: ErrorKind::$kind,
                    code: $code,
                    status: $status,
                    ran: Ran::$ran,
                    retryable: $retryable,
                },)*
            ];
        }
    };
}

kinds! {
    /// The request is malformed.
    BadRequest => ("bad-request", 400, NotRun, false),
    /// The timeout in the request is invalid or has already elapsed.
    BadTimeout => ("bad-timeout", 400, NotRun, false),
    /// The sender did not authenticate.
    Unauthenticated => ("unauthenticated", 401, NotRun, false),
    /// There is no class of that name.
    UnknownClass => ("unknown-class", 404, NotRun, false),
    /// The requested item does not exist.
    NotFound => ("not-found", 404, NotRun, false),
    /// The sender took too long to send the request.
    SlowCaller => ("slow-caller", 408, NotRun, true),
    /// Another change was made first.
    Conflict => ("conflict", 409, NotRun, true),
    /// A request with this idempotency key was already accepted.
    Duplicate => ("duplicate", 409, MayHaveRun, false),
    /// The time in the idempotency key is outside the period for which orders are
    /// remembered, so an earlier attempt may have run.
    StaleKey => ("stale-key", 409, MayHaveRun, false),
    /// The request exceeds a size limit, such as the configured body size.
    TooLarge => ("too-large", 413, NotRun, false),
    /// The head of the request is larger than the limit.
    HeadTooLarge => ("head-too-large", 431, NotRun, false),
    /// Targets are unknown, out of range or contradictory.
    BadTarget => ("bad-target", 422, NotRun, false),
    /// The request crashed upstreams before and is in quarantine.
    Poison => ("poison", 422, NotRun, false),
    /// Upstreams crashed while running the request.
    Crashed => ("crashed", 502, MayHaveRun, false),
    /// Too much work is in flight.
    Overloaded => ("overloaded", 503, NotRun, true),
    /// The request cannot finish within its timeout at present, so it was not started.
    CannotFinish => ("cannot-finish", 503, NotRun, true),
    /// The instance is stopping.
    Stopping => ("stopping", 503, NotRun, true),
    /// No complete snapshot of the index is known.
    NoSnapshot => ("no-snapshot", 503, NotRun, true),
    /// State that must be stored could not be written to the platform.
    PlatformDown => ("platform-down", 503, NotRun, true),
    /// The outcome of a write to the platform is unknown.
    Unsettled => ("unsettled", 503, MayHaveRun, true),
    /// No upstream accepted the request.
    NoUpstream => ("no-upstream", 503, NotRun, true),
    /// Upstreams failed, and some may have run a part of the request.
    UpstreamFailed => ("upstream-failed", 502, MayHaveRun, true),
    /// The deadline passed before any part of the answer arrived.
    OutOfTime => ("out-of-time", 504, MayHaveRun, true),
    /// An internal error of hyssopwalk.
    Internal => ("internal", 500, MayHaveRun, false),
}

impl ErrorKind {
    /// The table row of this kind.
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

/// An error returned instead of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{kind} ({}): {detail}", .kind.row().ran)]
pub struct Refusal {
    /// The kind of error.
    pub kind: ErrorKind,
    /// A human-readable sentence.
    pub detail: String,
    /// When the same request may succeed, if that is known.
    pub retry_after: Option<Span>,
}

impl Refusal {
    /// Creates a refusal of `kind` with a human-readable sentence.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Adds the time after which the same request may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Span) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

#[cfg(test)]
#[path = "error_tests.rs"]
mod error_tests;
