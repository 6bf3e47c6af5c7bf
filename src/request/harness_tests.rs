//! Test harness for one query at a time, with upstreams and a clock that the test controls.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{
    Action, Answer, Context, Event, LegFailure, LegReply, LegRequest, Query, QueryOptions,
};
use crate::error::Refusal;
use crate::process::{ClassBudgets, Limits, Suspects, Upstreams};
use crate::types::{
    ConnectionCount, KeyRange, LegId, QueryId, Ratio, ShardId, SlotCount, SnapshotId, Span,
    Timestamp,
};
use crate::version::{Class, Shard, Snapshot, Targets, UpstreamSpec};

pub(super) const LATENCY: Span = Span::from_millis(100);

/// The sizes of an index and the targets of a class.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    pub(super) shards: u32,
    pub(super) replicas: u32,
    pub(super) slots: u32,
    pub(super) coverage: Ratio,
    pub(super) extra_load: Ratio,
    pub(super) repeatable: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            shards: 2,
            replicas: 2,
            slots: 100,
            coverage: Ratio::ONE,
            extra_load: Ratio::ONE,
            repeatable: true,
        }
    }
}

impl Setup {
    pub(super) fn class(&self) -> Arc<Class> {
        Arc::new(Class {
            name: "counter".parse().unwrap(),
            index: "finder".parse().unwrap(),
            targets: Targets {
                latency: LATENCY,
                coverage: self.coverage,
                extra_load: self.extra_load,
                repeatable: self.repeatable,
            },
        })
    }

    /// A snapshot in which no two shards share a replica.
    pub(super) fn snapshot(&self, id: u64) -> Arc<Snapshot> {
        let edge = |at: u32| (u64::from(at) << 32) / u64::from(self.shards);
        let shards = (0..self.shards)
            .map(|at| Shard {
                id: ShardId(at),
                service: None,
                range: KeyRange {
                    first: u32::try_from(edge(at)).unwrap(),
                    last: u32::try_from(edge(at + 1) - 1).unwrap(),
                },
                replicas: (0..self.replicas)
                    .map(|replica| upstream(&format!("s{at}r{replica}"), self.slots))
                    .collect(),
            })
            .collect();
        Arc::new(Snapshot {
            index: "finder".parse().unwrap(),
            id: SnapshotId(id),
            shards,
        })
    }
}

pub(super) fn upstream(name: &str, slots: u32) -> Arc<UpstreamSpec> {
    Arc::new(UpstreamSpec {
        name: name.parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "suva-a".parse().unwrap(),
        slots: SlotCount(slots),
        connections: ConnectionCount(25),
        connect_cost: Span::from_millis(6),
        leaving: false,
    })
}

/// The shared tables, the current time and one query at a time.
pub(super) struct Harness {
    pub(super) now: Timestamp,
    pub(super) snapshots: Vec<Arc<Snapshot>>,
    pub(super) suspects: Suspects,
    pub(super) limits: Limits,
    pub(super) upstreams: Upstreams,
    pub(super) budgets: ClassBudgets,
    pub(super) query: Query,
    pub(super) sent: Vec<LegRequest>,
    pub(super) cancelled: Vec<LegId>,
    pub(super) wakes: Vec<Timestamp>,
    pub(super) outcome: Option<Result<Answer, Refusal>>,
    rng: SmallRng,
    setup: Setup,
}

impl Harness {
    /// Creates a harness with a query that has not started.
    pub(super) fn new(setup: Setup) -> Self {
        Self {
            now: Timestamp(0),
            snapshots: Vec::new(),
            suspects: Suspects::default(),
            limits: Limits::default(),
            upstreams: Upstreams::default(),
            budgets: ClassBudgets::default(),
            query: query(&setup, Timestamp(0)),
            sent: Vec::new(),
            cancelled: Vec::new(),
            wakes: Vec::new(),
            outcome: None,
            rng: SmallRng::seed_from_u64(1),
            setup,
        }
    }

