//! Simulates several queries on shared tables, with upstreams that the test controls.

use std::sync::Arc;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::harness_tests::{LATENCY, Setup};
use super::{Action, Context, Event, LegFailure, LegReply, LegRequest, Query};
use crate::process::{ClassBudgets, Limits, Suspects, Upstreams};
use crate::types::{KeyRange, LegId, QueryId, SnapshotId, Span, Timestamp, UpstreamName};
use crate::version::Snapshot;

#[path = "simulation_checks_tests.rs"]
mod simulation_checks;

const FIRST_SNAPSHOT: u64 = 5;
const SNAPSHOTS_KEPT: usize = 3;

/// How a leg ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum Ending {
    Complete,
    Duplicated,
    WrongQuery,
    WrongLeg,
    WrongSnapshot,
    WrongRange,
    /// With the complete reply to another leg, possibly of another query.
    SwappedWith(usize, usize),
    Failure(LegFailure),
}

/// One step of an interleaving; queries and legs are counted back from the latest.
#[derive(Clone, Copy, Debug)]
pub(super) enum Op {
    Start,
    /// The worker was paused between the admission of a query and its start.
    StartLate,
    EndLeg {
        query: usize,
        leg: usize,
        ending: Ending,
    },
    ReplyAll {
        query: usize,
    },
    LoseSnapshot {
        query: usize,
    },
    Advance {
        millis: u64,
    },
    Wake {
        query: usize,
    },
    CallerGone {
        query: usize,
    },
    Repartition {
        shards: u32,
    },
    Leave {
        shard: u32,
        replica: u32,
    },
}

/// How often each case that the checks cover occurred.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) whole_answers: u32,
    pub(super) partial_answers: u32,
    pub(super) answers_after_restart: u32,
    pub(super) not_run: u32,
    pub(super) may_have_run: u32,
    pub(super) moved_orders: u32,
}

impl Counts {
    pub(super) fn add(&mut self, other: &Self) {
        self.whole_answers += other.whole_answers;
        self.partial_answers += other.partial_answers;
        self.answers_after_restart += other.answers_after_restart;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.moved_orders += other.moved_orders;
    }
}

#[derive(Debug)]
struct SentLeg {
    req: LegRequest,
    open: bool,
    /// Whether the upstream may have run the leg, or may still run it.
    may_have_run: bool,
}

#[derive(Debug)]
struct RunningQuery {
    query: Query,
    id: QueryId,
    first_snapshot: SnapshotId,
    legs: Vec<SentLeg>,
    wakes: Vec<Timestamp>,
    ended: bool,
}

/// The queries, their shared tables and the published snapshots.
pub(super) struct Simulation {
    setup: Setup,
    now: Timestamp,
    /// The published snapshots that queries see, newest first.
    snapshots: Vec<Arc<Snapshot>>,
    published: IndexMap<SnapshotId, Vec<KeyRange>>,
    leaving: IndexMap<UpstreamName, Timestamp>,
    /// Upstreams that refused a leg as draining, and when.
    draining: IndexMap<UpstreamName, Timestamp>,
    queries: Vec<RunningQuery>,
    suspects: Suspects,
    limits: Limits,
    upstreams: Upstreams,
    budgets: ClassBudgets,
    rng: SmallRng,
    violation: Option<String>,
    pub(super) counts: Counts,
}

impl Simulation {
    pub(super) fn new(setup: Setup, seed: u64) -> Self {
        let mut simulation = Self {
            setup,
            now: Timestamp(0),
            snapshots: Vec::new(),
            published: IndexMap::new(),
            leaving: IndexMap::new(),
            draining: IndexMap::new(),
            queries: Vec::new(),
            suspects: Suspects::default(),
            limits: Limits::default(),
            upstreams: Upstreams::default(),
            budgets: ClassBudgets::default(),
            rng: SmallRng::seed_from_u64(seed),
            violation: None,
            counts: Counts::default(),
        };
        simulation.publish(FIRST_SNAPSHOT);
        simulation
    }

