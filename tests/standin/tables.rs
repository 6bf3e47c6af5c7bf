//! The shared tables of one instance that query decisions read, for models and measurements.

use hyssopwalk::{ClassBudgets, Context, Limits, Suspects, Timestamp, Upstreams};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// One instance's tables.
#[derive(Debug)]
pub(crate) struct Tables {
    budgets: ClassBudgets,
    suspects: Suspects,
    pub(crate) limits: Limits,
    pub(crate) upstreams: Upstreams,
    pub(crate) rng: SmallRng,
}

impl Tables {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            budgets: ClassBudgets::default(),
            suspects: Suspects::default(),
            limits: Limits::default(),
            upstreams: Upstreams::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the decision context at `now`, without a snapshot to restart on.
    pub(crate) fn context(&mut self, now: Timestamp) -> Context<'_> {
        Context {
            now,
            snapshots: &[],
            budgets: &mut self.budgets,
            suspects: &mut self.suspects,
            limits: &mut self.limits,
            upstreams: &mut self.upstreams,
            rng: &mut self.rng,
        }
    }
}
