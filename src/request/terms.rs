//! What a front end asks of one query beyond its class, and when a part of the answer is
//! worth more than the rest that may still come.

use super::{LegReply, Part, Query};
use crate::types::{Coverage, Fingerprint, Span, Timestamp};

const MOST_LEGS: u32 = 8;
/// In the due times of shards, the one that stands for the whole query.
const WHOLE: usize = usize::MAX;
/// An answer that leaves this long after its aim still counts as in time for waking.
const WAKE_SLACK: Span = Span::from_millis(10);

/// The terms of one query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// What the request is, whoever sends it again; by default its class and body.
    pub fingerprint: Option<Fingerprint>,
    /// How many legs of one shard may run.
    pub most_runs: u32,
    /// How many legs one shard is sent, also those that did not run.
    pub most_legs: u32,
    /// Until when an answer is worth its whole. From then on a part that meets the
    /// target of coverage is given out instead of waiting for the rest.
    pub aim: Option<Timestamp>,
    /// Whether an upstream's own failure is passed on when nothing better comes.
    pub passes_failures: bool,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            fingerprint: None,
            most_runs: MOST_LEGS,
            most_legs: MOST_LEGS,
            aim: None,
            passes_failures: false,
        }
    }
}

impl Query {
    /// Asks to be woken when a part of the answer may be worth giving out.
    pub(super) fn plan_early_answer(&mut self) {
        if let Some(aim) = self.terms.aim {
            self.due.add(aim, WHOLE);
            self.due.add(self.patience_ends(aim), WHOLE);
        }
    }

    /// Whether what has come is worth more now than with the rest. At the aim it is, since
    /// the worth of an answer falls there. Beyond it little is lost by waiting as long
    /// again for the missing shards.
    pub(super) fn answers_early(&self, now: Timestamp) -> bool {
        let Some(aim) = self.terms.aim else {
            return false;
        };
        let at_aim = now >= aim && now < aim + WAKE_SLACK;
        let out_of_patience = now >= self.patience_ends(aim);
        (at_aim || out_of_patience) && self.meets_coverage()
    }

    /// Whether so many shards are given up that no answer can come of it. Its caller is
    /// told at once, and what it would still have taken goes to other queries.
    pub(super) fn is_lost(&self) -> bool {
        self.terms.aim.is_some() && self.previous.is_none() && !self.reaches_target()
    }

    /// Until when a leg that is sent now is worth the most.
    pub(super) fn worthwhile_until(&self, now: Timestamp) -> Timestamp {
        match self.terms.aim {
            Some(aim) if now < aim => aim.min(self.deadline),
            _ => self.deadline,
        }
    }

    /// Keeps an upstream's own failure for the caller.
    pub(super) fn keep_failure(&mut self, shard_at: usize, reply: LegReply) {
        if !self.terms.passes_failures {
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

    fn patience_ends(&self, aim: Timestamp) -> Timestamp {
        aim + aim.since(self.started)
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
#[path = "terms_tests.rs"]
mod terms_tests;
