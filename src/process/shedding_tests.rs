//! Half of a service's replicas shed a part of what reaches them, with room to spare, and
//! answer the rest: one of each shard, or all alike.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Choice, LegEnd, Limits, Seeking, Upstreams};
use crate::request::LegFailure;
use crate::types::{ClassName, ConnectionCount, SlotCount, SnapshotId, Span, Timestamp};
use crate::version::UpstreamSpec;

/// What one of seven instances sends to a shard at 120 queries a second.
const GAP: Span = Span::from_millis(60);
/// The users let at most a fifth of the legs be sent again.
const REPEATS: f64 = 0.2;

struct Replica {
    took: Span,
    sheds: f64,
}

/// Sends legs for so long and counts those of each replica, and those that were shed.
fn run(
    upstreams: &mut Upstreams,
    from: Timestamp,
    lasts: Span,
    replicas: &[Replica; 2],
) -> ([f64; 2], f64) {
    let mut rng = SmallRng::seed_from_u64(7);
    let limits = Limits::default();
    let class: ClassName = "counter".parse().unwrap();
    let specs = [spec("near", "suva-a"), spec("far", "labasa-a")];
    let (mut counts, mut shed) = ([0.0; 2], 0.0);
    let mut now = from;
    while now.since(from) < lasts {
        let seeking = Seeking {
            replicas: &specs,
            tried: 0,
            snapshot: SnapshotId(1),
        };
        if let Choice::Replica(at) = upstreams.choose(now, &limits, seeking, &mut rng) {
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
    /// Of the legs of nine seconds, the least and the most that the near replica gets.
    near: (f64, f64),
}

#[test]
fn a_replica_that_sheds_gets_few_legs_while_another_takes_them() {
    let cases = [
        Case {
            name: "the near one sheds six of ten",
            sheds: [0.6, 0.0],
            near: (0.0, REPEATS / 0.6),
        },
        Case {
            name: "the near one sheds all",
            sheds: [1.0, 0.0],
            near: (0.0, REPEATS),
        },
        Case {
            name: "the far one sheds",
            sheds: [0.0, 0.6],
            near: (0.9, 1.0),
        },
        Case {
            name: "both shed alike, as under a burst",
            sheds: [0.3, 0.3],
            near: (0.3, 1.0),
        },
    ];
    for case in cases {
        let mut upstreams = Upstreams::default();
        upstreams.set_home("suva-a".parse().unwrap());
        let [near, far] = case.sheds;
        let well = [(NEAR, 0.0), (FAR, 0.0)].map(|(took, sheds)| Replica { took, sheds });
        run(&mut upstreams, Timestamp(0), Span::from_secs(10), &well);
        let sheds = [(NEAR, near), (FAR, far)].map(|(took, sheds)| Replica { took, sheds });
        let from = Timestamp(0) + Span::from_secs(10);
        let (parts, shed) = run(&mut upstreams, from, Span::from_secs(9), &sheds);
        let (least, most) = case.near;
        assert!(
            (least..=most).contains(&parts[0]),
            "{}: {parts:?}, {shed} shed",
            case.name
        );
        if near.min(far) == 0.0 {
            assert!(shed < REPEATS, "{}: {shed} shed", case.name);
        }

        let again = from + Span::from_secs(9 + 5);
        let (parts, _) = run(&mut upstreams, again, Span::from_secs(5), &well);
        assert!(parts[0] > 0.8, "{}: {parts:?} when it is over", case.name);
    }
}
