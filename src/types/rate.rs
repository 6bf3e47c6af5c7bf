//! Rates and ratios.

use std::fmt;
use std::str::FromStr;

use super::ParseError;

/// A number of events per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct PerSecond(pub f64);

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        match digits.parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(Self(rate)),
            _ => Err(ParseError::new(
                "a rate",
                text,
                "it is not a number like 12.5/s",
            )),
        }
    }
}

/// A fraction between zero and one, stored in parts per million so that comparisons are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ratio(u32);

impl Ratio {
    /// One, or 100%.
    pub const ONE: Self = Self(Self::PPM_OF_ONE);
    /// Zero.
    pub const ZERO: Self = Self(0);
    const PPM_OF_ONE: u32 = 1_000_000;

    /// Creates a ratio from parts per million, capped at one.
    #[must_use]
    pub fn from_ppm(ppm: u32) -> Self {
        Self(ppm.min(Self::PPM_OF_ONE))
    }

    /// Returns `part / whole`, rounded down so that the result is one only if nothing is missing.
    /// An empty whole gives zero.
    #[must_use]
    pub fn of(part: u64, whole: u64) -> Self {
        if whole == 0 {
            return Self::ZERO;
        }
        let ppm = u128::from(part) * u128::from(Self::PPM_OF_ONE) / u128::from(whole);
        Self(
            u32::try_from(ppm)
                .unwrap_or(Self::PPM_OF_ONE)
                .min(Self::PPM_OF_ONE),
        )
    }

    /// Returns the ratio in parts per million.
    #[must_use]
    pub fn ppm(self) -> u32 {
        self.0
    }

    /// Returns the ratio as a number between 0 and 1.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(Self::PPM_OF_ONE)
    }
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / 10_000.0)
    }
}

impl FromStr for Ratio {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::new("a ratio", text, "it is not a percentage like 99.5%");
        let percent: f64 = text
            .strip_suffix('%')
            .ok_or_else(invalid)?
            .parse()
            .map_err(|_| invalid())?;
        if !(0.0..=100.0).contains(&percent) {
            return Err(ParseError::new(
                "a ratio",
                text,
                "it is not between 0% and 100%",
            ));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range was checked above"
        )]
        let ppm = (percent * 10_000.0).round() as u32;
        Ok(Self(ppm))
    }
}
