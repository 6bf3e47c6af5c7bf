//! How long a request may take that begins while its instance stops, and how long queries are
//! refused whose upstreams were too slow.

use rstest::rstest;

use super::time_needed;
use crate::process::ClassLatency;
use crate::request::harness_tests::{Harness, Setup};
use crate::types::{Ratio, Span, Timestamp};
use crate::version::{Class, Targets};

/// How long upstreams do not reply.
const TROUBLE: Span = Span::from_secs(20);
/// The users' bound on the time after which requests are served again.
const RECOVERS_WITHIN: Span = Span::from_secs(12);
const JUDGED_FOR: Span = Span::from_secs(20);
const ALLOWED: Span = Span::from_secs(40);
const LEG: Span = Span::from_millis(20);

struct Case {
    repeatable: bool,
    /// The number of legs of the class that were answered, each after [`LEG`].
    answered: u32,
    allowed: Span,
    /// The least and the greatest time that may be expected.
    wanted: (Span, Span),
}

/// Guards against an instance that refuses all requests of a class that it has hardly seen, for the
/// whole of its stop, and against an order that is begun though its answer may come too late.
#[rstest]
#[case::nothing_is_known(Case { repeatable: true, answered: 0, allowed: ALLOWED, wanted: (Span::ZERO, Span::ZERO) })]
#[case::too_little_is_known(Case { repeatable: true, answered: 3, allowed: ALLOWED, wanted: (Span::ZERO, Span::ZERO) })]
#[case::by_the_legs_of_its_class(Case { repeatable: true, answered: 100, allowed: ALLOWED, wanted: (LEG, Span::from_millis(30)) })]
#[case::no_more_than_is_allowed(Case { repeatable: true, answered: 100, allowed: Span::from_millis(5), wanted: (Span::from_millis(5), Span::from_millis(5)) })]
#[case::an_order_whatever_is_known(Case { repeatable: false, answered: 100, allowed: ALLOWED, wanted: (ALLOWED, ALLOWED) })]
fn the_time_needed_follows_what_is_known(#[case] case: Case) {
    let mut latency = ClassLatency::default();
    for _ in 0..case.answered {
        latency.legs.learn(LEG);
    }
    let class = Class {
        name: "counter".parse().unwrap(),
        index: "finder".parse().unwrap(),
        targets: Targets {
            latency: ALLOWED,
            coverage: Ratio::ONE,
            extra_load: Ratio::default(),
            repeatable: case.repeatable,
        },
    };
    let needed = time_needed(&class, Some(&latency), case.allowed);
    let (least, most) = case.wanted;
    assert!(needed >= least && needed <= most, "{needed}");
}

struct RecoveryCase {
    shards: u32,
    queries_per_sec: u64,
}

/// Guards against an instance that goes on to refuse requests for minutes after its upstreams are
/// well again, because what it refuses brings no new evidence.
#[rstest]
#[case::a_route_that_is_rarely_used(RecoveryCase { shards: 1, queries_per_sec: 1 })]
#[case::a_route_that_is_used(RecoveryCase { shards: 1, queries_per_sec: 8 })]
#[case::a_rare_gather(RecoveryCase { shards: 20, queries_per_sec: 1 })]
#[case::a_gather(RecoveryCase { shards: 20, queries_per_sec: 8 })]
fn queries_are_admitted_again_soon_after_a_recovery(#[case] case: RecoveryCase) {
    let setup = Setup {
        shards: case.shards,
        ..Setup::default()
    };
    let mut harness = Harness::new(setup);
    let mut run = |from: Span, until: Span, is_well: bool| {
        let (mut admitted, mut all) = (0, 0);
        let interval = 1_000 / case.queries_per_sec;
        let mut at = from;
        while at < until {
            harness.now = Timestamp::default() + at;
            harness.next_query();
            all += 1;
            admitted += u32::from(harness.outcome.is_none());
            if is_well && harness.outcome.is_none() {
                harness.now = harness.now + LEG;
                (0..harness.sent.len()).for_each(|sent| harness.reply(sent));
            }
            harness.run_to_deadline();
            at = Span(at.0 + Span::from_millis(interval).0);
        }
        (admitted, all)
    };
    run(Span::ZERO, TROUBLE, false);
    let recovered = Span(TROUBLE.0 + RECOVERS_WITHIN.0);
    run(TROUBLE, recovered, true);
    let (admitted, all) = run(recovered, Span(recovered.0 + JUDGED_FOR.0), true);
    assert!(admitted * 4 > all * 3, "{admitted} of {all} admitted");
}
