//! The extra load that each class may cause by retries and hedges.
//!
//! A first leg earns a part of a token, given by the class's target of extra load; a
//! retry or hedge spends a whole one. So the extra legs stay below that part of all
//! legs however many queries fail at once; see `docs/DESIGN.md`, "Extra load".

use indexmap::IndexMap;

use crate::types::ClassName;
use crate::version::Class;

const START_TOKENS: f64 = 10.0;
const MOST_TOKENS: f64 = 100.0;

/// The tokens of every class.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    tokens: IndexMap<ClassName, f64>,
}

impl Budgets {
    /// Notes a leg that was sent.
    pub fn earn(&mut self, class: &Class) {
        let part = class.targets.extra_load.as_f64();
        let tokens = self.of(class);
        *tokens = (*tokens + part).min(MOST_TOKENS);
    }

    /// Takes a token for one extra leg, if there is one.
    pub fn take(&mut self, class: &Class) -> bool {
        let tokens = self.of(class);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    fn of(&mut self, class: &Class) -> &mut f64 {
        self.tokens
            .entry(class.name.clone())
            .or_insert(START_TOKENS)
    }
}
