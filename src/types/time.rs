//! Points in time and spans between them, in microseconds.
//!
//! Decision code never reads a clock: it is given a [`Timestamp`], so that tests and
//! the model of the system drive it by hand; see `docs/DESIGN.md`, "Decisions".

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use super::ParseError;

/// A point in time of one process, in microseconds since its clock's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Span(pub u64);

/// Seconds since 1970 by the clock of whoever states them; no clock is trusted to be
/// right, so nothing that must hold may rest on comparing two of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UnixSeconds(pub u64);

impl Timestamp {
    /// How long ago `earlier` was; zero when it lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Self = Self(0);
    const MICROS_PER_MILLI: u64 = 1_000;
    const MICROS_PER_SECOND: u64 = 1_000_000;

    /// A span of whole milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(Self::MICROS_PER_MILLI))
    }

    /// A span of whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(Self::MICROS_PER_SECOND))
    }

    /// A span of a calculated number of microseconds; zero when that is not positive.
    #[must_use]
    pub fn from_micros_f64(micros: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast cuts to the range of the type"
        )]
        Self(micros.round() as u64)
    }

    /// Whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / Self::MICROS_PER_MILLI
    }

    /// Whole seconds, rounded down.
    #[must_use]
    pub const fn as_secs(self) -> u64 {
        self.0 / Self::MICROS_PER_SECOND
    }

    /// The span for the standard library.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl Add<Span> for Timestamp {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Timestamp {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for Timestamp {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse::<Span>().map(|span| Self(span.0))
    }
}

impl fmt::Display for UnixSeconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for UnixSeconds {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse().map(Self).map_err(|_| {
            ParseError::new(
                "a time in seconds",
                text,
                "it is not a whole number in range",
            )
        })
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(Self::MICROS_PER_SECOND) {
            write!(f, "{}s", self.0 / Self::MICROS_PER_SECOND)
        } else if self.0.is_multiple_of(Self::MICROS_PER_MILLI) {
            write!(f, "{}ms", self.0 / Self::MICROS_PER_MILLI)
        } else {
            write!(f, "{}us", self.0)
        }
    }
}

impl FromStr for Span {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || ParseError::new("a span", text, "it is not a time like 170ms, 3s or 50us");
        let (digits, unit) = if let Some(digits) = text.strip_suffix("us") {
            (digits, 1)
        } else if let Some(digits) = text.strip_suffix("ms") {
            (digits, Self::MICROS_PER_MILLI)
        } else if let Some(digits) = text.strip_suffix('s') {
            (digits, Self::MICROS_PER_SECOND)
        } else {
            return Err(wrong());
        };
        let count: u64 = digits.parse().map_err(|_| wrong())?;
        count.checked_mul(unit).map(Self).ok_or_else(wrong)
    }
}
