//! Numbers that identify things or order their versions.

use std::fmt;
use std::str::FromStr;

use super::ParseError;

macro_rules! number {
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

number! {
    /// A shard within one snapshot.
    ShardId, u32, "a shard id"
}
number! {
    /// One attempt at one shard, counted from zero within its query.
    LegId, u32, "a leg id"
}
number! {
    /// A published state of an index; later snapshots have larger ids.
    SnapshotId, u64, "a snapshot id"
}
number! {
    /// The version of the configuration, given by the platform's object API.
    ConfigVersion, u64, "a configuration version"
}
number! {
    /// The version of one object in the platform's object API.
    ObjectVersion, u64, "an object version"
}
number! {
    /// A point in the platform's sequence of all changes, from which a watch goes on.
    Revision, u64, "a revision"
}

/// One request of one caller, unique over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueryId(pub u128);

impl fmt::Display for QueryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for QueryId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("a query id", text, "it is not a hexadecimal number"))
    }
}
