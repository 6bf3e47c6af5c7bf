//! How instances on a platform without a balancer and without disks know of each other
//! and of the configuration, with one of them reading the store for the rest.
//!
//! What is decided stands in [`Fleet`], [`Book`] and [`Roster`]; [`Node`] carries it out.
//! See `docs/DESIGN.md`, "On the platform".

mod addresses;
mod book;
mod feed;
mod follow;
mod members;
mod node;
mod roster;
mod serve;
mod telling;

#[cfg(test)]
mod members_tests;

pub(crate) use addresses::Place;
pub(crate) use book::{Book, Entry, EntryState};
pub(crate) use members::{Fleet, Parent, Presence};
pub(crate) use node::{Meaning, Node, NodeSettings, Stated};
pub(crate) use roster::{ReplicaEntry, Roster};
pub(crate) use serve::{Answered, RouteRequest};
pub(crate) use telling::{Follow, News, Reason};
