//! Token buckets that limit the extra load of hedges, retries and failovers in each class.
//!
//! A shard's first leg adds a fraction of a token and every further leg takes a whole one,
//! so that extra legs stay a fixed fraction of all legs however many queries fail at once.
//! Bucket sizes are stated as the number of first legs that fill them. See
//! `docs/DESIGN.md`, "Extra load".

use super::Table;
use super::service_retry_budget::ServiceRetryBudgets;
use crate::types::ClassName;
use crate::version::Class;

/// A bucket is large enough for the tokens of this many first legs.
const MIN_CAP_LEGS: f64 = 2_000.0;
/// A bucket is large enough for the tokens that this many queries to all shards earn.
const CAP_QUERIES: f64 = 8.0;
const INITIAL_FILL_RATIO: f64 = 0.4;
/// The share of a full bucket that hedges leave for retries.
const RETRY_RESERVE_RATIO: f64 = 0.2;
/// Failovers allowed for each first leg.
const FAILOVER_RATIO: f64 = 0.1;

/// Why a leg is sent after a shard's first leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExtraLeg {
    /// The first leg is slow. Hedges leave a reserve of tokens for retries.
    Hedge,
    /// The previous leg got no reply and may have run.
    Retry,
    /// A failover: the previous leg provably did not run, so no work is done twice.
    Move,
}

/// The token buckets of every class.
#[derive(Clone, Debug, Default)]
pub struct ClassBudgets {
    by_class: Table<ClassName, TokenBuckets>,
    /// The retry budgets of services, for operators that set limits per service.
    pub services: ServiceRetryBudgets,
}

#[derive(Clone, Copy, Debug)]
struct TokenBuckets {
    /// The tokens for hedges and retries.
    repeats: f64,
    /// The tokens for failovers.
    failovers: f64,
    /// The size of both buckets, as the number of first legs that fill them.
    cap_legs: f64,
}

impl ClassBudgets {
    /// Enlarges the buckets of a class for queries to this many shards, so that the tokens
    /// that one query earns are kept until it needs them.
    pub fn enlarge_buckets(&mut self, class: &Class, shards: usize) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "there are a few thousand shards at most"
        )]
        let cap_legs = (shards as f64 * CAP_QUERIES).max(MIN_CAP_LEGS);
        let known = self.by_class.get(&class.name);
        if known.is_some_and(|tokens| tokens.cap_legs >= cap_legs) {
            return;
        }
        let tokens = TokenBuckets::at_start(class, cap_legs);
        self.by_class.insert(class.name.clone(), tokens);
    }

    /// Adds the tokens that a shard's first leg earns.
    pub fn earn(&mut self, class: &Class) {
        let ratio = class.targets.extra_load.as_f64();
        let tokens = self.buckets_mut(class);
        tokens.repeats = (tokens.repeats + ratio).min(ratio * tokens.cap_legs);
        tokens.failovers =
            (tokens.failovers + FAILOVER_RATIO).min(FAILOVER_RATIO * tokens.cap_legs);
    }

    /// Takes the token for one extra leg and returns whether there was one.
    pub fn take(&mut self, class: &Class, extra: ExtraLeg) -> bool {
        let ratio = class.targets.extra_load.as_f64();
        let tokens = self.buckets_mut(class);
        let reserve = ratio * tokens.cap_legs * RETRY_RESERVE_RATIO;
        match extra {
            ExtraLeg::Hedge => take_token(&mut tokens.repeats, reserve),
            ExtraLeg::Retry => take_token(&mut tokens.repeats, 0.0),
            ExtraLeg::Move => take_token(&mut tokens.failovers, 0.0),
        }
    }

    fn buckets_mut(&mut self, class: &Class) -> &mut TokenBuckets {
        if !self.by_class.contains_key(&class.name) {
            let tokens = TokenBuckets::at_start(class, MIN_CAP_LEGS);
            self.by_class.insert(class.name.clone(), tokens);
        }
        &mut self.by_class[&class.name]
    }
}

impl TokenBuckets {
    fn at_start(class: &Class, cap_legs: f64) -> Self {
        let start_legs = cap_legs * INITIAL_FILL_RATIO;
        Self {
            repeats: class.targets.extra_load.as_f64() * start_legs,
            failovers: FAILOVER_RATIO * start_legs,
            cap_legs,
        }
    }
}

fn take_token(tokens: &mut f64, reserve: f64) -> bool {
    let enough = *tokens >= 1.0 + reserve;
    if enough {
        *tokens -= 1.0;
    }
    enough
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod budget_tests;
