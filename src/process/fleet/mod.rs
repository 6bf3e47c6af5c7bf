//! How instances on a platform without a load balancer and without disks learn of each
//! other and of the configuration, with one of them reading the store for the rest.
//!
//! Decisions are made in [`Fleet`], [`Book`] and [`Roster`]; [`Node`] carries them out.
//! See `docs/DESIGN.md`, "On the platform".

mod addresses;
mod agree;
mod book;
mod feed;
mod follow;
mod meaning;
mod members;
mod node;
mod presence;
mod roster;
mod serve;
mod silence;
mod telling;

#[cfg(test)]
mod members_tests;

pub(crate) use book::{Book, Entry, EntryState};
pub(crate) use meaning::{Meaning, Stated};
pub(crate) use members::{Fleet, Parent};
pub(crate) use node::{Node, NodeSettings};
pub(crate) use presence::Presence;
pub(crate) use roster::{ReplicaEntry, Roster};
pub(crate) use serve::{Answered, RouteRequest};
pub(crate) use silence::{Silence, SilenceReport, Silent};
pub(crate) use telling::{Follow, News, Reason};
