//! Sizes: counts of bytes, slots and connections.

use std::fmt;
use std::str::FromStr;

use super::ParseError;

macro_rules! count {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| ParseError::new($what, text, "it is not a whole number in range"))
            }
        }
    };
}

count! {
    /// A number of bytes.
    ByteCount, u64, "a number of bytes"
}
count! {
    /// How many legs an upstream runs at the same time.
    SlotCount, u32, "a number of slots"
}
count! {
    /// How many connections an upstream accepts from all instances together.
    ConnectionCount, u32, "a number of connections"
}
