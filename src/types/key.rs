//! Ranges of the key space, which describe the coverage of an answer.
//!
//! Repartitioning an index changes its shards but not its key space, so coverage
//! expressed in key ranges stays valid; see `docs/DESIGN.md`, "Coverage".

use std::fmt;
use std::str::FromStr;

use super::{ParseError, Ratio};

/// An inclusive range of keys in the 32-bit key space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyRange {
    /// The smallest key.
    pub first: u32,
    /// The largest key.
    pub last: u32,
}

impl KeyRange {
    /// The whole key space.
    pub const ALL: Self = Self {
        first: 0,
        last: u32::MAX,
    };
    const KEY_COUNT: u64 = 1 << 32;

    /// Returns the number of keys in the range.
    #[must_use]
    pub fn width(self) -> u64 {
        u64::from(self.last) - u64::from(self.first) + 1
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}-{:08x}", self.first, self.last)
    }
}

impl FromStr for KeyRange {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || {
            ParseError::new(
                "a key range",
                text,
                "it does not have the form 00000000-7fffffff",
            )
        };
        let (first, last) = text.split_once('-').ok_or_else(invalid)?;
        let first = u32::from_str_radix(first, 16).map_err(|_| invalid())?;
        let last = u32::from_str_radix(last, 16).map_err(|_| invalid())?;
        if first > last {
            return Err(ParseError::new(
                "a key range",
                text,
                "it ends before it begins",
            ));
        }
        Ok(Self { first, last })
    }
}

/// The key ranges that an answer covers: sorted, disjoint, with adjacent ranges merged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    ranges: Vec<KeyRange>,
}

impl Coverage {
    /// Adds a range and merges it with overlapping and adjacent ranges.
    pub fn add(&mut self, range: KeyRange) {
        self.ranges.push(range);
        self.merge_ranges();
    }

    fn merge_ranges(&mut self) {
        self.ranges.sort_unstable();
        let mut merged: Vec<KeyRange> = Vec::with_capacity(self.ranges.len());
        for next in self.ranges.drain(..) {
            match merged.last_mut() {
                Some(last) if u64::from(next.first) <= u64::from(last.last) + 1 => {
                    last.last = last.last.max(next.last);
                }
                _ => merged.push(next),
            }
        }
        self.ranges = merged;
    }

    /// Returns the covered ranges in ascending order.
    #[must_use]
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// Returns the covered fraction of the key space; it is one only if every key is covered.
    #[must_use]
    pub fn ratio(&self) -> Ratio {
        let keys = self.ranges.iter().map(|range| range.width()).sum();
        Ratio::of(keys, KeyRange::KEY_COUNT)
    }

    /// Whether every key is covered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.ranges == [KeyRange::ALL]
    }
}

impl FromIterator<KeyRange> for Coverage {
    fn from_iter<I: IntoIterator<Item = KeyRange>>(ranges: I) -> Self {
        let mut coverage = Self {
            ranges: ranges.into_iter().collect(),
        };
        coverage.merge_ranges();
        coverage
    }
}
