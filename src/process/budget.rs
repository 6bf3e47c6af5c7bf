//! The extra load that each class may still cause by hedges and retries.
//!
//! A first leg earns a part of a token and every further leg spends a whole one, so
//! that extra legs stay a fixed part of all legs however many queries fail at once.
//! Bounds of tokens are stated as the legs that earn them; see `docs/DESIGN.md`,
//! "Extra load".

use super::Table;
use crate::types::ClassName;
use crate::version::Class;

const MOST_LEGS: f64 = 2_000.0;
const START_LEGS: f64 = 800.0;
const RESERVE_LEGS: f64 = 400.0;
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
}

#[derive(Clone, Copy, Debug)]
struct Tokens {
    repeats: f64,
    moves: f64,
}

impl Budgets {
    /// Notes that a shard's first leg was sent.
    pub fn earn(&mut self, class: &Class) {
        let part = class.targets.extra_load.as_f64();
        let tokens = self.of(class);
        tokens.repeats = (tokens.repeats + part).min(part * MOST_LEGS);
        tokens.moves = (tokens.moves + MOVES_PART).min(MOVES_PART * MOST_LEGS);
    }

    /// Takes a token for one leg beyond the first, if there is one.
    pub fn take(&mut self, class: &Class, extra: Extra) -> bool {
        let reserve = class.targets.extra_load.as_f64() * RESERVE_LEGS;
        let tokens = self.of(class);
        match extra {
            Extra::Hedge => spend(&mut tokens.repeats, reserve),
            Extra::Retry => spend(&mut tokens.repeats, 0.0),
            Extra::Move => spend(&mut tokens.moves, 0.0),
        }
    }

    fn of(&mut self, class: &Class) -> &mut Tokens {
        if !self.by_class.contains_key(&class.name) {
            let tokens = Tokens::at_start(class);
            self.by_class.insert(class.name.clone(), tokens);
        }
        &mut self.by_class[&class.name]
    }
}

impl Tokens {
    fn at_start(class: &Class) -> Self {
        Self {
            repeats: class.targets.extra_load.as_f64() * START_LEGS,
            moves: MOVES_PART * START_LEGS,
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
