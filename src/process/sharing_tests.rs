//! Instances share the slots of one replica without communicating.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::LegEnd;
use super::limits_tests::spec;
use super::sharing_strategies::{Limiter, SERVICE_TIME, Strategy};
use crate::request::LegFailure;
use crate::types::{Span, Timestamp};

const SEED: u64 = 7;
const RUN: Span = Span::from_secs(20);
const ONE_WAY: Span = Span::from_millis(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Send(usize),
    Arrive(usize, Timestamp),
    Served,
    Reply(usize, Timestamp, bool),
}

/// Statistics of the replica.
#[derive(Debug, Default)]
struct ReplicaStats {
    replies: Vec<u32>,
    sheds: u32,
    max_at_once: usize,
    busy: u64,
    waited: u64,
}

impl ReplicaStats {
    #[expect(clippy::cast_precision_loss, reason = "counts of this test are small")]
    fn utilisation(&self, slots: u32) -> f64 {
        self.busy as f64 / (RUN.0 * u64::from(slots)) as f64
    }

    fn mean_wait(&self) -> Span {
        let replies: u32 = self.replies.iter().sum();
        Span(self.waited / u64::from(replies.max(1)))
    }
}

struct Load {
    strategy: Strategy,
    live: u32,
    busy: usize,
    slots: u32,
    /// The replica sheds legs while this many wait for a slot.
    queue: usize,
    jitter: Span,
}

/// Simulates instances that always have work and share one replica for [`RUN`].
fn drive(load: &Load) -> ReplicaStats {
    let spec = spec(load.slots, 25);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut limiters: Vec<_> = (0..load.busy)
        .map(|_| Limiter::new(load.strategy, &spec, load.live))
        .collect();
    let mut stats = ReplicaStats {
        replies: vec![0; load.busy],
        ..ReplicaStats::default()
    };
    let mut events: BinaryHeap<_> = (0..load.busy)
        .map(|at| Reverse((Timestamp(at as u64 * 97), Event::Send(at))))
        .collect();
    let mut waiting: VecDeque<(usize, Timestamp, Timestamp)> = VecDeque::new();
    let mut running = 0;
    let delay = |rng: &mut SmallRng| Span(ONE_WAY.0 + rng.random_range(0..=load.jitter.0));
    while let Some(Reverse((now, event))) = events.pop() {
        if now > Timestamp(RUN.0) {
            break;
        }
        match event {
            Event::Send(at) => {
                let room = limiters[at].room_at(now, &spec);
                if room > now {
                    events.push(Reverse((room, Event::Send(at))));
                    continue;
                }
                limiters[at].take(now, &spec);
                let arrives = now + delay(&mut rng);
                events.push(Reverse((arrives, Event::Arrive(at, now))));
                events.push(Reverse((now, Event::Send(at))));
            }
            Event::Arrive(at, sent) if waiting.len() >= load.queue => {
                stats.sheds += 1;
                let reply_at = now + delay(&mut rng);
                events.push(Reverse((reply_at, Event::Reply(at, sent, false))));
            }
            Event::Arrive(at, sent) => waiting.push_back((at, sent, now)),
            Event::Served => running -= 1,
            Event::Reply(at, sent, replied) => {
                let end = if replied {
                    stats.replies[at] += 1;
                    LegEnd::Replied
                } else {
                    LegEnd::Failed(LegFailure::Shed)
                };
                limiters[at].end(now, &spec, end, now.since(sent));
            }
        }
        stats.max_at_once = stats.max_at_once.max(waiting.len() + running);
        while running < load.slots as usize {
            let Some((at, sent, arrived)) = waiting.pop_front() else {
                break;
            };
            running += 1;
            let service = Span(rng.random_range(SERVICE_TIME.0 / 2..=SERVICE_TIME.0 * 3 / 2));
            let done = now + service;
            stats.waited += now.since(arrived).0;
            stats.busy += service.0;
            events.push(Reverse((done, Event::Served)));
            let reply_at = done + delay(&mut rng);
            events.push(Reverse((reply_at, Event::Reply(at, sent, true))));
        }
    }
    stats
}

