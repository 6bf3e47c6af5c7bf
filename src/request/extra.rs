//! The legs beyond the first: hedges, and what waits for proof of innocence.

use super::hedge;
use super::leg::Leg;
use super::shard::Phase;
use super::{Action, Context, Query};
use crate::process::{Choice, Extra};
use crate::types::Span;

const LOOK_AGAIN: Span = Span::from_millis(2);
const LOOKS_IN_AGE: u64 = 4;
const LEAST_REPLIED_PART: usize = 2;

impl Query {
    /// Notes when the only leg of a shard is to be hedged, if ever.
    pub(super) fn plan_hedge(&mut self, cx: &mut Context<'_>, shard_at: usize) {
        if !self.class.targets.repeatable {
            return;
        }
        if let Some(after) = self.hedge_after(cx, shard_at) {
            self.wake_shard_at(shard_at, cx.now + after);
        }
    }

    /// How long a leg that is sent now is waited for; one estimate serves all legs of a
    /// moment that go as far.
    fn hedge_after(&mut self, cx: &Context<'_>, shard_at: usize) -> Option<Span> {
        let least = self.least_of_only_leg(cx, shard_at);
        if let Some((at, far, after)) = self.hedge_plan
            && (at, far) == (cx.now, least)
        {
            return after;
        }
        let class = cx.upstreams.class(&self.class.name);
        let left = self.worthwhile_until(cx.now).since(cx.now);
        let after = hedge::hedge_after(class, self.class.targets.extra_load, left, least);
        self.hedge_plan = Some((cx.now, least, after));
        after
    }

    /// Sends a second leg if that can still help and costs no more than is allowed;
    /// looks again a little later while it may not be sent yet.
    pub(super) fn hedge(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(age) = self.age_of_only_leg(cx, shard_at) else {
            return;
        };
        if !self.can_finish(cx) || !self.shards[shard_at].has_legs_left(&self.terms) {
            return;
        }
        let chosen = if self.may_hedge() {
            self.choose(cx, shard_at)
        } else {
            Choice::RoomAt(cx.now)
        };
        match chosen {
            Choice::Replica(replica_at) if self.take_extra(cx, shard_at, Extra::Hedge) => {
                self.send(cx, shard_at, replica_at, Some(Extra::Hedge), actions);
            }
            Choice::RoomAt(at) if at > cx.now => self.wake_shard_at(shard_at, at),
            Choice::Replica(_) | Choice::RoomAt(_) => {
                let pause = Span(age.0 / LOOKS_IN_AGE).max(LOOK_AGAIN);
                self.wake_shard_at(shard_at, cx.now + pause);
            }
            Choice::Nobody { .. } => {}
        }
    }

    fn least_of_only_leg(&self, cx: &Context<'_>, shard_at: usize) -> Span {
        let mut open = self.shards[shard_at].open_legs();
        let leg = open.next().and_then(|id| self.open_leg(id));
        leg.map_or(Span::ZERO, |leg| {
            let upstream = &self.snapshot.shards[shard_at].replicas[leg.replica_at];
            cx.upstreams.least_to(cx.now, upstream)
        })
    }

    fn age_of_only_leg(&self, cx: &Context<'_>, shard_at: usize) -> Option<Span> {
        let mut open = self.shards[shard_at].open_legs();
        let leg = self.open_leg(open.next()?)?;
        let alone = open.next().is_none();
        alone.then(|| cx.now.since(leg.sent))
    }

    /// Whether a slow leg stands out: when most shards have yet to reply, everything
    /// is slow and more legs would make it worse. A suspected query sends none.
    fn may_hedge(&self) -> bool {
        let most_replied = self.replied * LEAST_REPLIED_PART >= self.shards.len() - 1;
        most_replied && !self.crashes.suspected()
    }

    /// Notes that an upstream crashed while it ran this query.
    pub(super) fn on_crash(&mut self, cx: &mut Context<'_>, leg: Leg) {
        let upstream = &self.snapshot.shards[leg.shard_at].replicas[leg.replica_at];
        if self.crashes.on_crash(&upstream.name) {
            cx.suspects.crashed(cx.now, self.fingerprint, leg.sent);
        }
    }

    /// Sends the legs that waited for a reply to the query.
    pub(super) fn release_held(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        for shard_at in std::mem::take(&mut self.held) {
            if let Phase::Held(extra) = self.shards[shard_at].phase {
                self.attempt(cx, shard_at, extra, actions);
            }
        }
    }

    /// Nothing is under way that could prove the query's innocence: asks one more
    /// upstream if its shard keeps a replica that the query did not touch, else gives up.
    pub(super) fn probe_held(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        if cx.suspects.is_poison(cx.now, self.fingerprint) {
            self.crashes.on_known_poison();
        }
        for shard_at in std::mem::take(&mut self.held) {
            let Phase::Held(extra) = self.shards[shard_at].phase else {
                continue;
            };
            let replicas = self.snapshot.shards[shard_at].replicas.len();
            let spares_one = self.legs.is_empty() || self.shards[shard_at].untouched(replicas) > 1;
            if self.open_legs > 0 {
                self.held.push(shard_at);
            } else if spares_one && !self.crashes.condemned() {
                self.attempt_unheld(cx, shard_at, extra, actions);
            } else {
                self.give_up(shard_at);
            }
        }
    }
}
