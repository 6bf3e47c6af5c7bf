//! Classes of work and their targets.

use crate::types::{ClassName, IndexName, Ratio, Span};

/// A class of work: what it queries, and the targets it is steered by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The name callers send.
    pub name: ClassName,
    /// The index whose every shard a query of this class reaches.
    pub index: IndexName,
    /// What operators ask of the class.
    pub targets: Targets,
}

/// The targets of a class; operators steer through these alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Targets {
    /// Within this time 99 of 100 answers are to reach the caller.
    pub latency: Span,
    /// An answer that covers less of the key space counts as incomplete.
    pub coverage: Ratio,
    /// How many legs beyond one a shard may be sent, as a part of all legs.
    pub extra_load: Ratio,
    /// Whether a request may run more than once; a request that may not is an order.
    pub repeatable: bool,
}
