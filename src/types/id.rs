//! Identifiers and version numbers.

use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use siphasher::sip::SipHasher13;
use siphasher::sip128::{Hasher128, SipHasher13 as SipHasher13x128};

use super::number::number;
use super::{ClassName, InstanceName, ParseError};

number! {
    /// Identifies a shard within one snapshot.
    ShardId, u32, "a shard id"
}
number! {
    /// Identifies one attempt at one shard, numbered from zero within its query.
    LegId, u32, "a leg id"
}
number! {
    /// Identifies a snapshot, a published state of an index; later snapshots have larger ids.
    SnapshotId, u64, "a snapshot id"
}
number! {
    /// The version of the configuration, assigned by the platform's object API.
    ConfigVersion, u64, "a configuration version"
}
number! {
    /// The sequence number of an accepted class change, starting at one.
    ChangeNumber, u64, "a change number"
}
number! {
    /// The version of one object in the platform's object API.
    ObjectVersion, u64, "an object version"
}
number! {
    /// A position in the platform's sequence of all changes, from which a watch can resume.
    Revision, u64, "a revision"
}
number! {
    /// The time between two restorations of the platform's store, in which its revisions only
    /// increase. A store that states no era has one for ever; see `docs/ERAS.md`.
    Era, u64, "an era"
}

number! {
    /// The fencing token of a cell's lease, incremented whenever an instance takes the lease.
    Epoch, u64, "an epoch"
}
number! {
    /// When an instance's process started, in wall-clock milliseconds. Used only to
    /// distinguish processes with the same name and to order them.
    Incarnation, u64, "an incarnation"
}
number! {
    /// The sequence number of a cell summary within its epoch.
    CellSeq, u64, "a cell sequence number"
}
number! {
    /// A position in the change log of one process.
    Position, u64, "a position"
}

/// A hash of a request's content, regardless of its sender: equal requests of different callers
/// have the same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a query with this class and body.
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
    /// Returns the fingerprint of an instance's name, which orders instances independently of
    /// where they are.
    pub(crate) fn of_name(name: &InstanceName) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_str().as_bytes());
        Self(hasher.finish())
    }

    /// Returns a weight of an instance by which all instances choose the same one for this request,
    /// and another one in each round (rendezvous hashing).
    pub(crate) fn rendezvous_weight(self, round: u64, name: &InstanceName) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(self.0);
        hasher.write_u64(round);
        hasher.write(name.as_str().as_bytes());
        Self(hasher.finish())
    }

    /// Returns the fingerprint of an HTTP request, regardless of its sender and its id.
    #[must_use]
    pub fn of_request(method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        for field in [method, host, target].map(str::as_bytes) {
            hasher.write(field);
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

/// Identifies one request of one caller, unique across all instances.
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

/// Identifies one class change. The sender chooses the id, so that resubmitting the change with
/// the same id has no effect.
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

/// Identifies a part of a value by its content, so that equal parts of several versions are one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ChunkId(pub(crate) u128);

impl ChunkId {
    /// Returns the id of this content.
    pub(crate) fn of(bytes: &[u8]) -> Self {
        let mut hasher = SipHasher13x128::new();
        hasher.write(bytes);
        Self(hasher.finish128().as_u128())
    }
}

impl fmt::Display for ChunkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ChunkId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("a chunk id", text, "it is not a hexadecimal number"))
    }
}
