//! Replica selection: how many legs each replica gets, and which ones get none.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::{Choice, LegEnd, SelectionRequest, Upstreams};
use crate::process::Limits;
use crate::request::LegFailure;
use crate::types::{ClassName, ConnectionCount, SlotCount, SnapshotId, Span, Timestamp};
use crate::version::UpstreamSpec;

const LEGS: usize = 2_000;
const GAP: Span = Span::from_millis(5);

fn spec(name: &str, domain: &str) -> Arc<UpstreamSpec> {
    Arc::new(UpstreamSpec {
        name: name.parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: domain.parse().unwrap(),
        slots: SlotCount(100),
        connections: ConnectionCount(25),
        connect_cost: Span::from_millis(6),
        leaving: false,
    })
}

/// Two replicas of one shard with fixed latencies.
struct Harness {
    now: Timestamp,
    upstreams: Upstreams,
    limits: Limits,
    rng: SmallRng,
    replicas: Vec<Arc<UpstreamSpec>>,
    took: [Span; 2],
    class: ClassName,
}

impl Harness {
    fn new(took_ms: [u64; 2]) -> Self {
        Self {
            now: Timestamp(0),
            upstreams: Upstreams::default(),
            limits: Limits::default(),
            rng: SmallRng::seed_from_u64(7),
            replicas: vec![spec("near", "suva-a"), spec("far", "labasa-a")],
            took: took_ms.map(Span::from_millis),
            class: "counter".parse().unwrap(),
        }
    }

    fn choose(&mut self) -> Choice {
        let request = SelectionRequest {
            replicas: &self.replicas,
            tried: 0,
            snapshot: SnapshotId(1),
        };
        self.upstreams
            .choose(self.now, &self.limits, request, &mut self.rng)
    }

    fn end(&mut self, at: usize, took: Span, end: LegEnd) {
        let spec = Arc::clone(&self.replicas[at]);
        self.upstreams.begin(self.now, &spec);
        self.upstreams.end(self.now, &spec, &self.class, took, end);
    }

    /// Sends legs one after another and returns how many each replica got.
    fn run(&mut self, legs: usize) -> [usize; 2] {
        let mut counts = [0; 2];
        for _ in 0..legs {
            if let Choice::Replica(at) = self.choose() {
                counts[at] += 1;
                self.end(at, self.took[at], LegEnd::Replied);
            }
            self.now = self.now + GAP;
        }
        counts
    }

    fn fail(&mut self, at: usize, failure: LegFailure) {
        self.end(at, Span::ZERO, LegEnd::Failed(failure));
    }
}

struct TrafficSplit {
    took_ms: [u64; 2],
    first_replica: (usize, usize),
}

#[rstest]
#[case::equal(TrafficSplit { took_ms: [10, 10], first_replica: (800, 2_000) })]
#[case::a_near_one(TrafficSplit { took_ms: [10, 28], first_replica: (1_900, 1_999) })]
#[case::a_straggler(TrafficSplit { took_ms: [200, 10], first_replica: (1, 40) })]
fn faster_replicas_get_more_legs_and_slow_ones_are_still_probed(#[case] case: TrafficSplit) {
    let mut harness = Harness::new(case.took_ms);
    harness.upstreams.set_home("suva-a".parse().unwrap());
    let counts = harness.run(LEGS);
    let (low, high) = case.first_replica;
    assert!((low..=high).contains(&counts[0]), "{counts:?}");
}

/// After a loss of power of all machines, nothing is known of any replica, and two queries
/// send a leg to each shard before the first reply arrives. Both legs must go to the near
/// replica.
#[test]
fn after_a_restart_near_replicas_go_first() {
    let mut upstreams = Upstreams::default();
    upstreams.set_home("suva-a".parse().unwrap());
    let mut rng = SmallRng::seed_from_u64(7);
    let now = Timestamp(0);
    let near = (0..20).filter(|shard| {
        let replicas = [
            spec(&format!("far-{shard}"), "labasa-a"),
            spec(&format!("near-{shard}"), "suva-a"),
        ];
        let request = SelectionRequest {
            replicas: &replicas,
            tried: 0,
            snapshot: SnapshotId(1),
        };
        let first = upstreams.choose(now, &Limits::default(), request, &mut rng);
        upstreams.begin(now, &replicas[1]);
        let second = upstreams.choose(now, &Limits::default(), request, &mut rng);
        [first, second] == [Choice::Replica(1); 2]
    });
    assert_eq!(near.count(), 20);
}

