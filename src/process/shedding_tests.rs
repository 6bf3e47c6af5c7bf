//! Replicas with spare capacity shed a fraction of their legs and answer the rest: one
//! replica of each shard, or both alike.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Choice, LegEnd, Limits, SelectionRequest, UpstreamSignals, Upstreams};
use crate::request::LegFailure;
use crate::types::{ClassName, ConnectionCount, SlotCount, SnapshotId, Span, Timestamp};
use crate::version::UpstreamSpec;

/// The interval between the legs of one of seven instances to a shard, at 120 queries per
/// second in total.
const GAP: Span = Span::from_millis(60);
/// The users allow at most a fifth of the legs to be sent again.
const MAX_REPEAT_RATIO: f64 = 0.2;

struct Replica {
    took: Span,
    sheds: f64,
}

/// Sends legs for `duration` and returns the fraction that each replica got, and the
/// fraction that was shed.
fn run(
    upstreams: &mut Upstreams,
    from: Timestamp,
    duration: Span,
    replicas: &[Replica; 2],
) -> ([f64; 2], f64) {
    let mut rng = SmallRng::seed_from_u64(7);
    let limits = Limits::default();
    let class: ClassName = "counter".parse().unwrap();
    let specs = [spec("near", "suva-a"), spec("far", "labasa-a")];
    let (mut counts, mut shed) = ([0.0; 2], 0.0);
    let mut now = from;
    while now.since(from) < duration {
        let request = SelectionRequest {
            replicas: &specs,
            tried: 0,
            snapshot: SnapshotId(1),
        };
        if let Choice::Replica(at) = upstreams.choose(now, &limits, request, &mut rng) {
            counts[at] += 1.0;
            upstreams.begin(now, &specs[at]);
            let sheds = rng.random::<f64>() < replicas[at].sheds;
            let (took, end) = if sheds {
                shed += 1.0;
                let end = LegEnd::Failed(LegFailure::Shed);
                (Span::from_millis(2), end)
            } else {
                (replicas[at].took, LegEnd::Replied)
            };
            upstreams.end(now + took, &specs[at], &class, took, end);
        }
        now = now + GAP;
    }
    let all = counts[0] + counts[1];
    (counts.map(|count| count / all), shed / all)
}

fn spec(name: &str, domain: &str) -> Arc<UpstreamSpec> {
    Arc::new(UpstreamSpec {
        name: name.parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: domain.parse().unwrap(),
        slots: SlotCount(2),
        connections: ConnectionCount(25),
        connect_cost: Span::from_millis(6),
        leaving: false,
    })
}

const NEAR: Span = Span::from_millis(8);
const FAR: Span = Span::from_millis(30);

struct Case {
    name: &'static str,
    sheds: [f64; 2],
    /// The minimum and maximum fraction of the legs of nine seconds that the near replica
    /// gets.
    near: (f64, f64),
}

#[test]
fn a_replica_that_sheds_gets_few_legs_while_another_does_not() {
    let cases = [
        Case {
            name: "the near replica sheds six of ten legs",
            sheds: [0.6, 0.0],
            near: (0.0, MAX_REPEAT_RATIO / 0.6),
        },
        Case {
            name: "the near replica sheds all legs",
            sheds: [1.0, 0.0],
            near: (0.0, MAX_REPEAT_RATIO),
        },
        Case {
            name: "the far replica sheds six of ten legs",
            sheds: [0.0, 0.6],
            near: (0.9, 1.0),
        },
        Case {
            name: "both replicas shed alike, as in a burst",
            sheds: [0.3, 0.3],
            near: (0.3, 1.0),
        },
    ];
    for case in cases {
        let mut upstreams = Upstreams::default();
        upstreams.set_home("suva-a".parse().unwrap());
        let [near, far] = case.sheds;
        let healthy = [(NEAR, 0.0), (FAR, 0.0)].map(|(took, sheds)| Replica { took, sheds });
        run(&mut upstreams, Timestamp(0), Span::from_secs(10), &healthy);
        let sheds = [(NEAR, near), (FAR, far)].map(|(took, sheds)| Replica { took, sheds });
        let from = Timestamp(0) + Span::from_secs(10);
        let (ratios, shed) = run(&mut upstreams, from, Span::from_secs(9), &sheds);
        let (min, max) = case.near;
        assert!(
            (min..=max).contains(&ratios[0]),
            "{}: {ratios:?}, {shed} shed",
            case.name
        );
        if near.min(far) == 0.0 {
            assert!(shed < MAX_REPEAT_RATIO, "{}: {shed} shed", case.name);
        }

        let recovered_at = from + Span::from_secs(9 + 5);
        let (ratios, _) = run(&mut upstreams, recovered_at, Span::from_secs(5), &healthy);
        assert!(
            ratios[0] > 0.8,
            "{}: {ratios:?} after the recovery",
            case.name
        );
    }
}

struct PauseCase {
    name: &'static str,
    /// The legs in flight that the near replica turns away, each with the same pause.
    legs: usize,
    pause: Span,
}

/// Guards against a replica that stays unused for seconds after the pause that it wanted, while
/// the other one takes all the load.
#[test]
fn a_replica_gets_its_share_again_when_its_pause_ends() {
    let cases = [
        PauseCase {
            name: "one leg",
            legs: 1,
            pause: Span::from_millis(1_500),
        },
        PauseCase {
            name: "four legs at once",
            legs: 4,
            pause: Span::from_millis(1_500),
        },
        PauseCase {
            name: "a short pause",
            legs: 1,
            pause: Span::from_millis(100),
        },
    ];
    for case in cases {
        let mut upstreams = Upstreams::default();
        upstreams.set_home("suva-a".parse().unwrap());
        let healthy = [NEAR, FAR].map(|took| Replica { took, sheds: 0.0 });
        run(&mut upstreams, Timestamp(0), Span::from_secs(10), &healthy);

        let paused_at = Timestamp(0) + Span::from_secs(10);
        let (near, class) = (spec("near", "suva-a"), "counter".parse().unwrap());
        let signals = UpstreamSignals {
            pause: Some(case.pause),
            ..UpstreamSignals::default()
        };
        for _ in 0..case.legs {
            upstreams.begin(paused_at, &near);
        }
        for _ in 0..case.legs {
            let end = LegEnd::Failed(LegFailure::Shed);
            upstreams.note_signals(paused_at, &near, signals);
            upstreams.end(paused_at, &near, &class, Span::from_millis(2), end);
        }

        let (ratios, _) = run(&mut upstreams, paused_at, case.pause, &healthy);
        assert!(ratios[0] == 0.0, "{}: {ratios:?} in the pause", case.name);
        let ends_at = paused_at + case.pause;
        let (ratios, _) = run(&mut upstreams, ends_at, Span::from_secs(1), &healthy);
        assert!(ratios[0] > 0.8, "{}: {ratios:?} after it", case.name);
    }
}
