//! What lives for a version: the classes of one configuration, the shards of one
//! snapshot, and the directory that joins them.
//!
//! Values here are immutable and shared by reference, so that a request keeps the
//! version it began with whatever is published meanwhile.

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

pub(crate) use routes::{CallerLimits, Gather, Route, RouteTable, RouteTo};

pub(crate) use classes::{AcceptedChange, Classes, SetClass};