/// Each region has one replica of a shard. Comparing only two replicas drawn at random would
/// miss the near one whenever the draw leaves it out.
#[test]
fn few_replicas_are_all_compared() {
    let mut harness = Harness::new([8, 38]);
    harness.replicas.push(spec("farther", "mal-punta"));
    let mut near = 0;
    for _ in 0..200 {
        let Choice::Replica(at) = harness.choose() else {
            panic!("all replicas have capacity");
        };
        near += usize::from(at == 0);
        let took = Span::from_millis([8, 38, 40][at]);
        harness.end(at, took, LegEnd::Replied);
        harness.now = harness.now + GAP;
    }
    assert!(near >= 190, "{near} of 200 legs went to the near replica");
}

/// Far replicas of many shards are idle most of the time, so their expected latency decays.
/// It must not fall below the minimum latency of their failure domain, or they would
/// attract legs.
#[test]
fn a_far_replica_gets_no_legs_while_the_near_one_is_healthy() {
    let mut harness = Harness::new([8, 38]);
    harness.upstreams.set_home("suva-a".parse().unwrap());
    // Another shard has replicas only in the far failure domain.
    let other = spec("other", "labasa-a");
    let mut far = 0;
    for _ in 0..500 {
        far += harness.run(1)[1];
        let took = Span::from_millis(38);
        let now = harness.now;
        harness.upstreams.begin(now, &other);
        harness
            .upstreams
            .end(now, &other, &harness.class, took, LegEnd::Replied);
        harness.now = now + Span::from_millis(80);
    }
    assert!(far <= 2, "{far} of 500 legs went to the far replica");
}

#[test]
fn a_straggler_that_recovers_gets_its_share_back() {
    let mut harness = Harness::new([200, 12]);
    harness.run(LEGS);
    harness.took[0] = Span::from_millis(10);
    harness.run(LEGS);
    let counts = harness.run(LEGS);
    assert!(counts[0] > LEGS / 2, "{counts:?}");
}

#[test]
fn legs_in_flight_raise_the_cost() {
    let mut harness = Harness::new([10, 10]);
    harness.run(100);
    let mut counts = [0_usize; 2];
    for _ in 0..100 {
        let Choice::Replica(at) = harness.choose() else {
            panic!("both replicas have capacity");
        };
        let spec = Arc::clone(&harness.replicas[at]);
        harness.upstreams.begin(harness.now, &spec);
        counts[at] += 1;
    }
    assert!(counts[0].abs_diff(counts[1]) <= 20, "{counts:?}");
}

#[test]
fn cancelled_legs_show_that_an_upstream_is_slow() {
    let mut harness = Harness::new([10, 10]);
    harness.run(100);
    for _ in 0..10 {
        harness.end(0, Span::from_millis(60), LegEnd::Cancelled);
    }
    let counts = harness.run(50);
    assert!(counts[1] >= 45, "{counts:?}");
}

struct Excluded {
    failure: LegFailure,
    times: u32,
    after: Span,
    chosen: bool,
}

#[rstest]
#[case::failed(Excluded {
    failure: LegFailure::Failed, times: 1, after: Span::from_millis(499), chosen: false,
})]
#[case::failed_then_probed(Excluded {
    failure: LegFailure::Failed, times: 1, after: Span::from_millis(501), chosen: true,
})]
#[case::draining(Excluded {
    failure: LegFailure::Draining, times: 1, after: Span::from_millis(4_999), chosen: false,
})]
#[case::shedding(Excluded {
    failure: LegFailure::Shed, times: 1, after: Span::from_millis(4), chosen: false,
})]
#[case::silent_does_not_exclude(Excluded {
    failure: LegFailure::Silent, times: 3, after: Span::ZERO, chosen: true,
})]
fn a_failed_upstream_is_excluded_for_a_while(#[case] case: Excluded) {
    let mut harness = Harness::new([10, 30]);
    harness.run(20);
    for _ in 0..case.times {
        harness.fail(0, case.failure);
    }
    harness.now = harness.now + case.after;
    let chosen = (0..50).any(|_| harness.choose() == Choice::Replica(0));
    assert_eq!(chosen, case.chosen);
}

