//! The edge towards the platform's object API: a trait and its types. What the API
//! promises is in `docs/INTERFACES.md`, "Platform"; the client is in `src/platform/`.

mod backoff;
mod call_rate;

#[cfg(test)]
#[allow(dead_code, reason = "each test uses a part of the fake")]
pub(crate) mod fake;
#[cfg(test)]
mod platform_tests;

pub(crate) use backoff::Backoff;
pub(crate) use call_rate::CallBucket;
pub use call_rate::CallRates;

use std::fmt;
use std::net::SocketAddr;

use futures::future::BoxFuture;

use crate::types::{FailureDomain, InstanceName, ObjectVersion, Region, Revision, Span};

/// The kind and the name of an object, joined by `/`; a name may have parts of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// A key from text that the platform stated or a constant of ours.
    #[must_use]
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// Whether the platform can hold an object of this key.
    ///
    /// # Errors
    /// [`PlatformError::Rejected`] when it has no kind and name, or when a part is empty
    /// or a step in a path, which HTTP would rewrite on the way.
    pub fn check(&self) -> Result<(), PlatformError> {
        let is_step = |part: &str| matches!(part, "" | "." | "..");
        if !self.0.contains('/') || self.0.split('/').any(is_step) {
            return Err(PlatformError::Rejected(format!(
                "{:?} is not a key",
                self.0
            )));
        }
        Ok(())
    }

    /// Whether the key belongs to what a listing or a watch of `prefix` asks for: objects
    /// of one kind, or those of it whose names begin alike.
    #[must_use]
    pub fn is_under(&self, prefix: &str) -> bool {
        match self.0.strip_prefix(prefix) {
            Some(rest) => prefix.contains('/') || rest.starts_with('/'),
            None => false,
        }
    }

    /// The key as text.
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
    /// Its version, larger after each write.
    pub version: ObjectVersion,
    /// Its value, at most a megabyte.
    pub value: Vec<u8>,
}

/// What a write expects to find; it has no effect when it finds something else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No object of that key.
    Absent,
    /// The object at this version.
    Version(ObjectVersion),
}

/// All objects under a prefix at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// From where a watch goes on.
    pub revision: Revision,
    /// The objects in the order of their keys.
    pub objects: Vec<Object>,
}

/// One change under a watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key that changed.
    pub key: ObjectKey,
    /// Its new state, or none when it was deleted.
    pub object: Option<Object>,
}

/// The changes since a revision; none when the wait ended first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// From where the next watch goes on.
    pub revision: Revision,
    /// The changes in order.
    pub changes: Vec<Change>,
}

/// An instance in the platform's list, which lags behind what is true.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name.
    pub name: InstanceName,
    /// Where callers connect.
    pub addr: SocketAddr,
    /// Where other instances connect.
    pub peer_addr: SocketAddr,
    /// The failure domain it stands in.
    pub failure_domain: FailureDomain,
    /// The region of that failure domain.
    pub region: Region,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// The object was not what the write expected; the write had no effect.
    #[error("the object is not at the expected version")]
    Conflict,
    /// The platform has forgotten the changes since that revision.
    #[error("the history since that revision is gone")]
    Compacted,
    /// The value is larger than the platform takes; the write had no effect.
    #[error("the value is too large")]
    TooLarge,
    /// The platform refused because of its load; the call had no effect.
    #[error("the platform sheds load")]
    Busy,
    /// The platform does not take such a call; it had no effect.
    #[error("the platform rejects the call: {0}")]
    Rejected(String),
    /// No connection could be made; the call had no effect.
    #[error("could not reach the platform: {0}")]
    Unreachable(String),
    /// The reply was lost; a write may or may not have taken effect.
    #[error("the platform's reply was lost: {0}")]
    Unsettled(String),
    /// The platform replied with something that is not of its protocol.
    #[error("the platform's reply could not be read: {0}")]
    Protocol(String),
}

impl PlatformError {
    /// Whether a write that failed so is known to have had no effect. After any other
    /// error its sender has to read back what is true.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::Conflict
            | Self::Compacted
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
    /// The instances that the platform believes are there.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>>;

    /// The object of that key, if there is one.
    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>>;

    /// Every object whose key begins with `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>>;

    /// Writes an object that is as expected, and says its new version.
    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Vec<u8>,
        expected: Expected,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>>;

    /// Deletes an object that is at that version.
    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// The changes under `prefix` after `from`, waiting at most `wait` for one.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
        wait: Span,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>>;
}
