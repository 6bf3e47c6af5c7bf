//! The integration with the users' platform: translates its settings, its store and the
//! protocols of its callers and replicas to and from hyssopwalk's own types.
//!
//! This module makes no decisions, and no other module depends on the platform's names. See
//! `docs/DESIGN.md`, "On the platform".

mod answer;
mod args;
mod carried;
mod directory;
mod front;
mod objects;
mod payload;
mod reload;
mod replica_pool;
mod replicas;
mod reply;
mod settings;
mod signals;
mod store;
mod store_connections;
mod store_wire;
mod tcp;

pub(crate) use args::PlatformArgs;
pub use store::ObjectStore;
