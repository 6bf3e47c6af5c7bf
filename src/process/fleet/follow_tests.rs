//! What an instance remembers of having told another.

use rstest::rstest;

use super::Seen;
use crate::types::{Incarnation, Position};

struct Case {
    answered: u64,
    wanted: u64,
}

/// An instance that is followed starts anew: it has to be told of all others again.
#[rstest]
#[case::same_process(Case { answered: 7, wanted: 40 })]
#[case::started_meanwhile(Case { answered: 8, wanted: 0 })]
fn told_again_after_a_start(#[case] case: Case) {
    let seen = Seen {
        of: Incarnation(7),
        told: Position(40),
        ..Seen::default()
    };
    assert_eq!(
        seen.by(Incarnation(case.answered)).told,
        Position(case.wanted)
    );
}