#[test]
fn repeated_failures_back_off_exponentially() {
    let mut harness = Harness::new([10, 10]);
    harness.run(20);
    let mut probes = 0;
    for _ in 0..12_000 {
        let Choice::Replica(at) = harness.choose() else {
            panic!("one replica is healthy");
        };
        if at == 0 {
            probes += 1;
            harness.fail(0, LegFailure::Unreachable);
        } else {
            harness.end(1, Span::from_millis(10), LegEnd::Replied);
        }
        harness.now = harness.now + GAP;
    }
    assert!((5..=9).contains(&probes), "{probes} probes in a minute");
}

#[test]
fn when_every_replica_failed_one_is_still_chosen() {
    let mut harness = Harness::new([10, 10]);
    harness.fail(0, LegFailure::Lost);
    harness.fail(1, LegFailure::Lost);
    assert!(matches!(harness.choose(), Choice::Replica(_)));
}

struct Closed {
    close: fn(&mut Harness),
    gone: bool,
}

#[rstest]
#[case::leaving(Closed {
    close: |harness| {
        for replica in &mut harness.replicas {
            Arc::make_mut(replica).leaving = true;
        }
    },
    gone: false,
})]
#[case::draining(Closed {
    close: |harness| (0..2).for_each(|at| harness.fail(at, LegFailure::Draining)),
    gone: false,
})]
#[case::snapshot_gone(Closed {
    close: |harness| {
        for at in 0..2 {
            let spec = Arc::clone(&harness.replicas[at]);
            harness.upstreams.note_snapshot_gone(harness.now, &spec, SnapshotId(1));
        }
    },
    gone: true,
})]
fn upstreams_that_leave_or_lost_the_snapshot_get_no_legs(#[case] case: Closed) {
    let mut harness = Harness::new([10, 10]);
    (case.close)(&mut harness);
    assert_eq!(harness.choose(), Choice::NoReplica { gone: case.gone });
}

#[test]
fn a_new_upstream_gets_a_share_that_grows() {
    let mut harness = Harness::new([10, 10]);
    let newcomer = harness.replicas.remove(0);
    harness.replicas.push(spec("third", "suva-a"));
    harness.run(LEGS);
    harness.replicas[1] = newcomer;
    harness.took = [Span::from_millis(12), Span::from_millis(8)];
    let first = harness.run(200)[1];
    harness.run(1_600);
    let last = harness.run(200)[1];
    assert!(first <= 40, "{first} of 200 in the first second");
    assert!(last >= 100, "{last} of 200 in the tenth second");
}

struct SilenceCase {
    late_replies: bool,
    first_replica: (usize, usize),
}

/// A replica that stops replying costs each query a hedge until it is avoided. One that only
/// pauses replies late and keeps its legs.
#[rstest]
#[case::silent(SilenceCase { late_replies: false, first_replica: (0, 2) })]
#[case::paused(SilenceCase { late_replies: true, first_replica: (40, 50) })]
fn a_silent_replica_is_avoided(#[case] case: SilenceCase) {
    let mut harness = Harness::new([8, 60]);
    harness.run(100);
    for _ in 0..3 {
        harness.end(0, Span::from_millis(20), LegEnd::Cancelled);
    }
    if case.late_replies {
        let name = harness.replicas[0].name.clone();
        harness.upstreams.note_reply(harness.now, &name);
    }
    let counts = harness.run(50);
    let (low, high) = case.first_replica;
    assert!((low..=high).contains(&counts[0]), "{counts:?}");
}
