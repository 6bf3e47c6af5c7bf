//! The map type of tables that are read several times per leg.
//!
//! Keys are names that come from the platform and are few, so a fast, randomly seeded
//! hash is sufficient; see `docs/DESIGN.md`, "Cost of a decision".

use foldhash::fast::RandomState;
use indexmap::IndexMap;

/// A map with a fast hash that keeps the order of insertion.
pub(crate) type Table<K, V> = IndexMap<K, V, RandomState>;
