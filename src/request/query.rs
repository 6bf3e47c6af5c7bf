//! The state machine of one query, from its first legs to its outcome.

use std::sync::Arc;

use super::crashes::CrashHistory;
use super::leg::Leg;
use super::restart::PreviousParts;
use super::shard::{Phase, ShardState};
use super::shard_timers::ShardTimers;
use super::{Action, Answer, Context, Event, LegFailure, LegReply, Part, QueryOptions, admit};
use crate::error::{Ran, Refusal};
use crate::process::LegEnd;
use crate::types::{Fingerprint, IndexName, LegId, QueryId, SnapshotId, Span, Timestamp};
use crate::version::{Class, Snapshot};

/// The state of one query in flight.
#[derive(Debug)]
pub struct Query {
    pub(super) id: QueryId,
    pub(super) fingerprint: Fingerprint,
    pub(super) options: QueryOptions,
    pub(super) class: Arc<Class>,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) body: Arc<[u8]>,
    pub(super) started: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) shards: Vec<ShardState>,
    pub(super) legs: Vec<Leg>,
    pub(super) timers: ShardTimers,
    pub(super) crashes: CrashHistory,
    /// Number of shards that have neither replied nor been abandoned.
    pub(super) unresolved: usize,
    /// Number of shards that replied.
    pub(super) replied: usize,
    /// Number of legs in flight.
    pub(super) open_legs: usize,
    /// Number of legs that provably did not run.
    pub(super) not_run: usize,
    /// Number of keys in the abandoned shards.
    pub(super) missing_keys: u64,
    /// Whether a shard was abandoned because its replicas do not hold the snapshot.
    pub(super) snapshot_unavailable: bool,
    /// Shards whose next leg waits until a reply clears the query.
    pub(super) quarantined: Vec<usize>,
    /// The last estimate of the hedge delay: when it was made, the minimum latency that it
    /// assumes, and the delay.
    pub(super) hedge_estimate: Option<(Timestamp, Span, Option<Span>)>,
    /// The best parts of the snapshots that the query has abandoned.
    pub(super) previous: Option<PreviousParts>,
    /// Snapshots that the query has abandoned because upstreams no longer hold them, or do
    /// not hold them yet.
    pub(super) abandoned_snapshots: Vec<SnapshotId>,
    /// An error reply from an upstream, returned to the caller if no part arrives.
    pub(super) failure: Option<Part>,
    finished: bool,
}

