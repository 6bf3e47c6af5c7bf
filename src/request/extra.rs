//! Extra legs of a shard: hedges, and legs that wait until a reply clears the query.

use super::hedge;
use super::leg::Leg;
use super::shard::Phase;
use super::{Action, Context, Query};
use crate::process::{Choice, ExtraLeg};
use crate::types::Span;

/// Shortest delay before a hedge that could not be sent is tried again.
const MIN_HEDGE_RECHECK: Span = Span::from_millis(2);
/// The delay before such a hedge is tried again is the age of the leg divided by this.
const HEDGE_RECHECK_DIVISOR: u64 = 4;
/// Hedges are sent once one in this many of the other shards has replied.
const MIN_REPLIED_DIVISOR: usize = 2;

impl Query {
    /// Sets the timer that hedges the only leg of a shard, if a hedge is worthwhile.
    pub(super) fn schedule_hedge(&mut self, cx: &mut Context<'_>, shard_at: usize) {
        if !self.class.targets.repeatable {
            return;
        }
        if let Some(after) = self.hedge_after(cx, shard_at) {
            self.wake_shard_at(shard_at, cx.now + after);
        }
    }

    /// Returns the delay after which a leg that is sent now is hedged. Reuses the last
    /// estimate for legs of the same moment and the same minimum latency.
    fn hedge_after(&mut self, cx: &Context<'_>, shard_at: usize) -> Option<Span> {
        let min_latency = self.min_latency_of_only_leg(cx, shard_at);
        if let Some((at, latency, after)) = self.hedge_estimate
            && (at, latency) == (cx.now, min_latency)
        {
            return after;
        }
        let class = cx.upstreams.class(&self.class.name);
        let left = self.effective_deadline(cx.now).since(cx.now);
        let after = hedge::hedge_after(class, self.class.targets.extra_load, left, min_latency);
        self.hedge_estimate = Some((cx.now, min_latency, after));
        after
    }

    /// Sends a second leg if it can reply in time and the budget allows it; sets a timer to
    /// try again if it may not be sent yet.
    pub(super) fn hedge(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(age) = self.age_of_only_leg(cx, shard_at) else {
            return;
        };
        if !self.can_finish(cx) || !self.shards[shard_at].has_legs_left(&self.options) {
            return;
        }
        let chosen = if self.may_hedge() {
            self.choose(cx, shard_at)
        } else {
            Choice::RoomAt(cx.now)
        };
        match chosen {
            Choice::Replica(replica_at)
                if self.take_extra_budget(cx, shard_at, ExtraLeg::Hedge) =>
            {
                self.send(cx, shard_at, replica_at, Some(ExtraLeg::Hedge), actions);
            }
            Choice::RoomAt(at) if at > cx.now => self.wake_shard_at(shard_at, at),
            Choice::Replica(_) | Choice::RoomAt(_) => {
                let pause = Span(age.0 / HEDGE_RECHECK_DIVISOR).max(MIN_HEDGE_RECHECK);
                self.wake_shard_at(shard_at, cx.now + pause);
            }
            Choice::NoReplica { .. } => {}
        }
    }

    fn min_latency_of_only_leg(&self, cx: &Context<'_>, shard_at: usize) -> Span {
        let mut open = self.shards[shard_at].open_legs();
        let leg = open.next().and_then(|id| self.open_leg(id));
        leg.map_or(Span::ZERO, |leg| {
            let upstream = &self.snapshot.shards[shard_at].replicas[leg.replica_at];
            cx.upstreams.min_latency_to(cx.now, upstream)
        })
    }

    fn age_of_only_leg(&self, cx: &Context<'_>, shard_at: usize) -> Option<Span> {
        let mut open = self.shards[shard_at].open_legs();
        let leg = self.open_leg(open.next()?)?;
        let alone = open.next().is_none();
        alone.then(|| cx.now.since(leg.sent))
    }

    /// Whether the slow leg is an exception. While most shards have yet to reply,
    /// everything is slow and more legs would make it worse. A suspected query sends no
    /// hedges.
    fn may_hedge(&self) -> bool {
        let most_replied = self.replied * MIN_REPLIED_DIVISOR >= self.shards.len() - 1;
        most_replied && !self.crashes.is_suspect()
    }

    /// Records that an upstream crashed while running this query.
    pub(super) fn on_crash(&mut self, cx: &mut Context<'_>, leg: Leg) {
        let upstream = &self.snapshot.shards[leg.shard_at].replicas[leg.replica_at];
        if self.crashes.on_crash(&upstream.name) {
            let request = self.fingerprint;
            cx.suspects
                .crashed(cx.now, request, leg.sent, &upstream.name);
        }
    }

    /// Sends the quarantined legs, after a reply has cleared the query.
    pub(super) fn release_quarantined(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        for shard_at in std::mem::take(&mut self.quarantined) {
            if let Phase::Quarantined(extra) = self.shards[shard_at].phase {
                self.attempt(cx, shard_at, extra, actions);
            }
        }
    }

    /// Called when no leg is in flight whose reply could clear the query. Sends one
    /// quarantined leg if its shard then still has an untried replica, or if it is the
    /// query's first leg. Abandons shards that may not send one.
    pub(super) fn probe_quarantined(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        let is_open_trial = self.options.is_trial && !self.may_have_run();
        if !is_open_trial && cx.suspects.is_poison(cx.now, self.fingerprint) {
            self.crashes.mark_poison();
        }
        for shard_at in std::mem::take(&mut self.quarantined) {
            let Phase::Quarantined(extra) = self.shards[shard_at].phase else {
                continue;
            };
            let replicas = self.snapshot.shards[shard_at].replicas.len();
            let spares_one =
                self.legs.is_empty() || self.shards[shard_at].untried_count(replicas) > 1;
            if self.open_legs > 0 {
                self.quarantined.push(shard_at);
            } else if spares_one && !self.crashes.is_poison() {
                self.attempt_even_if_suspected(cx, shard_at, extra, actions);
            } else {
                self.abandon_shard(shard_at);
            }
        }
    }
}