    /// The first violated invariant, if any.
    pub(super) fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    pub(super) fn apply(&mut self, op: Op) {
        match op {
            Op::Start => self.start(self.now),
            Op::StartLate => self.start(self.now - LATENCY),
            Op::EndLeg { query, leg, ending } => self.end_leg(query, leg, ending),
            Op::ReplyAll { query } => self.end_all_legs(query, Ending::Complete),
            Op::LoseSnapshot { query } => {
                self.end_all_legs(query, Ending::Failure(LegFailure::SnapshotGone));
            }
            Op::Advance { millis } => self.advance(Span::from_millis(millis)),
            Op::Wake { query } => self.with_latest(query, Event::Wake),
            Op::CallerGone { query } => self.caller_gone(query),
            Op::Repartition { shards } => {
                self.setup.shards = shards;
                self.publish(self.snapshots[0].id.0 + 1);
            }
            Op::Leave { shard, replica } => {
                let name = format!("s{shard}r{replica}").parse().unwrap();
                self.leaving.entry(name).or_insert(self.now);
                for snapshot in &mut self.snapshots {
                    mark_leaving(snapshot, &self.leaving);
                }
            }
        }
    }

    /// Advances the clock past all deadlines and checks that every query ended.
    pub(super) fn finish_all(&mut self) {
        self.advance(LATENCY);
        for running in &self.queries {
            if !running.ended {
                self.violation = Some(format!("{} never ended", running.id));
            }
        }
        if self.upstreams.in_flight() > 0 {
            self.violation = Some("legs are in flight after all queries ended".to_owned());
        }
    }

    fn publish(&mut self, id: u64) {
        let mut snapshot = self.setup.snapshot(id);
        mark_leaving(&mut snapshot, &self.leaving);
        let ranges = snapshot.shards.iter().map(|shard| shard.range).collect();
        self.published.insert(snapshot.id, ranges);
        self.snapshots.insert(0, snapshot);
        self.snapshots.truncate(SNAPSHOTS_KEPT);
    }

    fn start(&mut self, admitted: Timestamp) {
        let id = QueryId(self.queries.len() as u128 + 1);
        let snapshot = Arc::clone(&self.snapshots[0]);
        let first_snapshot = snapshot.id;
        let body = Arc::from(id.to_string().into_bytes());
        let deadline = admitted + LATENCY;
        let class = self.setup.class();
        self.queries.push(RunningQuery {
            query: Query::new(id, class, snapshot, body, admitted, deadline),
            id,
            first_snapshot,
            legs: Vec::new(),
            wakes: Vec::new(),
            ended: false,
        });
        self.step(self.queries.len() - 1, None);
    }

    fn advance(&mut self, span: Span) {
        let until = self.now + span;
        loop {
            let wakes = self.queries.iter().enumerate().filter_map(|(at, running)| {
                let wake = running.wakes.iter().min()?;
                Some((*wake, at))
            });
            let Some((wake, at)) = wakes.min().filter(|(wake, _)| *wake <= until) else {
                break;
            };
            self.now = self.now.max(wake);
            self.queries[at].wakes.retain(|time| *time != wake);
            self.step(at, Some(Event::Wake));
        }
        self.now = until;
    }

    /// The index of the query started `back` queries before the latest.
    fn latest(&self, back: usize) -> Option<usize> {
        self.queries.len().checked_sub(back + 1)
    }

    fn with_latest(&mut self, back: usize, event: Event) {
        if let Some(at) = self.latest(back) {
            self.step(at, Some(event));
        }
    }

    fn caller_gone(&mut self, back: usize) {
        let Some(at) = self.latest(back) else {
            return;
        };
        self.step(at, Some(Event::CallerGone));
        self.queries[at].ended = true;
    }

