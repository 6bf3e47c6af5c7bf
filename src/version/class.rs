//! Query classes and their targets.

use crate::types::{ClassName, IndexName, Ratio, Span};

/// A class of queries: the index it queries and its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The name callers send.
    pub name: ClassName,
    /// The index whose shards are all queried by a query of this class.
    pub index: IndexName,
    /// The targets that operators set for the class.
    pub targets: Targets,
}

/// The targets of a class, which are the only parameters that operators set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Targets {
    /// Target for the 99th percentile of the time in which an answer reaches the caller.
    pub latency: Span,
    /// Minimum coverage of the key space; an answer below it counts as incomplete.
    pub coverage: Ratio,
    /// Maximum share of extra legs (those beyond the first one to a shard) among all legs.
    pub extra_load: Ratio,
    /// Whether a request may run more than once; one that must not is an order.
    pub repeatable: bool,
}
