//! Ranges of the key space, in which coverage is stated.
//!
//! Shards change when an index is repartitioned, the key space does not, so a
//! coverage in ranges stays true; see `docs/DESIGN.md`, "Coverage".

use std::fmt;
use std::str::FromStr;

use super::{ParseError, Ratio};

/// The keys from `first` to `last`, both included, of the 32-bit key space.
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
    const KEYS: u64 = 1 << 32;

    /// How many keys the range holds.
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
        let wrong = || ParseError::new("a key range", text, "it is not like 00000000-7fffffff");
        let (first, last) = text.split_once('-').ok_or_else(wrong)?;
        let first = u32::from_str_radix(first, 16).map_err(|_| wrong())?;
        let last = u32::from_str_radix(last, 16).map_err(|_| wrong())?;
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

/// The key ranges that an answer covers: sorted, disjoint, neighbours joined.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    ranges: Vec<KeyRange>,
}

impl Coverage {
    /// Adds a range, joining it with what it touches.
    pub fn add(&mut self, range: KeyRange) {
        self.ranges.push(range);
        self.join();
    }

    fn join(&mut self) {
        self.ranges.sort_unstable();
        let mut joined: Vec<KeyRange> = Vec::with_capacity(self.ranges.len());
        for next in self.ranges.drain(..) {
            match joined.last_mut() {
                Some(last) if u64::from(next.first) <= u64::from(last.last) + 1 => {
                    last.last = last.last.max(next.last);
                }
                _ => joined.push(next),
            }
        }
        self.ranges = joined;
    }

    /// The covered ranges in order.
    #[must_use]
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// The part of the key space that is covered; one only when every key is.
    #[must_use]
    pub fn ratio(&self) -> Ratio {
        let keys = self.ranges.iter().map(|range| range.width()).sum();
        Ratio::of(keys, KeyRange::KEYS)
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
        coverage.join();
        coverage
    }
}