    pub(super) fn start(setup: Setup) -> Self {
        let mut harness = Self::new(setup);
        harness.step(None);
        harness
    }

    /// Creates a harness and starts a query with the given options.
    pub(super) fn with_options(setup: Setup, options: QueryOptions) -> Self {
        let mut harness = Self::new(setup);
        harness.query = query(&setup, harness.now).with_options(options);
        harness.step(None);
        harness
    }

    /// Starts another query on the same tables.
    pub(super) fn next_query(&mut self) {
        self.query = query(&self.setup, self.now);
        self.sent.clear();
        self.cancelled.clear();
        self.wakes.clear();
        self.outcome = None;
        self.step(None);
    }

    /// Runs queries whose legs all reply after `took`, to fill the latency estimates.
    pub(super) fn warm_up(&mut self, queries: u32, took: Span) {
        for _ in 0..queries {
            self.next_query();
            self.now = self.now + took;
            for at in 0..self.sent.len() {
                self.reply(at);
            }
        }
    }

    pub(super) fn step(&mut self, event: Option<Event>) {
        let mut cx = Context {
            now: self.now,
            snapshots: &self.snapshots,
            suspects: &mut self.suspects,
            limits: &mut self.limits,
            upstreams: &mut self.upstreams,
            budgets: &mut self.budgets,
            rng: &mut self.rng,
        };
        let actions = match event {
            Some(event) => self.query.on_event(&mut cx, event),
            None => self.query.start(&mut cx),
        };
        for action in actions {
            match action {
                Action::Send(leg) => self.sent.push(leg),
                Action::Cancel(leg) => self.cancelled.push(leg),
                Action::WakeAt(at) => self.wakes.push(at),
                Action::Finish(outcome) => {
                    assert!(self.outcome.is_none(), "a query finishes once");
                    self.outcome = Some(outcome);
                }
            }
        }
    }

    /// A valid reply to the leg at this index of `sent`.
    pub(super) fn valid_reply(&self, sent_at: usize) -> LegReply {
        let leg = &self.sent[sent_at];
        LegReply {
            query: leg.query,
            leg: leg.leg,
            snapshot: leg.snapshot,
            range: leg.range,
            head: None,
            body: format!("{} {}", leg.snapshot, leg.range)
                .into_bytes()
                .into(),
        }
    }

    pub(super) fn reply(&mut self, sent_at: usize) {
        let reply = self.valid_reply(sent_at);
        self.step(Some(Event::Reply(reply.leg, reply)));
    }

    pub(super) fn fail(&mut self, sent_at: usize, failure: LegFailure) {
        let id = self.sent[sent_at].leg;
        self.step(Some(Event::Failure(id, failure)));
    }

    /// Advances the clock to `until` and wakes the query at each requested time on the way.
    pub(super) fn run_until(&mut self, until: Timestamp) {
        while let Some(at) = self.next_wake().filter(|at| *at <= until) {
            self.wakes.retain(|wake| *wake != at);
            self.now = self.now.max(at);
            self.step(Some(Event::Wake));
        }
        self.now = self.now.max(until);
    }

    pub(super) fn run_to_deadline(&mut self) {
        let deadline = self.now + LATENCY;
        self.run_until(deadline);
    }

    pub(super) fn answer(&self) -> &Answer {
        self.outcome.as_ref().unwrap().as_ref().unwrap()
    }

    pub(super) fn refusal(&self) -> &Refusal {
        self.outcome.as_ref().unwrap().as_ref().unwrap_err()
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.wakes.iter().min().copied()
    }
}

fn query(setup: &Setup, now: Timestamp) -> Query {
    Query::new(
        QueryId(u128::from(now.0) + 1),
        setup.class(),
        setup.snapshot(5),
        Arc::from(&b"q"[..]),
        now,
        now + LATENCY,
    )
}
