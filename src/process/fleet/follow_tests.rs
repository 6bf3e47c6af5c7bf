//! What an instance remembers of the updates it sent to another.

use rstest::rstest;

use super::Progress;
use crate::types::{Incarnation, Position};

struct Case {
    answered: u64,
    wanted: u64,
}

/// A followed instance that restarts has lost its state, so it must be sent all instances
/// again.
#[rstest]
#[case::same_process(Case { answered: 7, wanted: 40 })]
#[case::started_meanwhile(Case { answered: 8, wanted: 0 })]
fn a_restarted_instance_is_sent_everything_again(#[case] case: Case) {
    let progress = Progress {
        of: Incarnation(7),
        sent: Position(40),
        ..Progress::default()
    };
    assert_eq!(
        progress.after_answer(Incarnation(case.answered)).sent,
        Position(case.wanted)
    );
}
