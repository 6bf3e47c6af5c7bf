//! What the platform's objects mean, which only its adapter knows.

use std::fmt::Debug;

use super::ReplicaEntry;
use crate::process::{ObjectKey, PlatformError};
use crate::version::RouteTable;

/// What an object of the platform states: an edge of the process.
pub(crate) trait Meaning: Debug + Send + Sync {
    /// The prefixes of the objects that are followed.
    fn prefixes(&self) -> &'static [&'static str];

    /// Reads one object.
    ///
    /// # Errors
    /// [`PlatformError::Protocol`] when it states nothing that can be used.
    fn read(&self, key: &ObjectKey, value: &[u8]) -> Result<Stated, PlatformError>;
}

/// What one object states.
#[derive(Clone, Debug)]
pub(crate) enum Stated {
    /// A configuration.
    Routes(RouteTable),
    /// A replica.
    Replica(ReplicaEntry),
}
