//! Several queries over shared tables, and upstreams that are driven by hand.

use std::sync::Arc;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::harness_tests::{LATENCY, Setup};
use super::{Action, Context, Event, LegFailure, LegReply, LegRequest, Query};
use crate::process::{Budgets, Limits, Suspects, Upstreams};
use crate::types::{KeyRange, LegId, QueryId, SnapshotId, Span, Timestamp, UpstreamName};
use crate::version::Snapshot;

#[path = "holds_tests.rs"]
mod holds;

const FIRST_SNAPSHOT: u64 = 5;
const SNAPSHOTS_KEPT: usize = 3;

/// How a leg ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum How {
    Whole,
    Twice,
    OfOtherQuery,
    OfOtherLeg,
    OfOtherSnapshot,
    OfOtherRange,
    /// With the whole reply to another leg, perhaps of another query.
    CrossedWith(usize, usize),
    Failure(LegFailure),
}

/// One step of an interleaving; queries and legs are counted from the latest.
#[derive(Clone, Copy, Debug)]
pub(super) enum Op {
    Start,
    /// The worker was paused between the admission of a query and its start.
    StartLate,
    End {
        query: usize,
        leg: usize,
        how: How,
    },
    ReplyAll {
        query: usize,
    },
    LoseSnapshot {
        query: usize,
    },
    Pass {
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

/// How often what is worth checking was reached.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Seen {
    pub(super) whole_answers: u32,
    pub(super) partial_answers: u32,
    pub(super) answers_after_restart: u32,
    pub(super) not_run: u32,
    pub(super) may_have_run: u32,
    pub(super) moved_orders: u32,
}

impl Seen {
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
struct Sent {
    req: LegRequest,
    open: bool,
    /// Whether the upstream may have run it, or may yet.
    may_have_run: bool,
}

#[derive(Debug)]
struct Running {
    query: Query,
    id: QueryId,
    first_snapshot: SnapshotId,
    legs: Vec<Sent>,
    wakes: Vec<Timestamp>,
    ended: bool,
}

/// The queries, the tables they share and the published snapshots.
pub(super) struct World {
    setup: Setup,
    now: Timestamp,
    /// The published snapshots, newest first, as a query is given them.
    snapshots: Vec<Arc<Snapshot>>,
    published: IndexMap<SnapshotId, Vec<KeyRange>>,
    leaving: IndexMap<UpstreamName, Timestamp>,
    /// The upstreams that refused a leg because they are leaving.
    draining: IndexMap<UpstreamName, Timestamp>,
    queries: Vec<Running>,
    suspects: Suspects,
    limits: Limits,
    upstreams: Upstreams,
    budgets: Budgets,
    rng: SmallRng,
    broken: Option<String>,
    pub(super) seen: Seen,
}

impl World {
    pub(super) fn new(setup: Setup, seed: u64) -> Self {
        let mut world = Self {
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
            budgets: Budgets::default(),
            rng: SmallRng::seed_from_u64(seed),
            broken: None,
            seen: Seen::default(),
        };
        world.publish(FIRST_SNAPSHOT);
        world
    }

    /// What did not hold, if anything.
    pub(super) fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    pub(super) fn apply(&mut self, op: Op) {
        match op {
            Op::Start => self.start(self.now),
            Op::StartLate => self.start(self.now - LATENCY),
            Op::End { query, leg, how } => self.end(query, leg, how),
            Op::ReplyAll { query } => self.end_all(query, How::Whole),
            Op::LoseSnapshot { query } => {
                self.end_all(query, How::Failure(LegFailure::SnapshotGone));
            }
            Op::Pass { millis } => self.pass(Span::from_millis(millis)),
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

    /// Lets the time of every query run out.
    pub(super) fn settle(&mut self) {
        self.pass(LATENCY);
        for running in &self.queries {
            if !running.ended {
                self.broken = Some(format!("{} never ended", running.id));
            }
        }
        if self.upstreams.in_flight() > 0 {
            self.broken = Some("legs are under way for no query".to_owned());
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
        self.queries.push(Running {
            query: Query::new(id, class, snapshot, body, admitted, deadline),
            id,
            first_snapshot,
            legs: Vec::new(),
            wakes: Vec::new(),
            ended: false,
        });
        self.step(self.queries.len() - 1, None);
    }

    fn pass(&mut self, span: Span) {
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

    /// The query that was started that many before the latest.
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

    fn end(&mut self, back: usize, leg_back: usize, how: How) {
        let Some((at, leg_at)) = self.leg(back, leg_back) else {
            return;
        };
        let leg = &self.queries[at].legs[leg_at];
        let (id, mut reply) = (leg.req.leg, whole(&leg.req));
        match how {
            How::Whole => {}
            How::Twice => self.step(at, Some(Event::Reply(id, reply.clone()))),
            How::OfOtherQuery => reply.query = QueryId(reply.query.0 + 1),
            How::OfOtherLeg => reply.leg = LegId(reply.leg.0 + 1),
            How::OfOtherSnapshot => reply.snapshot = SnapshotId(reply.snapshot.0 + 1),
            How::OfOtherRange => reply.range.last ^= 1,
            How::CrossedWith(other_back, other_leg) => {
                if let Some((other, other_leg)) = self.leg(other_back, other_leg) {
                    reply = whole(&self.queries[other].legs[other_leg].req);
                }
            }
            How::Failure(failure) => return self.fail(at, leg_at, failure),
        }
        if !matches!(how, How::Whole | How::Twice | How::CrossedWith(..)) {
            reply.body = b"of something else".to_vec();
        }
        self.queries[at].legs[leg_at].open = false;
        self.step(at, Some(Event::Reply(id, reply)));
    }

    /// Ends every leg of a query that is under way now.
    fn end_all(&mut self, back: usize, how: How) {
        let Some(at) = self.latest(back) else {
            return;
        };
        let count = self.queries[at].legs.len();
        for leg_at in 0..count {
            if self.queries[at].legs[leg_at].open {
                let leg_back = self.queries[at].legs.len() - leg_at - 1;
                self.end(back, leg_back, how);
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

fn whole(req: &LegRequest) -> LegReply {
    LegReply {
        query: req.query,
        leg: req.leg,
        snapshot: req.snapshot,
        range: req.range,
        head: None,
        body: body(req.query, req.snapshot, req.range),
    }
}

fn body(query: QueryId, snapshot: SnapshotId, range: KeyRange) -> Vec<u8> {
    format!("{query} {snapshot} {range}").into_bytes()
}

/// What an upstream that failed so may have done, whatever the query believes.
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
