//! How long a request may take that begins while its instance stops.

use rstest::rstest;

use super::time_needed;
use crate::process::ClassLatency;
use crate::types::{Ratio, Span};
use crate::version::{Class, Targets};

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
