//! Data that lives for one version: the classes and routes of a configuration, the shards of a
//! snapshot, and the directory that combines them.
//!
//! These values are immutable and shared by reference, so that a request keeps the version it
//! started with even if a newer one is published in the meantime.

mod class;
mod classes;
mod classes_wire;
mod directory;
mod routes;
mod snapshot;
mod wire;

#[cfg(test)]
mod routes_tests;
#[cfg(test)]
mod version_tests;

pub use class::{Class, Targets};
pub use classes_wire::{ChangeWire, ClassWire, ClassesWire};
pub use directory::{Directory, Index};
pub use snapshot::{Shard, Snapshot, UpstreamSpec};
pub use wire::{IndexWire, ShardWire, SnapshotWire, UpstreamWire, WireError};

pub(crate) use routes::{CallerLimits, Gather, Route, RouteTable, RouteTo, Service};

pub(crate) use classes::{AcceptedChange, ClassEntry, Classes};
