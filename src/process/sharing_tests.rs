//! Instances that never talk to each other share the slots of one replica.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::LegEnd;
use super::limits_tests::spec;
use super::sharing_ways::{SERVICE, Sharer, Way};
use crate::request::LegFailure;
use crate::types::{Span, Timestamp};

const SEED: u64 = 7;
const RUN: Span = Span::from_secs(20);
const ONE_WAY: Span = Span::from_millis(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask(usize),
    Arrive(usize, Timestamp),
    Served,
    Back(usize, Timestamp, bool),
}

/// What happened at the replica.
#[derive(Debug, Default)]
struct Seen {
    replies: Vec<u32>,
    sheds: u32,
    most_at_once: usize,
    busy: u64,
    waited: u64,
}

impl Seen {
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
    way: Way,
    live: u32,
    busy: usize,
    slots: u32,
    /// The replica refuses legs when so many wait for a slot.
    queue: usize,
    jitter: Span,
}

/// Instances that always have work share one replica for [`RUN`].
fn drive(load: &Load) -> Seen {
    let spec = spec(load.slots, 25);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut sharers: Vec<_> = (0..load.busy)
        .map(|_| Sharer::new(load.way, &spec, load.live))
        .collect();
    let mut seen = Seen {
        replies: vec![0; load.busy],
        ..Seen::default()
    };
    let mut events: BinaryHeap<_> = (0..load.busy)
        .map(|at| Reverse((Timestamp(at as u64 * 97), Event::Ask(at))))
        .collect();
    let mut waiting: VecDeque<(usize, Timestamp, Timestamp)> = VecDeque::new();
    let mut running = 0;
    let delay = |rng: &mut SmallRng| Span(ONE_WAY.0 + rng.random_range(0..=load.jitter.0));
    while let Some(Reverse((now, event))) = events.pop() {
        if now > Timestamp(RUN.0) {
            break;
        }
        match event {
            Event::Ask(at) => {
                let room = sharers[at].room_at(now, &spec);
                if room > now {
                    events.push(Reverse((room, Event::Ask(at))));
                    continue;
                }
                sharers[at].take(now, &spec);
                let arrives = now + delay(&mut rng);
                events.push(Reverse((arrives, Event::Arrive(at, now))));
                events.push(Reverse((now, Event::Ask(at))));
            }
            Event::Arrive(at, sent) if waiting.len() >= load.queue => {
                seen.sheds += 1;
                let back = now + delay(&mut rng);
                events.push(Reverse((back, Event::Back(at, sent, false))));
            }
            Event::Arrive(at, sent) => waiting.push_back((at, sent, now)),
            Event::Served => running -= 1,
            Event::Back(at, sent, replied) => {
                let end = if replied {
                    seen.replies[at] += 1;
                    LegEnd::Replied
                } else {
                    LegEnd::Failed(LegFailure::Shed)
                };
                sharers[at].end(now, &spec, end, now.since(sent));
            }
        }
        seen.most_at_once = seen.most_at_once.max(waiting.len() + running);
        while running < load.slots as usize {
            let Some((at, sent, arrived)) = waiting.pop_front() else {
                break;
            };
            running += 1;
            let service = Span(rng.random_range(SERVICE.0 / 2..=SERVICE.0 * 3 / 2));
            let done = now + service;
            seen.waited += now.since(arrived).0;
            seen.busy += service.0;
            events.push(Reverse((done, Event::Served)));
            let back = done + delay(&mut rng);
            events.push(Reverse((back, Event::Back(at, sent, true))));
        }
    }
    seen
}

struct Case {
    load: Load,
    least_utilisation: f64,
    longest_wait: Span,
}

impl Load {
    const fn adaptive(live: u32, busy: usize, slots: u32) -> Self {
        Self {
            way: Way::Adaptive,
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
    least_utilisation: 0.9,
    longest_wait: Span::from_millis(21),
})]
#[case::all_busy_four_slots(Case {
    load: Load::adaptive(7, 7, 4),
    least_utilisation: 0.9,
    longest_wait: Span::from_millis(21),
})]
#[case::unused_shares_are_not_wasted(Case {
    load: Load::adaptive(7, 1, 2),
    least_utilisation: 0.75,
    longest_wait: Span::from_millis(21),
})]
#[case::two_of_seven_busy(Case {
    load: Load::adaptive(7, 2, 2),
    least_utilisation: 0.9,
    longest_wait: Span::from_millis(21),
})]
#[case::upstream_sheds(Case {
    load: Load { queue: 2, ..Load::adaptive(7, 7, 2) },
    least_utilisation: 0.9,
    longest_wait: Span::from_millis(21),
})]
#[case::delay_varies(Case {
    load: Load { jitter: Span::from_millis(6), ..Load::adaptive(7, 7, 2) },
    least_utilisation: 0.9,
    longest_wait: Span::from_millis(21),
})]
fn instances_share_the_slots_without_a_call(#[case] case: Case) {
    let seen = drive(&case.load);
    let utilisation = seen.utilisation(case.load.slots);
    assert!(utilisation >= case.least_utilisation, "{utilisation}");
    assert!(seen.mean_wait() <= case.longest_wait, "{seen:?}");
    let least = seen.replies.iter().min().unwrap();
    let most = seen.replies.iter().max().unwrap();
    assert!(*most <= least * 2, "{seen:?}");
}

#[rstest]
#[case::ceiling(Way::Ceiling)]
#[case::bucket(Way::Bucket)]
fn a_fixed_share_wastes_what_others_leave(#[case] way: Way) {
    let fixed = drive(&Load {
        way,
        ..Load::adaptive(7, 1, 2)
    });
    let adaptive = drive(&Load::adaptive(7, 1, 2));
    assert!(adaptive.utilisation(2) > 2.0 * fixed.utilisation(2));
}

/// Run with `--nocapture` for the table in `docs/DESIGN.md`, "Limits".
#[test]
fn ways_of_sharing_compared() {
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
        for way in [Way::Ceiling, Way::Bucket, Way::Adaptive] {
            let seen = drive(&Load { way, ..*load });
            println!(
                "{} of {} busy, queue of {}, jitter {}, {way:?}: utilisation {:.2}, \
                 most at once {}, mean wait {}, shed {}, replies {:?}",
                load.busy,
                load.live,
                load.queue,
                load.jitter,
                seen.utilisation(load.slots),
                seen.most_at_once,
                seen.mean_wait(),
                seen.sheds,
                seen.replies
            );
            assert!(seen.most_at_once > 0);
        }
    }
}