impl Query {
    /// Creates a query on one snapshot that must finish by `deadline`; [`Query::start`]
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
        let count = snapshot.shards.len();
        let mut shards = Vec::with_capacity(count);
        shards.resize_with(count, ShardState::default);
        Self {
            id,
            fingerprint: Fingerprint::of(&class.name, &body),
            options: QueryOptions::default(),
            class,
            snapshot,
            body,
            started,
            deadline,
            shards,
            legs: Vec::with_capacity(count),
            timers: ShardTimers::default(),
            crashes: CrashHistory::default(),
            unresolved: count,
            replied: 0,
            open_legs: 0,
            not_run: 0,
            missing_keys: 0,
            snapshot_unavailable: false,
            quarantined: Vec::new(),
            hedge_estimate: None,
            previous: None,
            abandoned_snapshots: Vec::new(),
            failure: None,
            finished: false,
        }
    }

    /// Sets the options of the query; must be called before [`Query::start`].
    #[must_use]
    pub fn with_options(mut self, options: QueryOptions) -> Self {
        self.fingerprint = options.fingerprint.unwrap_or(self.fingerprint);
        self.options = options;
        self
    }

    /// The id of the query.
    #[must_use]
    pub fn id(&self) -> QueryId {
        self.id
    }

    /// The queried index.
    #[must_use]
    pub fn index(&self) -> &IndexName {
        &self.snapshot.index
    }

    /// Sends one leg to each shard, or refuses the query if it cannot finish in time.
    pub fn start(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = vec![Action::WakeAt(self.deadline)];
        let admitted = admit::admit(cx, &self.class, self.deadline)
            .and_then(|()| admit::check_stated_room(cx, &self.class, &self.snapshot));
        if let Err(refusal) = admitted {
            self.finish(cx, Some(Err(refusal)), &mut actions);
            return actions;
        }
        if cx.suspects.is_suspect(cx.now, self.fingerprint) {
            self.crashes.mark_suspect();
        }
        self.prefer_available_snapshot(cx);
        cx.budgets.enlarge_buckets(&self.class, self.shards.len());
        self.record_request(cx);
        self.plan_early_answer();
        self.send_first_legs(cx, &mut actions);
        self.advance(cx, &mut actions);
        actions
    }

    /// Applies one event and returns the actions to carry out.
    pub fn on_event(&mut self, cx: &mut Context<'_>, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        match event {
            Event::Reply(leg, reply) => self.on_reply(cx, leg, reply, &mut actions),
            Event::Failure(leg, failure) => self.on_failure(cx, leg, failure, &mut actions),
            Event::Wake => self.on_wake(cx, &mut actions),
            Event::CallerGone => self.finish(cx, None, &mut actions),
            Event::Expire => self.deadline = self.deadline.min(cx.now),
        }
        self.advance(cx, &mut actions);
        actions
    }

    /// Whether the query has finished and returns no more actions.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    pub(super) fn send_first_legs(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        for shard_at in 0..self.shards.len() {
            self.attempt(cx, shard_at, None, actions);
        }
    }

    fn on_reply(
        &mut self,
        cx: &mut Context<'_>,
        id: LegId,
        reply: LegReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(leg) = self.open_leg(id) else {
            return;
        };
        let shard = &self.snapshot.shards[leg.shard_at];
        let matches_leg = reply.query == self.id
            && reply.leg == id
            && reply.snapshot == self.snapshot.id
            && reply.range == shard.range;
        if !matches_leg {
            self.on_failure(cx, id, LegFailure::Mangled, actions);
            return;
        }
        if reply.head.as_ref().is_some_and(|head| !head.is_success()) {
            self.keep_failure(leg.shard_at, reply);
            self.on_failure(cx, id, LegFailure::Failed, actions);
            return;
        }
        self.end_leg(cx, id, LegEnd::Replied);
        cx.suspects.replied(cx.now, self.fingerprint);
        self.cancel_legs_of(cx, leg.shard_at, actions);
        self.shards[leg.shard_at].phase = Phase::Replied(reply.head, reply.body);
        self.unresolved -= 1;
        self.replied += 1;
        if self.crashes.on_reply() {
            self.release_quarantined(cx, actions);
        }
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
        if failure == LegFailure::Lost {
            self.on_crash(cx, leg);
        }
        if matches!(failure, LegFailure::Shed | LegFailure::NoShare) {
            self.shards[leg.shard_at].mark_untried(leg.replica_at);
        }
        match failure {
            LegFailure::NoShare => self.shards[leg.shard_at].legs -= 1,
            _ if failure.ran() == Ran::NotRun => self.shards[leg.shard_at].not_run += 1,
            _ => {}
        }
        let other_leg = self.shards[leg.shard_at].open_legs().next().is_some();
        if other_leg {
            return;
        }
        let allowed = self.class.targets.repeatable || failure.ran() == Ran::NotRun;
        if allowed && self.shards[leg.shard_at].has_legs_left(&self.options) {
            let extra = self.extra_after(leg, failure);
            self.attempt(cx, leg.shard_at, extra, actions);
        } else {
            self.abandon_shard(leg.shard_at);
        }
    }

    fn on_wake(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        if cx.now >= self.deadline {
            return;
        }
        while let Some((at, shard_at)) = self.timers.pop(cx.now) {
            let Some(shard) = self.shards.get_mut(shard_at) else {
                continue;
            };
            if shard.next_wake != Some(at) {
                continue;
            }
            shard.next_wake = None;
            match shard.phase {
                Phase::Waiting(extra, _) => self.attempt(cx, shard_at, extra, actions),
                Phase::InFlight => self.hedge(cx, shard_at, actions),
                Phase::New | Phase::Quarantined(_) | Phase::Replied(..) | Phase::Abandoned => {}
            }
        }
    }

    /// Finishes the query if nothing is left to wait for, or requests the next wake-up.
    fn advance(&mut self, cx: &mut Context<'_>, actions: &mut Vec<Action>) {
        if self.finished {
            return;
        }
        self.restart_if_worthwhile(cx, actions);
        if self.open_legs == 0 && !self.quarantined.is_empty() {
            self.probe_quarantined(cx, actions);
        }
        let ends = self.unresolved == 0 || cx.now >= self.deadline;
        if ends || self.fails_early() || self.answers_early(cx.now) {
            let outcome = self.outcome(cx);
            self.finish(cx, Some(outcome), actions);
            return;
        }
        if let Some(at) = self.timers.request_wake(cx.now) {
            actions.push(Action::WakeAt(at));
        }
    }

    fn finish(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Option<Result<Answer, Refusal>>,
        actions: &mut Vec<Action>,
    ) {
        self.finished = true;
        self.cancel_all(cx, actions);
        actions.extend(outcome.map(Action::Finish));
    }
}
