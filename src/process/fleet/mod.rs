//! How instances on a platform without a load balancer and without disks learn of each
//! other and of the configuration, with one of them reading the store for the rest.
//!
//! Decisions are made in [`Fleet`], [`ObjectCache`] and [`ReplicaRegistry`]; [`Node`]
//! carries them out. See `docs/DESIGN.md`, "On the platform".

mod addresses;
mod apply;
mod avoided;
mod chunks;
mod contact;
mod delegate;
mod entry;
mod follow;
mod instance_record;
mod large_objects;
mod liveness;
mod marks;
mod members;
mod messages;
mod node;
mod object_cache;
mod object_decoder;
mod outage;
mod parent;
mod replica_registry;
mod restore;
mod serve;
mod silence;
mod silence_agreement;
mod store_reader;
mod updates;

#[cfg(test)]
mod cut_off_tests;
#[cfg(test)]
mod era_cost_tests;
#[cfg(test)]
mod era_tests;
#[cfg(test)]
mod fleet_model;
#[cfg(test)]
mod members_tests;
#[cfg(test)]
mod parent_capacity_tests;
#[cfg(test)]
mod shared_link_tests;
#[cfg(test)]
mod slow_link_tests;

pub(crate) use chunks::Chunk;
pub(crate) use entry::{Entry, EntryState, EntryVersion};
pub(crate) use instance_record::InstanceRecord;
pub(crate) use large_objects::LargeObject;
pub(crate) use members::Fleet;
pub(crate) use messages::{FollowReason, FollowRequest, Updates};
pub(crate) use node::{Node, NodeSettings};
pub(crate) use object_cache::ObjectCache;
pub(crate) use object_decoder::{DecodedObject, ObjectDecoder};
pub(crate) use parent::{Freshness, Parent};
pub(crate) use replica_registry::{ReplicaEntry, ReplicaRegistry};
pub(crate) use restore::WriterOrder;
pub(crate) use serve::{RouteRequest, RouteResponse};
pub(crate) use silence::{SilenceReport, SilenceTracker, SilentReplica};
