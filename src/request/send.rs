//! Sends, ends and cancels the legs of a query.

use std::sync::Arc;

use super::hedge;
use super::leg::Leg;
use super::shard::Phase;
use super::{Action, Context, LegFailure, LegRequest, Query};
use crate::error::Ran;
use crate::process::{Choice, ExtraLeg, LegEnd, SelectionRequest};
use crate::types::{LegId, Timestamp};

impl Query {
    /// Sends a leg to a shard that has none in flight. Quarantines the leg instead if the
    /// query is suspected of crashing upstreams, and waits if no replica has capacity.
    pub(super) fn attempt(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        extra: Option<ExtraLeg>,
        actions: &mut Vec<Action>,
    ) {
        if self.crashes.is_suspect() {
            self.shards[shard_at].phase = Phase::Quarantined(extra);
            self.quarantined.push(shard_at);
            return;
        }
        self.attempt_even_if_suspected(cx, shard_at, extra, actions);
    }

    /// Like `attempt`, but sends the leg even if the query is suspected.
    pub(super) fn attempt_even_if_suspected(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        extra: Option<ExtraLeg>,
        actions: &mut Vec<Action>,
    ) {
        match self.choose(cx, shard_at) {
            Choice::Replica(replica_at) => {
                if extra.is_none_or(|extra| self.admit_extra(cx, shard_at, extra)) {
                    self.send(cx, shard_at, replica_at, extra, actions);
                } else {
                    self.abandon_shard(shard_at);
                }
            }
            Choice::RoomAt(at) => self.wait_for_capacity(cx, shard_at, extra, at),
            Choice::NoReplica { gone } => {
                self.snapshot_unavailable |= gone;
                self.abandon_shard(shard_at);
            }
        }
    }

    /// Takes budget for an extra leg, if the leg is likely to reply in time.
    fn admit_extra(&self, cx: &mut Context<'_>, shard_at: usize, extra: ExtraLeg) -> bool {
        self.can_finish(cx) && self.take_extra_budget(cx, shard_at, extra)
    }

    /// Takes one extra leg from the budget of the shard's service, or of the class if the
    /// shard has no service. Returns whether the budget allowed it.
    pub(super) fn take_extra_budget(
        &self,
        cx: &mut Context<'_>,
        shard_at: usize,
        extra: ExtraLeg,
    ) -> bool {
        match &self.snapshot.shards[shard_at].service {
            Some(service) => cx.budgets.services.take(cx.now, service, extra),
            None => cx.budgets.take(&self.class, extra),
        }
    }

    /// Records the request in the retry budget of every service that it goes to.
    pub(super) fn record_request(&self, cx: &mut Context<'_>) {
        for shard in &self.snapshot.shards {
            if let Some(service) = &shard.service {
                cx.budgets.services.request(cx.now, service);
            }
        }
    }

    /// Returns the kind of extra leg that follows a failed one. A leg that was never sent
    /// puts no load on a service, so its replacement keeps its kind.
    pub(super) fn extra_after(&self, leg: Leg, failure: LegFailure) -> Option<ExtraLeg> {
        let never_sent = matches!(failure, LegFailure::Unreachable | LegFailure::NoShare);
        let by_service = self.snapshot.shards[leg.shard_at].service.is_some();
        match failure.ran() {
            Ran::NotRun if never_sent && by_service => leg.extra,
            Ran::NotRun => Some(ExtraLeg::Move),
            Ran::MayHaveRun => Some(ExtraLeg::Retry),
        }
    }

    /// Whether a leg that is sent now is more likely than not to reply before the deadline.
    pub(super) fn can_finish(&self, cx: &Context<'_>) -> bool {
        let latency = cx.upstreams.class(&self.class.name);
        hedge::can_finish(latency, self.deadline.since(cx.now))
    }

    pub(super) fn choose(&self, cx: &mut Context<'_>, shard_at: usize) -> Choice {
        let selection = SelectionRequest {
            replicas: &self.snapshot.shards[shard_at].replicas,
            tried: self.shards[shard_at].tried(),
            snapshot: self.snapshot.id,
        };
        cx.upstreams.choose(cx.now, cx.limits, selection, cx.rng)
    }

    fn wait_for_capacity(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        extra: Option<ExtraLeg>,
        at: Timestamp,
    ) {
        let latency = cx.upstreams.class(&self.class.name);
        if !hedge::can_finish(latency, self.deadline.since(at)) {
            self.record_min_wait(cx, shard_at);
            self.abandon_shard(shard_at);
            return;
        }
        let shard = &mut self.shards[shard_at];
        let since = match shard.phase {
            Phase::Waiting(_, since) => since,
            _ => cx.now,
        };
        shard.phase = Phase::Waiting(extra, since);
        self.wake_shard_at(shard_at, at);
    }

