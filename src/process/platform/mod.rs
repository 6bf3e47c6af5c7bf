//! The interface to the platform's object API: a trait and its types. The guarantees of
//! the API are in `docs/INTERFACES.md`, "Platform"; the client is in `src/platform/`.

mod backoff;
mod call_rate;

#[cfg(test)]
#[allow(dead_code, reason = "each test uses only some of the fake")]
pub(crate) mod fake;
#[cfg(test)]
mod platform_tests;

pub(crate) use backoff::Backoff;
pub(crate) use call_rate::CallBucket;
pub use call_rate::CallRates;

use std::fmt;
use std::net::SocketAddr;

use futures::future::BoxFuture;

use crate::types::{Era, FailureDomain, InstanceName, ObjectVersion, Region, Revision, Span};

/// The key of an object: its kind and name, joined by `/`. The name may contain `/`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// Creates a key without checking it; see [`ObjectKey::check`].
    #[must_use]
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// Checks that the platform can store an object under this key.
    ///
    /// # Errors
    /// [`PlatformError::Rejected`] when the key does not consist of a kind and a name, or
    /// when a segment is empty, `.` or `..`, which HTTP software rewrites in paths.
    pub fn check(&self) -> Result<(), PlatformError> {
        let is_invalid = |segment: &str| matches!(segment, "" | "." | "..");
        if !self.0.contains('/') || self.0.split('/').any(is_invalid) {
            return Err(PlatformError::Rejected(format!(
                "{:?} is not a valid object key",
                self.0
            )));
        }
        Ok(())
    }

    /// Whether a listing or watch of `prefix` includes the key. A prefix without `/` selects
    /// all objects of that kind; one with `/` selects those of a kind by the start of their
    /// name.
    #[must_use]
    pub fn is_under(&self, prefix: &str) -> bool {
        match self.0.strip_prefix(prefix) {
            Some(rest) => prefix.contains('/') || rest.starts_with('/'),
            None => false,
        }
    }

    /// Returns the key as a string.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An object at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its key.
    pub key: ObjectKey,
    /// Its version, which increases with each write.
    pub version: ObjectVersion,
    /// Its value, at most one megabyte.
    pub value: Vec<u8>,
}

/// The precondition of a write, which has no effect unless it is met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// There is no object with that key.
    Absent,
    /// The object is at this version.
    Version(ObjectVersion),
}

/// All objects under a prefix at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The era in which the store has these objects.
    pub era: Era,
    /// The revision from which to start a watch.
    pub revision: Revision,
    /// The objects, ordered by key.
    pub objects: Vec<Object>,
}

/// One change under a watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key that changed.
    pub key: ObjectKey,
    /// The version that the change made, also when the object was deleted.
    pub version: ObjectVersion,
    /// Its new state, or none when it was deleted.
    pub object: Option<Object>,
}

/// The changes since a revision; empty when the wait timed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The era of the revisions. In another one than that of the revision that the watch began
    /// from, the changes follow from nothing.
    pub era: Era,
    /// The revision from which to start the next watch.
    pub revision: Revision,
    /// The changes in order.
    pub changes: Vec<Change>,
}

/// An instance in the platform's list, which may lag behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name.
    pub name: InstanceName,
    /// The address for callers.
    pub addr: SocketAddr,
    /// The address for other instances.
    pub peer_addr: SocketAddr,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// The region of that failure domain.
    pub region: Region,
    /// Whether it is leaving the fleet.
    pub leaving: bool,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// The precondition of the write was not met; the write had no effect.
    #[error("the object is not at the expected version")]
    Conflict,
    /// The platform no longer keeps the changes since that revision.
    #[error("the change log no longer reaches back to that revision")]
    Compacted,
    /// The store came back from an older copy during the call, or before it answered.
    #[error("the store came back from an older copy meanwhile")]
    EraChanged,
    /// The value exceeds the platform's size limit; the write had no effect.
    #[error("the value exceeds the platform's size limit")]
    TooLarge,
    /// The platform, or this instance's own rate limit, shed the call; it had no effect.
    #[error("the call to the platform was shed because of load")]
    Busy,
    /// The platform does not accept such a call; it had no effect.
    #[error("the platform rejected the call: {0}")]
    Rejected(String),
    /// No connection could be made; the call had no effect.
    #[error("could not connect to the platform: {0}")]
    Unreachable(String),
    /// The reply was lost, so the outcome of a write is unknown.
    #[error("the platform's reply was lost: {0}")]
    Unsettled(String),
    /// The reply does not follow the platform's protocol.
    #[error("the platform's reply could not be parsed: {0}")]
    Protocol(String),
}

impl PlatformError {
    /// Whether a write that failed with this error is known to have had no effect. After
    /// any other error the sender has to read the object to learn the outcome.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::Conflict
            | Self::Compacted
            | Self::EraChanged
            | Self::TooLarge
            | Self::Busy
            | Self::Rejected(_)
            | Self::Unreachable(_) => true,
            Self::Unsettled(_) | Self::Protocol(_) => false,
        }
    }
}

/// The platform's object API.
pub trait Platform: fmt::Debug + Send + Sync {
    /// Returns the instances that the platform lists.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>>;

    /// Returns the object with that key, if there is one.
    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>>;

    /// Returns all objects under `prefix`; see [`ObjectKey::is_under`].
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>>;

    /// Writes an object if the precondition is met, and returns its new version.
    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Vec<u8>,
        expected: Expected,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>>;

    /// Deletes an object if it is at the `expected` version.
    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// Returns the changes under `prefix` after `from`; waits up to `wait` for one.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
        wait: Span,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>>;
}
