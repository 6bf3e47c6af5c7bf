//! Numbers that identify things or order their versions.

use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use siphasher::sip::SipHasher13;

use super::number::number;
use super::{ClassName, ParseError};

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
    /// The place of a change in the order of all changes of classes, from one.
    ChangeNumber, u64, "a change number"
}
number! {
    /// The version of one object in the platform's object API.
    ObjectVersion, u64, "an object version"
}
number! {
    /// A point in the platform's sequence of all changes, from which a watch goes on.
    Revision, u64, "a revision"
}

number! {
    /// The fence of a cell's lease: whoever takes the lease raises it by one.
    Epoch, u64, "an epoch"
}
number! {
    /// When an instance's process started, in wall-clock milliseconds; it only tells
    /// two processes of one name apart and which of them is later.
    Incarnation, u64, "an incarnation"
}
number! {
    /// The place of one cell summary among those of its epoch.
    CellSeq, u64, "a cell sequence number"
}
number! {
    /// A place in one process's own sequence of what it learned.
    Position, u64, "a position"
}

/// What a request is, whoever sends it: equal for equal classes and bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a body that is sent in a class.
    #[must_use]
    pub fn of(class: &ClassName, body: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(class.as_str().as_bytes());
        hasher.write_u8(0);
        hasher.write(body);
        Self(hasher.finish())
    }
}

impl Fingerprint {
    /// The fingerprint of a request, whoever sends it and under whatever id.
    #[must_use]
    pub fn of_request(method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        for part in [method.as_bytes(), target.as_bytes()] {
            hasher.write(part);
            hasher.write_u8(0);
        }
        hasher.write(body);
        Self(hasher.finish())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("a fingerprint", text, "it is not a hexadecimal number"))
    }
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

/// One change of a class, named by its sender, so that sending it again changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChangeId(pub u128);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ChangeId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("a change id", text, "it is not a hexadecimal number"))
    }
}
