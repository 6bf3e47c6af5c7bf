//! The extra load that each class may still cause by hedges and retries.
//!
//! A first leg earns a part of a token and every further leg spends a whole one, so
//! that extra legs stay a fixed part of all legs however many queries fail at once.
//! Bounds of tokens are stated as the legs that earn them; see `docs/DESIGN.md`,
//! "Extra load".

use super::Table;
use super::allowance::Allowances;
use crate::types::ClassName;
use crate::version::Class;

const LEAST_BOUND_LEGS: f64 = 2_000.0;
const BOUND_QUERIES: f64 = 8.0;
const START_PART: f64 = 0.4;
const RESERVE_PART: f64 = 0.2;
const MOVES_PART: f64 = 0.1;

/// What a leg beyond a shard's first is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Extra {
    /// The first leg is slow. Leaves a reserve of tokens for retries.
    Hedge,
    /// The leg before may have run and has no reply.
    Retry,
    /// The leg before provably did not run, so this is no work done twice.
    Move,
}

/// The tokens of every class.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    by_class: Table<ClassName, Tokens>,
    /// The repeats that services bear, where operators state them for each service.
    pub services: Allowances,
}

#[derive(Clone, Copy, Debug)]
struct Tokens {
    repeats: f64,
    moves: f64,
    /// The tokens that so many legs earn are kept at most.
    bound_legs: f64,
}

impl Budgets {
    /// Notes to how many shards a query of the class goes, so that what one query earns
    /// can be kept until it is needed.
    pub fn widen(&mut self, class: &Class, shards: usize) {
        #[expect(clippy::cast_precision_loss, reason = "shards are few thousands")]
        let bound_legs = (shards as f64 * BOUND_QUERIES).max(LEAST_BOUND_LEGS);
        let known = self.by_class.get(&class.name);
        if known.is_some_and(|tokens| tokens.bound_legs >= bound_legs) {
            return;
        }
        let tokens = Tokens::at_start(class, bound_legs);
        self.by_class.insert(class.name.clone(), tokens);
    }

    /// Notes that a shard's first leg was sent.
    pub fn earn(&mut self, class: &Class) {
        let part = class.targets.extra_load.as_f64();
        let tokens = self.of(class);
        tokens.repeats = (tokens.repeats + part).min(part * tokens.bound_legs);
        tokens.moves = (tokens.moves + MOVES_PART).min(MOVES_PART * tokens.bound_legs);
    }

    /// Takes a token for one leg beyond the first, if there is one.
    pub fn take(&mut self, class: &Class, extra: Extra) -> bool {
        let part = class.targets.extra_load.as_f64();
        let tokens = self.of(class);
        let reserve = part * tokens.bound_legs * RESERVE_PART;
        match extra {
            Extra::Hedge => spend(&mut tokens.repeats, reserve),
            Extra::Retry => spend(&mut tokens.repeats, 0.0),
            Extra::Move => spend(&mut tokens.moves, 0.0),
        }
    }

    fn of(&mut self, class: &Class) -> &mut Tokens {
        if !self.by_class.contains_key(&class.name) {
            let tokens = Tokens::at_start(class, LEAST_BOUND_LEGS);
            self.by_class.insert(class.name.clone(), tokens);
        }
        &mut self.by_class[&class.name]
    }
}

impl Tokens {
    fn at_start(class: &Class, bound_legs: f64) -> Self {
        let start_legs = bound_legs * START_PART;
        Self {
            repeats: class.targets.extra_load.as_f64() * start_legs,
            moves: MOVES_PART * start_legs,
            bound_legs,
        }
    }
}

fn spend(tokens: &mut f64, reserve: f64) -> bool {
    let enough = *tokens >= 1.0 + reserve;
    if enough {
        *tokens -= 1.0;
    }
    enough
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod budget_tests;
