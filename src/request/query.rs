//! The decisions of one query, from its first legs to its answer.

use std::sync::Arc;

use indexmap::IndexMap;
use rand::rngs::SmallRng;

use super::leg::Leg;
use super::{Answer, LegFailure, LegReply, LegRequest, Part};
use crate::error::{ErrorKind, Ran, Refusal};
use crate::process::{Budgets, LegEnd, Limits, Suspects, Upstreams};
use crate::types::{Coverage, Fingerprint, LegId, QueryId, Timestamp, UpstreamName};
use crate::version::{Class, Snapshot};

/// What happens to a query.
#[derive(Clone, Debug)]
pub enum Event {
    /// An upstream replied to a leg.
    Reply(LegId, LegReply),
    /// A leg failed.
    Failure(LegId, LegFailure),
    /// A time that the query asked to be woken at has come.
    Wake,
    /// The caller hung up.
    CallerGone,
}

/// What a query wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a leg.
    Send(LegRequest),
    /// Stop a leg, whose reply is no longer of use.
    Cancel(LegId),
    /// Wake the query at this time.
    WakeAt(Timestamp),
    /// Tell the caller; nothing follows it.
    Finish(Result<Answer, Refusal>),
}

/// The shared tables that a query decides by, at one moment.
#[derive(Debug)]
pub struct Context<'a> {
    /// The present.
    pub now: Timestamp,
    /// The requests that crashed upstreams.
    pub suspects: &'a mut Suspects,
    /// This instance's share of every upstream's slots.
    pub limits: &'a mut Limits,
    /// Every upstream as this instance observes it.
    pub upstreams: &'a mut Upstreams,
    /// How much extra load each class may still cause.
    pub budgets: &'a mut Budgets,
    /// Seeded randomness.
    pub rng: &'a mut SmallRng,
}

/// One query under way.
#[derive(Debug)]
pub struct Query {
    id: QueryId,
    fingerprint: Fingerprint,
    class: Arc<Class>,
    snapshot: Arc<Snapshot>,
    body: Arc<[u8]>,
    started: Timestamp,
    deadline: Timestamp,
    shards: Vec<ShardState>,
    legs: IndexMap<LegId, Leg>,
    next_leg: u32,
    ran: Ran,
    finished: bool,
}

#[derive(Debug, Default)]
struct ShardState {
    part: Option<Vec<u8>>,
    tried: Vec<UpstreamName>,
    hedge_at: Option<Timestamp>,
    given_up: bool,
}

impl Query {
    /// A query over one snapshot that is to finish by `deadline`; [`Query::start`]
    /// sends its first legs.
    #[must_use]
    pub fn new(
        id: QueryId,
        class: Arc<Class>,
        snapshot: Arc<Snapshot>,
        body: Arc<[u8]>,
        started: Timestamp,
        deadline: Timestamp,
    ) -> Self {
        let shards = snapshot
            .shards
            .iter()
            .map(|_| ShardState::default())
            .collect();
        Self {
            id,
            fingerprint: Fingerprint::of(&class.name, &body),
            class,
            snapshot,
            body,
            started,
            deadline,
            shards,
            legs: IndexMap::new(),
            next_leg: 0,
            ran: Ran::NotRun,
            finished: false,
        }
    }

    /// Sends one leg to each shard.
    pub fn start(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = vec![Action::WakeAt(self.deadline)];
        for shard_at in 0..self.shards.len() {
            self.send(cx, shard_at, &mut actions);
        }
        self.settle(cx, &mut actions);
        actions
    }

