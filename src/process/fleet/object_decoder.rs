//! Decoding of the platform's objects, whose format only the platform's adapter knows.

use std::fmt::Debug;

use super::ReplicaEntry;
use crate::process::{ObjectKey, PlatformError};
use crate::version::RouteTable;

/// Decodes the platform's objects. This is an edge of the process.
pub(crate) trait ObjectDecoder: Debug + Send + Sync {
    /// Returns the prefixes of the objects to follow.
    fn prefixes(&self) -> &'static [&'static str];

    /// Decodes one object.
    ///
    /// # Errors
    /// [`PlatformError::Protocol`] when the object's value cannot be used.
    fn read(&self, key: &ObjectKey, value: &[u8]) -> Result<DecodedObject, PlatformError>;
}

/// A decoded object.
#[derive(Clone, Debug)]
pub(crate) enum DecodedObject {
    /// A configuration.
    Routes(RouteTable),
    /// A replica.
    Replica(ReplicaEntry),
}
