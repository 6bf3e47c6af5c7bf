//! The users' platform: its settings, its store, its callers and its replicas, translated
//! to and from hyssopwalk's own words.
//!
//! Nothing is decided here, and no other module knows the platform's names. See
//! `docs/DESIGN.md`, "On the platform".

mod answer;
mod args;
mod directory;
mod front;
mod objects;
mod payload;
mod reload;
mod replicas;
mod reply;
mod settings;
mod store;
mod store_link;
mod store_wire;
mod tcp;

pub(crate) use args::PlatformArgs;
pub use store::ObjectStore;