    /// Takes one event and says what follows from it.
    pub fn on_event(&mut self, cx: &mut Context<'_>, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        match event {
            Event::Reply(leg, reply) => self.on_reply(cx, leg, reply, &mut actions),
            Event::Failure(leg, failure) => self.on_failure(cx, leg, failure, &mut actions),
            Event::Wake => self.on_wake(cx, &mut actions),
            Event::CallerGone => {
                self.finish(cx, None, &mut actions);
                return actions;
            }
        }
        self.settle(cx, &mut actions);
        actions
    }

    /// Whether nothing more will come of it.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    fn on_reply(
        &mut self,
        cx: &mut Context<'_>,
        id: LegId,
        reply: LegReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(leg) = self.legs.get(&id) else {
            return;
        };
        let shard_at = leg.shard_at;
        let ours = reply.query == self.id
            && reply.leg == id
            && reply.snapshot == self.snapshot.id
            && reply.range == self.snapshot.shards[shard_at].range;
        if !ours {
            self.on_failure(cx, id, LegFailure::Mangled, actions);
            return;
        }
        self.end_leg(cx, id, LegEnd::Replied);
        self.shards[shard_at].part = Some(reply.body);
        self.cancel_legs_of(cx, shard_at, actions);
    }

    fn on_failure(
        &mut self,
        cx: &mut Context<'_>,
        id: LegId,
        failure: LegFailure,
        actions: &mut Vec<Action>,
    ) {
        let Some(leg) = self.end_leg(cx, id, LegEnd::Failed(failure)) else {
            return;
        };
        if failure.ran() == Ran::MayHaveRun {
            self.ran = Ran::MayHaveRun;
        }
        let poison = cx.suspects.is_poison(cx.now, self.fingerprint);
        let allowed = self.class.targets.repeatable || failure.ran() == Ran::NotRun;
        let may_retry = allowed && !poison;
        let other_leg = self
            .legs
            .values()
            .any(|other| other.shard_at == leg.shard_at);
        if may_retry && !other_leg && cx.budgets.take(&self.class) {
            self.send(cx, leg.shard_at, actions);
        } else if !other_leg {
            self.shards[leg.shard_at].given_up = true;
        }
    }

    fn on_wake(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        if !self.class.targets.repeatable {
            return;
        }
        for shard_at in 0..self.shards.len() {
            let shard = &mut self.shards[shard_at];
            let due = shard.hedge_at.is_some_and(|at| at <= cx.now);
            if !due || shard.part.is_some() {
                continue;
            }
            shard.hedge_at = None;
            if cx.budgets.take(&self.class) {
                self.send(cx, shard_at, actions);
            }
        }
    }

    fn send(&mut self, cx: &mut Context<'_>, shard_at: usize, actions: &mut Vec<Action>) {
        let shard = &self.snapshot.shards[shard_at];
        let state = &mut self.shards[shard_at];
        let chosen = cx
            .upstreams
            .choose(cx.now, &shard.replicas, &state.tried, cx.rng);
        let Some(upstream) = chosen else {
            let under_way = self.legs.values().any(|leg| leg.shard_at == shard_at);
            state.given_up = !under_way;
            return;
        };
        let leg = LegId(self.next_leg);
        self.next_leg += 1;
        state.tried.push(upstream.name.clone());
        let hedge_after = cx.upstreams.hedge_after(&upstream.name);
        if self.class.targets.repeatable && state.tried.len() == 1 {
            let at = cx.now + hedge_after;
            state.hedge_at = Some(at);
            actions.push(Action::WakeAt(at));
        }
        cx.limits.take(cx.now, &upstream);
        cx.upstreams.begin(&upstream.name, cx.now);
        cx.budgets.earn(&self.class);
        self.legs.insert(
            leg,
            Leg {
                shard_at,
                upstream: upstream.name.clone(),
                sent: cx.now,
            },
        );
        actions.push(Action::Send(LegRequest {
            query: self.id,
            leg,
            upstream,
            snapshot: self.snapshot.id,
            shard: shard.id,
            range: shard.range,
            time_left: self.deadline.since(cx.now),
            body: Arc::clone(&self.body),
        }));
    }

    fn end_leg(&mut self, cx: &mut Context<'_>, id: LegId, end: LegEnd) -> Option<Leg> {
        let leg = self.legs.shift_remove(&id)?;
        let took = cx.now.since(leg.sent);
        cx.limits.observe(cx.now, &leg.upstream, end, took);
        cx.limits.give(cx.now, &leg.upstream, took);
        cx.upstreams.end(&leg.upstream, cx.now, end);
        match end {
            LegEnd::Replied => cx.suspects.replied(cx.now, self.fingerprint),
            LegEnd::Failed(LegFailure::Lost) => {
                cx.suspects.crashed(cx.now, self.fingerprint, &leg.upstream);
            }
            LegEnd::Failed(_) | LegEnd::Cancelled => {}
        }
        Some(leg)
    }

    fn cancel_legs_of(&mut self, cx: &mut Context<'_>, shard_at: usize, actions: &mut Vec<Action>) {
        let others: Vec<LegId> = self
            .legs
            .iter()
            .filter(|(_, leg)| leg.shard_at == shard_at)
            .map(|(id, _)| *id)
            .collect();
        for id in others {
            self.end_leg(cx, id, LegEnd::Cancelled);
            actions.push(Action::Cancel(id));
        }
    }

    fn settle(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        let all_settled = self
            .shards
            .iter()
            .all(|shard| shard.part.is_some() || shard.given_up);
        if all_settled || cx.now >= self.deadline {
            let outcome = self.outcome(cx);
            self.finish(cx, Some(outcome), actions);
        }
    }

    fn finish(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Option<Result<Answer, Refusal>>,
        actions: &mut Vec<Action>,
    ) {
        self.finished = true;
        for shard_at in 0..self.shards.len() {
            self.cancel_legs_of(cx, shard_at, actions);
        }
        actions.extend(outcome.map(Action::Finish));
    }

    fn outcome(&mut self, cx: &Context<'_>) -> Result<Answer, Refusal> {
        let mut parts = Vec::with_capacity(self.shards.len());
        for (state, shard) in self.shards.iter_mut().zip(&self.snapshot.shards) {
            if let Some(body) = state.part.take() {
                parts.push(Part {
                    shard: shard.id,
                    range: shard.range,
                    body,
                });
            }
        }
        if parts.is_empty() {
            return Err(self.refusal(cx));
        }
        let coverage: Coverage = parts.iter().map(|part| part.range).collect();
        Ok(Answer {
            query: self.id,
            snapshot: self.snapshot.id,
            meets_target: coverage.ratio() >= self.class.targets.coverage,
            coverage,
            parts,
            legs: self.next_leg,
            took: cx.now.since(self.started),
        })
    }

    fn refusal(&self, cx: &Context<'_>) -> Refusal {
        let under_way = !self.legs.is_empty();
        if under_way {
            let detail = format!("no shard replied in {}", cx.now.since(self.started));
            return Refusal::new(ErrorKind::OutOfTime, detail);
        }
        match self.ran {
            Ran::NotRun => Refusal::new(ErrorKind::NoUpstream, "no upstream accepted the request"),
            Ran::MayHaveRun => Refusal::new(
                ErrorKind::UpstreamFailed,
                "every upstream that was tried failed",
            ),
        }
    }
}
