//! Timestamps and durations in microseconds.
//!
//! Decision code never reads a clock. It receives a [`Timestamp`], so that tests and the
//! simulation model control the time; see `docs/DESIGN.md`, "Decisions".

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use super::ParseError;

/// A point in time in one process, in microseconds since its clock started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Span(pub u64);

/// Seconds since 1970 by the wall clock of the machine that reports them. Wall clocks may be
/// inaccurate, so no guarantee may depend on comparing two of these values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UnixSeconds(pub u64);

impl Timestamp {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A zero-length span.
    pub const ZERO: Self = Self(0);
    const MICROS_PER_MILLI: u64 = 1_000;
    const MICROS_PER_SECOND: u64 = 1_000_000;

    /// Creates a span from whole milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(Self::MICROS_PER_MILLI))
    }

    /// Creates a span from whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(Self::MICROS_PER_SECOND))
    }

    /// Creates a span from fractional microseconds, rounded; zero if the value is not positive.
    #[must_use]
    pub fn from_micros_f64(micros: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float to integer cast saturates"
        )]
        Self(micros.round() as u64)
    }

    /// Returns whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / Self::MICROS_PER_MILLI
    }

    /// Returns whole seconds, rounded down.
    #[must_use]
    pub const fn as_secs(self) -> u64 {
        self.0 / Self::MICROS_PER_SECOND
    }

    /// Converts to the standard library's `Duration`.
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
        let invalid = || ParseError::new("a span", text, "it is not a time like 170ms, 3s or 50us");
        let (digits, unit) = if let Some(digits) = text.strip_suffix("us") {
            (digits, 1)
        } else if let Some(digits) = text.strip_suffix("ms") {
            (digits, Self::MICROS_PER_MILLI)
        } else if let Some(digits) = text.strip_suffix('s') {
            (digits, Self::MICROS_PER_SECOND)
        } else {
            return Err(invalid());
        };
        let count: u64 = digits.parse().map_err(|_| invalid())?;
        count.checked_mul(unit).map(Self).ok_or_else(invalid)
    }
}