    pub(super) fn wake_shard_at(&mut self, shard_at: usize, at: Timestamp) {
        self.shards[shard_at].next_wake = Some(at);
        self.timers.add(at, shard_at);
    }

    pub(super) fn send(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        replica_at: usize,
        extra: Option<ExtraLeg>,
        actions: &mut Vec<Action>,
    ) {
        self.record_wait(cx, shard_at);
        let shard = &self.snapshot.shards[shard_at];
        let upstream = Arc::clone(&shard.replicas[replica_at]);
        let id = LegId(u32::try_from(self.legs.len()).unwrap_or(u32::MAX));
        cx.limits.take(cx.now, &upstream);
        cx.upstreams.begin(cx.now, &upstream);
        if extra.is_none() {
            cx.budgets.earn(&self.class);
        }
        actions.push(Action::Send(LegRequest {
            query: self.id,
            leg: id,
            upstream,
            snapshot: self.snapshot.id,
            shard: shard.id,
            range: shard.range,
            repeatable: self.class.targets.repeatable,
            extra,
            time_left: self.deadline.since(cx.now),
            body: Arc::clone(&self.body),
        }));
        self.legs.push(Leg {
            shard_at,
            replica_at,
            sent: cx.now,
            open: true,
            extra,
        });
        self.open_legs += 1;
        self.shards[shard_at].open(id, replica_at);
        self.shards[shard_at].phase = Phase::InFlight;
        if extra != Some(ExtraLeg::Hedge) {
            self.schedule_hedge(cx, shard_at);
        }
    }

    pub(super) fn open_leg(&self, id: LegId) -> Option<Leg> {
        let leg = *self.legs.get(id.0 as usize)?;
        leg.open.then_some(leg)
    }

    /// Ends a leg that is in flight and releases its slot.
    pub(super) fn end_leg(&mut self, cx: &mut Context<'_>, id: LegId, end: LegEnd) -> Option<Leg> {
        let leg = self.open_leg(id)?;
        self.legs[id.0 as usize].open = false;
        self.open_legs -= 1;
        self.shards[leg.shard_at].close(id);
        let upstream = &self.snapshot.shards[leg.shard_at].replicas[leg.replica_at];
        let took = cx.now.since(leg.sent);
        cx.limits.observe(cx.now, &upstream.name, end, took);
        cx.limits.release(cx.now, &upstream.name, took);
        cx.upstreams
            .end(cx.now, upstream, &self.class.name, took, end);
        if let LegEnd::Failed(failure) = end {
            self.not_run += usize::from(failure.ran() == Ran::NotRun);
            if failure == LegFailure::SnapshotGone {
                cx.upstreams
                    .note_snapshot_gone(cx.now, upstream, self.snapshot.id);
            }
        }
        Some(leg)
    }

    pub(super) fn cancel_legs_of(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        actions: &mut Vec<Action>,
    ) {
        for id in self.shards[shard_at].open_legs() {
            self.end_leg(cx, id, LegEnd::Cancelled);
            actions.push(Action::Cancel(id));
        }
    }

    /// Cancels all legs and timers.
    pub(super) fn cancel_all(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        self.timers.clear();
        for shard_at in 0..self.shards.len() {
            self.cancel_legs_of(cx, shard_at, actions);
            self.record_min_wait(cx, shard_at);
        }
    }

    pub(super) fn abandon_shard(&mut self, shard_at: usize) {
        let shard = &mut self.shards[shard_at];
        if !shard.is_resolved() {
            shard.phase = Phase::Abandoned;
            self.unresolved -= 1;
            self.missing_keys += self.snapshot.shards[shard_at].range.width();
        }
    }

    /// Records how long the first leg of a shard waited for capacity.
    fn record_wait(&self, cx: &mut Context<'_>, shard_at: usize) {
        let since = match self.shards[shard_at].phase {
            Phase::Waiting(None, since) => since,
            Phase::New => cx.now,
            _ => return,
        };
        let waited = cx.now.since(since);
        cx.upstreams.class_mut(&self.class.name).waits.learn(waited);
    }

    /// Records a lower bound of that wait, for a first leg that is never sent.
    fn record_min_wait(&self, cx: &mut Context<'_>, shard_at: usize) {
        if let Phase::Waiting(None, since) = self.shards[shard_at].phase {
            let waited = cx.now.since(since);
            let waits = &mut cx.upstreams.class_mut(&self.class.name).waits;
            waits.learn_at_least(waited);
        }
    }
}