struct Case {
    load: Load,
    min_utilisation: f64,
    max_mean_wait: Span,
}

impl Load {
    const fn adaptive(live: u32, busy: usize, slots: u32) -> Self {
        Self {
            strategy: Strategy::Adaptive,
            live,
            busy,
            slots,
            queue: usize::MAX,
            jitter: Span::ZERO,
        }
    }
}

#[rstest]
#[case::all_busy(Case {
    load: Load::adaptive(7, 7, 2),
    min_utilisation: 0.9,
    max_mean_wait: Span::from_millis(21),
})]
#[case::all_busy_four_slots(Case {
    load: Load::adaptive(7, 7, 4),
    min_utilisation: 0.9,
    max_mean_wait: Span::from_millis(21),
})]
#[case::unused_shares_are_not_wasted(Case {
    load: Load::adaptive(7, 1, 2),
    min_utilisation: 0.75,
    max_mean_wait: Span::from_millis(21),
})]
#[case::two_of_seven_busy(Case {
    load: Load::adaptive(7, 2, 2),
    min_utilisation: 0.9,
    max_mean_wait: Span::from_millis(21),
})]
#[case::upstream_sheds(Case {
    load: Load { queue: 2, ..Load::adaptive(7, 7, 2) },
    min_utilisation: 0.9,
    max_mean_wait: Span::from_millis(21),
})]
#[case::delay_varies(Case {
    load: Load { jitter: Span::from_millis(6), ..Load::adaptive(7, 7, 2) },
    min_utilisation: 0.9,
    max_mean_wait: Span::from_millis(21),
})]
fn instances_share_the_slots_without_coordination(#[case] case: Case) {
    let stats = drive(&case.load);
    let utilisation = stats.utilisation(case.load.slots);
    assert!(utilisation >= case.min_utilisation, "{utilisation}");
    assert!(stats.mean_wait() <= case.max_mean_wait, "{stats:?}");
    let min = stats.replies.iter().min().unwrap();
    let max = stats.replies.iter().max().unwrap();
    assert!(*max <= min * 2, "{stats:?}");
}

#[rstest]
#[case::ceiling(Strategy::Ceiling)]
#[case::bucket(Strategy::Bucket)]
fn a_fixed_share_wastes_slots_that_others_leave_unused(#[case] strategy: Strategy) {
    let fixed = drive(&Load {
        strategy,
        ..Load::adaptive(7, 1, 2)
    });
    let adaptive = drive(&Load::adaptive(7, 1, 2));
    assert!(adaptive.utilisation(2) > 2.0 * fixed.utilisation(2));
}

/// Run with `--nocapture` for the table in `docs/DESIGN.md`, "Limits".
#[test]
fn sharing_strategies_are_compared() {
    let loads = [
        Load::adaptive(7, 7, 2),
        Load::adaptive(7, 1, 2),
        Load {
            queue: 2,
            ..Load::adaptive(7, 7, 2)
        },
        Load {
            jitter: Span::from_millis(6),
            ..Load::adaptive(7, 7, 2)
        },
        Load {
            jitter: Span::from_millis(6),
            ..Load::adaptive(7, 1, 2)
        },
    ];
    for load in &loads {
        for strategy in [Strategy::Ceiling, Strategy::Bucket, Strategy::Adaptive] {
            let stats = drive(&Load { strategy, ..*load });
            println!(
                "{} of {} busy, queue of {}, jitter {}, {strategy:?}: utilisation {:.2}, \
                 most at once {}, mean wait {}, shed {}, replies {:?}",
                load.busy,
                load.live,
                load.queue,
                load.jitter,
                stats.utilisation(load.slots),
                stats.max_at_once,
                stats.mean_wait(),
                stats.sheds,
                stats.replies
            );
            assert!(stats.max_at_once > 0);
        }
    }
}
