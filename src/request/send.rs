//! The sending, ending and cancelling of a query's legs.

use std::sync::Arc;

use super::hedge;
use super::leg::Leg;
use super::shard::Phase;
use super::{Action, Context, LegFailure, LegRequest, Query};
use crate::error::Ran;
use crate::process::{Choice, Extra, LegEnd, Seeking};
use crate::types::{LegId, Timestamp};

impl Query {
    /// Sends a leg to a shard that has none under way, or notes what it has to wait for.
    pub(super) fn attempt(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        extra: Option<Extra>,
        actions: &mut Vec<Action>,
    ) {
        if self.crashes.suspected() {
            self.shards[shard_at].phase = Phase::Held(extra);
            self.held.push(shard_at);
            return;
        }
        self.attempt_unheld(cx, shard_at, extra, actions);
    }

    pub(super) fn attempt_unheld(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        extra: Option<Extra>,
        actions: &mut Vec<Action>,
    ) {
        match self.choose(cx, shard_at) {
            Choice::Replica(replica_at) => {
                if extra.is_none_or(|extra| self.pay(cx, shard_at, extra)) {
                    self.send(cx, shard_at, replica_at, extra, actions);
                } else {
                    self.give_up(shard_at);
                }
            }
            Choice::RoomAt(at) => self.wait_for_room(cx, shard_at, extra, at),
            Choice::Nobody { gone } => {
                self.snapshot_lost |= gone;
                self.give_up(shard_at);
            }
        }
    }

    fn pay(&self, cx: &mut Context<'_>, shard_at: usize, extra: Extra) -> bool {
        self.can_finish(cx) && self.take_extra(cx, shard_at, extra)
    }

    /// Takes one leg beyond the first from what the shard's service, or else the class,
    /// may still be sent.
    pub(super) fn take_extra(&self, cx: &mut Context<'_>, shard_at: usize, extra: Extra) -> bool {
        match &self.snapshot.shards[shard_at].service {
            Some(service) => cx.budgets.services.take(cx.now, service, extra),
            None => cx.budgets.take(&self.class, extra),
        }
    }

    /// Notes the request at every service that it goes to.
    pub(super) fn note_request(&self, cx: &mut Context<'_>) {
        for shard in &self.snapshot.shards {
            if let Some(service) = &shard.service {
                cx.budgets.services.request(cx.now, service);
            }
        }
    }

    /// What the leg after a failed one counts as. One that never left takes nothing from
    /// a service, so what it was sent for still stands.
    pub(super) fn extra_after(&self, leg: Leg, failure: LegFailure) -> Option<Extra> {
        let never_left = matches!(failure, LegFailure::Unreachable | LegFailure::NoShare);
        let by_service = self.snapshot.shards[leg.shard_at].service.is_some();
        match failure.ran() {
            Ran::NotRun if never_left && by_service => leg.extra,
            Ran::NotRun => Some(Extra::Move),
            Ran::MayHaveRun => Some(Extra::Retry),
        }
    }

    /// Whether a leg that is sent now is likely to reply before the deadline.
    pub(super) fn can_finish(&self, cx: &Context<'_>) -> bool {
        let latency = cx.upstreams.class(&self.class.name);
        hedge::can_finish(latency, self.deadline.since(cx.now))
    }

    pub(super) fn choose(&self, cx: &mut Context<'_>, shard_at: usize) -> Choice {
        let seeking = Seeking {
            replicas: &self.snapshot.shards[shard_at].replicas,
            tried: self.shards[shard_at].tried(),
            snapshot: self.snapshot.id,
        };
        cx.upstreams.choose(cx.now, cx.limits, seeking, cx.rng)
    }

    fn wait_for_room(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        extra: Option<Extra>,
        at: Timestamp,
    ) {
        let latency = cx.upstreams.class(&self.class.name);
        if !hedge::can_finish(latency, self.deadline.since(at)) {
            self.learn_wait_at_least(cx, shard_at);
            self.give_up(shard_at);
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
        self.shards[shard_at].due = Some(at);
        self.due.add(at, shard_at);
    }

    pub(super) fn send(
        &mut self,
        cx: &mut Context<'_>,
        shard_at: usize,
        replica_at: usize,
        extra: Option<Extra>,
        actions: &mut Vec<Action>,
    ) {
        self.learn_wait(cx, shard_at);
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
        self.shards[shard_at].phase = Phase::UnderWay;
        if extra != Some(Extra::Hedge) {
            self.plan_hedge(cx, shard_at);
        }
    }

    pub(super) fn open_leg(&self, id: LegId) -> Option<Leg> {
        let leg = *self.legs.get(id.0 as usize)?;
        leg.open.then_some(leg)
    }

    /// Ends a leg that is under way and gives back what it held.
    pub(super) fn end_leg(&mut self, cx: &mut Context<'_>, id: LegId, end: LegEnd) -> Option<Leg> {
        let leg = self.open_leg(id)?;
        self.legs[id.0 as usize].open = false;
        self.open_legs -= 1;
        self.shards[leg.shard_at].close(id);
        let upstream = &self.snapshot.shards[leg.shard_at].replicas[leg.replica_at];
        let took = cx.now.since(leg.sent);
        cx.limits.observe(cx.now, &upstream.name, end, took);
        cx.limits.give(cx.now, &upstream.name, took);
        cx.upstreams
            .end(cx.now, upstream, &self.class.name, took, end);
        if let LegEnd::Failed(failure) = end {
            self.not_run += usize::from(failure.ran() == Ran::NotRun);
            if failure == LegFailure::SnapshotGone {
                cx.upstreams.lose(cx.now, upstream, self.snapshot.id);
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

    /// Cancels every leg and forgets every wait.
    pub(super) fn cancel_all(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        self.due.clear();
        for shard_at in 0..self.shards.len() {
            self.cancel_legs_of(cx, shard_at, actions);
            self.learn_wait_at_least(cx, shard_at);
        }
    }

    pub(super) fn give_up(&mut self, shard_at: usize) {
        let shard = &mut self.shards[shard_at];
        if !shard.is_settled() {
            shard.phase = Phase::GivenUp;
            self.unsettled -= 1;
            self.lost_keys += self.snapshot.shards[shard_at].range.width();
        }
    }

    fn learn_wait(&self, cx: &mut Context<'_>, shard_at: usize) {
        let since = match self.shards[shard_at].phase {
            Phase::Waiting(None, since) => since,
            Phase::New => cx.now,
            _ => return,
        };
        let waited = cx.now.since(since);
        cx.upstreams.class_mut(&self.class.name).waits.learn(waited);
    }

    fn learn_wait_at_least(&self, cx: &mut Context<'_>, shard_at: usize) {
        if let Phase::Waiting(None, since) = self.shards[shard_at].phase {
            let waited = cx.now.since(since);
            let waits = &mut cx.upstreams.class_mut(&self.class.name).waits;
            waits.learn_at_least(waited);
        }
    }
}