    fn end_leg(&mut self, back: usize, leg_back: usize, ending: Ending) {
        let Some((at, leg_at)) = self.leg(back, leg_back) else {
            return;
        };
        let leg = &self.queries[at].legs[leg_at];
        let (id, mut reply) = (leg.req.leg, complete_reply(&leg.req));
        match ending {
            Ending::Complete => {}
            Ending::Duplicated => self.step(at, Some(Event::Reply(id, reply.clone()))),
            Ending::WrongQuery => reply.query = QueryId(reply.query.0 + 1),
            Ending::WrongLeg => reply.leg = LegId(reply.leg.0 + 1),
            Ending::WrongSnapshot => reply.snapshot = SnapshotId(reply.snapshot.0 + 1),
            Ending::WrongRange => reply.range.last ^= 1,
            Ending::SwappedWith(other_back, other_leg) => {
                if let Some((other, other_leg)) = self.leg(other_back, other_leg) {
                    reply = complete_reply(&self.queries[other].legs[other_leg].req);
                }
            }
            Ending::Failure(failure) => return self.fail(at, leg_at, failure),
        }
        if !matches!(
            ending,
            Ending::Complete | Ending::Duplicated | Ending::SwappedWith(..)
        ) {
            reply.body = b"of another reply".to_vec().into();
        }
        self.queries[at].legs[leg_at].open = false;
        self.step(at, Some(Event::Reply(id, reply)));
    }

    /// Ends every leg of a query that is in flight now.
    fn end_all_legs(&mut self, back: usize, ending: Ending) {
        let Some(at) = self.latest(back) else {
            return;
        };
        let count = self.queries[at].legs.len();
        for leg_at in 0..count {
            if self.queries[at].legs[leg_at].open {
                let leg_back = self.queries[at].legs.len() - leg_at - 1;
                self.end_leg(back, leg_back, ending);
            }
        }
    }

    fn fail(&mut self, at: usize, leg_at: usize, failure: LegFailure) {
        let leg = &mut self.queries[at].legs[leg_at];
        if leg.open {
            leg.open = false;
            leg.may_have_run = may_have_run(failure);
            if failure == LegFailure::Draining {
                let name = leg.req.upstream.name.clone();
                self.draining.insert(name, self.now);
            }
        }
        let id = leg.req.leg;
        self.step(at, Some(Event::Failure(id, failure)));
    }

    fn leg(&self, back: usize, leg_back: usize) -> Option<(usize, usize)> {
        let at = self.latest(back)?;
        let leg_at = self.queries[at].legs.len().checked_sub(leg_back + 1)?;
        Some((at, leg_at))
    }

    fn step(&mut self, at: usize, event: Option<Event>) {
        let mut cx = Context {
            now: self.now,
            snapshots: &self.snapshots,
            suspects: &mut self.suspects,
            limits: &mut self.limits,
            upstreams: &mut self.upstreams,
            budgets: &mut self.budgets,
            rng: &mut self.rng,
        };
        let query = &mut self.queries[at].query;
        let actions = match event {
            Some(event) => query.on_event(&mut cx, event),
            None => query.start(&mut cx),
        };
        for action in actions {
            match action {
                Action::Send(req) => self.on_send(at, req),
                Action::Cancel(leg) => self.queries[at].legs[leg.0 as usize].open = false,
                Action::WakeAt(time) => self.queries[at].wakes.push(time),
                Action::Finish(outcome) => self.on_finish(at, &outcome),
            }
        }
    }
}

fn mark_leaving(snapshot: &mut Arc<Snapshot>, leaving: &IndexMap<UpstreamName, Timestamp>) {
    let shards = &mut Arc::make_mut(snapshot).shards;
    for spec in shards.iter_mut().flat_map(|shard| &mut shard.replicas) {
        Arc::make_mut(spec).leaving = leaving.contains_key(&spec.name);
    }
}

fn complete_reply(req: &LegRequest) -> LegReply {
    LegReply {
        query: req.query,
        leg: req.leg,
        snapshot: req.snapshot,
        range: req.range,
        head: None,
        body: body(req.query, req.snapshot, req.range).into(),
    }
}

fn body(query: QueryId, snapshot: SnapshotId, range: KeyRange) -> Vec<u8> {
    format!("{query} {snapshot} {range}").into_bytes()
}

/// Whether an upstream may have run a leg that failed this way. Independent of
/// `LegFailure::ran`, which the queries under test use.
fn may_have_run(failure: LegFailure) -> bool {
    matches!(
        failure,
        LegFailure::OutOfTime
            | LegFailure::Lost
            | LegFailure::Silent
            | LegFailure::Mangled
            | LegFailure::Failed
    )
}
