//! The options that a front end sets for one query beyond its class, and the rules for
//! returning a partial answer early.

use super::{LegReply, Part, Query};
use crate::types::{Coverage, Fingerprint, Span, Timestamp};

const MAX_LEGS: u32 = 8;
/// The shard index of timers that belong to the whole query.
const WHOLE_QUERY: usize = usize::MAX;
/// Tolerance for late wake-ups: a query that is woken this long after its soft deadline
/// still counts as woken at it.
const WAKE_SLACK: Span = Span::from_millis(10);

/// The options of one query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryOptions {
    /// Identifies the request across repetitions, whichever caller sends them; by default a
    /// hash of its class and body.
    pub fingerprint: Option<Fingerprint>,
    /// Maximum number of legs per shard that may run.
    pub max_runs: u32,
    /// Maximum number of legs per shard, including those that did not run.
    pub max_legs: u32,
    /// The time until which an answer earns its full value. From then on a partial answer
    /// that meets the coverage target is returned instead of waiting for the rest.
    pub soft_deadline: Option<Timestamp>,
    /// Whether an error reply from an upstream is returned if no part arrives.
    pub returns_upstream_errors: bool,
    /// Whether one leg may be sent although the request is in quarantine.
    pub is_trial: bool,
}

impl Default for QueryOptions {
    fn default() -> Self {
        Self {
            fingerprint: None,
            max_runs: MAX_LEGS,
            max_legs: MAX_LEGS,
            soft_deadline: None,
            returns_upstream_errors: false,
            is_trial: false,
        }
    }
}

impl Query {
    /// Sets timers for the times at which a partial answer may be returned.
    pub(super) fn plan_early_answer(&mut self) {
        if let Some(soft_deadline) = self.options.soft_deadline {
            self.timers.add(soft_deadline, WHOLE_QUERY);
            self.timers
                .add(self.extended_deadline(soft_deadline), WHOLE_QUERY);
        }
    }

    /// Whether to return the parts received so far. This holds at the soft deadline, where
    /// the value of an answer drops. After it, waiting for the missing shards costs little,
    /// so a partial answer waits until twice the time to the soft deadline has passed.
    pub(super) fn answers_early(&self, now: Timestamp) -> bool {
        let Some(soft_deadline) = self.options.soft_deadline else {
            return false;
        };
        let at_soft_deadline = now >= soft_deadline && now < soft_deadline + WAKE_SLACK;
        let past_extension = now >= self.extended_deadline(soft_deadline);
        (at_soft_deadline || past_extension) && self.meets_coverage()
    }

    /// Whether so many shards are abandoned that the coverage target is out of reach. The
    /// query then ends at once, so its caller does not wait in vain and its remaining legs
    /// leave their capacity to other queries.
    pub(super) fn fails_early(&self) -> bool {
        self.options.soft_deadline.is_some() && self.previous.is_none() && !self.can_reach_target()
    }

    /// The time by which a leg that is sent now should reply: the soft deadline until it has
    /// passed, then the deadline.
    pub(super) fn effective_deadline(&self, now: Timestamp) -> Timestamp {
        match self.options.soft_deadline {
            Some(soft_deadline) if now < soft_deadline => soft_deadline.min(self.deadline),
            _ => self.deadline,
        }
    }

    /// Keeps an error reply from an upstream for the caller, if the options allow it.
    pub(super) fn keep_failure(&mut self, shard_at: usize, reply: LegReply) {
        if !self.options.returns_upstream_errors {
            return;
        }
        let shard = &self.snapshot.shards[shard_at];
        self.failure = Some(Part {
            shard: shard.id,
            range: shard.range,
            head: reply.head,
            body: reply.body,
        });
    }

    /// The time after which a partial answer no longer waits for the missing shards.
    fn extended_deadline(&self, soft_deadline: Timestamp) -> Timestamp {
        soft_deadline + soft_deadline.since(self.started)
    }

    fn meets_coverage(&self) -> bool {
        let replied = |at: &usize| self.shards[*at].is_replied();
        let covered: Coverage = (0..self.shards.len())
            .filter(replied)
            .map(|at| self.snapshot.shards[at].range)
            .collect();
        covered.ratio() >= self.class.targets.coverage && self.replied > 0
    }
}

#[cfg(test)]
#[path = "options_tests.rs"]
mod options_tests;
