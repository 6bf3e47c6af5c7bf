//! Decoding of the platform's objects, whose format only the platform's adapter knows.

use std::fmt::Debug;

use super::{ReplicaEntry, WriterOrder};
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

    /// Returns the place of a value in the order of its writer, if it states one.
    fn writer_order(&self, key: &ObjectKey, value: &[u8]) -> Option<WriterOrder>;

    /// Whether an object goes on to hold when the store came back from a copy that lacks it. All
    /// others lapse: whoever wrote them has some time to write them again.
    fn outlives_copy(&self, key: &ObjectKey) -> bool;
}

/// A decoded object.
#[derive(Clone, Debug)]
pub(crate) enum DecodedObject {
    /// A configuration.
    Routes(RouteTable),
    /// A replica.
    Replica(ReplicaEntry),
}
