//! One query against hand-driven upstreams: which legs it sends and what it answers.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::{Action, Answer, Context, Event, LegFailure, LegReply, LegRequest, Query};
use crate::error::{ErrorKind, Refusal};
use crate::process::{Budgets, Limits, Suspects, Upstreams};
use crate::types::{
    ConnectionCount, KeyRange, QueryId, Ratio, ShardId, SlotCount, SnapshotId, Span, Timestamp,
};
use crate::version::{Class, Shard, Snapshot, Targets, UpstreamSpec};

const LATENCY: Span = Span::from_millis(100);

fn upstream(name: &str) -> Arc<UpstreamSpec> {
    Arc::new(UpstreamSpec {
        name: name.parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "suva-a".parse().unwrap(),
        slots: SlotCount(2),
        connections: ConnectionCount(25),
        connect_cost: Span::from_millis(6),
        leaving: false,
    })
}

fn two_shards() -> Arc<Snapshot> {
    let ranges = ["00000000-7fffffff", "80000000-ffffffff"];
    let shards = (0..)
        .zip(ranges)
        .map(|(id, range)| Shard {
            id: ShardId(id),
            range: range.parse().unwrap(),
            replicas: vec![upstream(&format!("s{id}a")), upstream(&format!("s{id}b"))],
        })
        .collect();
    Arc::new(Snapshot {
        index: "finder".parse().unwrap(),
        id: SnapshotId(5),
        shards,
    })
}

fn class(repeatable: bool) -> Arc<Class> {
    Arc::new(Class {
        name: "counter".parse().unwrap(),
        index: "finder".parse().unwrap(),
        targets: Targets {
            latency: LATENCY,
            coverage: Ratio::ONE,
            extra_load: Ratio::ONE,
            repeatable,
        },
    })
}

struct Bench {
    now: Timestamp,
    suspects: Suspects,
    limits: Limits,
    upstreams: Upstreams,
    budgets: Budgets,
    rng: SmallRng,
    query: Query,
    sent: Vec<LegRequest>,
    outcome: Option<Result<Answer, Refusal>>,
}

impl Bench {
    fn start(repeatable: bool) -> Self {
        let query = Query::new(
            QueryId(1),
            class(repeatable),
            two_shards(),
            Arc::from(&b"q"[..]),
            Timestamp(0),
            Timestamp(0) + LATENCY,
        );
        let mut bench = Self {
            now: Timestamp(0),
            suspects: Suspects::default(),
            limits: Limits::default(),
            upstreams: Upstreams::default(),
            budgets: Budgets::default(),
            rng: SmallRng::seed_from_u64(1),
            query,
            sent: Vec::new(),
            outcome: None,
        };
        bench.step(None);
        bench
    }

    fn step(&mut self, event: Option<Event>) {
        let mut cx = Context {
            now: self.now,
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
                Action::Finish(outcome) => self.outcome = Some(outcome),
                Action::Cancel(_) | Action::WakeAt(_) => {}
            }
        }
    }

    fn reply(&mut self, sent_at: usize, change: impl FnOnce(&mut LegReply)) {
        let leg = &self.sent[sent_at];
        let id = leg.leg;
        let mut reply = LegReply {
            query: leg.query,
            leg: leg.leg,
            snapshot: leg.snapshot,
            range: leg.range,
            body: leg.range.to_string().into_bytes(),
        };
        change(&mut reply);
        self.step(Some(Event::Reply(id, reply)));
    }

    fn fail(&mut self, sent_at: usize, failure: LegFailure) {
        let id = self.sent[sent_at].leg;
        self.step(Some(Event::Failure(id, failure)));
    }
}

#[test]
fn each_shard_gets_one_leg_and_the_answer_is_whole() {
    let mut bench = Bench::start(true);
    assert_eq!(bench.sent.len(), 2);
    bench.reply(0, |_| {});
    assert!(bench.outcome.is_none());
    bench.reply(1, |_| {});
    let answer = bench.outcome.unwrap().unwrap();
    assert!(answer.coverage.is_complete() && answer.meets_target);
    assert_eq!(answer.parts.len(), 2);
}

struct Foreign {
    change: fn(&mut LegReply),
}

#[rstest]
#[case::other_query(Foreign { change: |reply| reply.query = QueryId(2) })]
#[case::other_snapshot(Foreign { change: |reply| reply.snapshot = SnapshotId(4) })]
#[case::other_range(Foreign { change: |reply| reply.range = KeyRange::ALL })]
fn a_reply_to_something_else_never_enters_the_answer(#[case] case: Foreign) {
    let mut bench = Bench::start(true);
    bench.reply(0, case.change);
    assert_eq!(bench.sent.len(), 3, "the shard is asked again");
    bench.reply(1, |_| {});
    bench.reply(2, |_| {});
    let answer = bench.outcome.unwrap().unwrap();
    assert!(
        answer
            .parts
            .iter()
            .all(|part| part.body == part.range.to_string().into_bytes())
    );
}

#[test]
fn what_is_missing_at_the_deadline_is_missing_from_the_coverage() {
    let mut bench = Bench::start(true);
    bench.reply(0, |_| {});
    bench.now = Timestamp(0) + LATENCY;
    bench.step(Some(Event::Wake));
    let answer = bench.outcome.unwrap().unwrap();
    assert_eq!(answer.coverage.ratio().ppm(), 500_000);
    assert!(!answer.meets_target);
}

struct Failing {
    repeatable: bool,
    failure: LegFailure,
    retried: bool,
}

#[rstest]
#[case::shed(Failing { repeatable: true, failure: LegFailure::Shed, retried: true })]
#[case::lost(Failing { repeatable: true, failure: LegFailure::Lost, retried: true })]
#[case::order_shed(Failing { repeatable: false, failure: LegFailure::Shed, retried: true })]
#[case::order_lost(Failing { repeatable: false, failure: LegFailure::Lost, retried: false })]
#[case::order_silent(Failing { repeatable: false, failure: LegFailure::Silent, retried: false })]
fn a_failed_leg_is_sent_again_only_where_that_is_allowed(#[case] case: Failing) {
    let mut bench = Bench::start(case.repeatable);
    bench.fail(0, case.failure);
    assert_eq!(bench.sent.len() > 2, case.retried);
}

#[rstest]
#[case::all_shed(LegFailure::Shed, ErrorKind::NoUpstream)]
#[case::all_lost(LegFailure::Lost, ErrorKind::UpstreamFailed)]
fn a_refusal_says_not_run_only_when_nothing_ran(
    #[case] failure: LegFailure,
    #[case] wanted: ErrorKind,
) {
    let mut bench = Bench::start(true);
    let mut at = 0;
    while at < bench.sent.len() {
        bench.fail(at, failure);
        at += 1;
    }
    assert_eq!(bench.outcome.unwrap().unwrap_err().kind, wanted);
}

#[test]
fn a_caller_that_hangs_up_ends_every_leg() {
    let mut bench = Bench::start(true);
    bench.step(Some(Event::CallerGone));
    assert!(bench.query.is_finished());
    assert_eq!(bench.upstreams.in_flight(), 0);
}
