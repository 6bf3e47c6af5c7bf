//! The map behind tables that are looked up several times for each leg.
//!
//! Names come from the platform and are few, so a fast hash with a random seed is
//! enough; see `docs/DESIGN.md`, "Cost of a decision".

use foldhash::fast::RandomState;
use indexmap::IndexMap;

/// A map in the order of insertion.
pub(crate) type Table<K, V> = IndexMap<K, V, RandomState>;
