//! The table from error kind to answer is complete and consistent.

use super::{ErrorKind, Ran};

#[test]
fn each_row_is_at_the_index_of_its_kind() {
    for row in ErrorKind::TABLE {
        assert_eq!(row.kind.row(), row, "{}", row.code);
    }
}

#[test]
fn codes_are_unique() {
    for (at, row) in ErrorKind::TABLE.iter().enumerate() {
        let duplicate = ErrorKind::TABLE[at + 1..]
            .iter()
            .find(|other| other.code == row.code);
        assert_eq!(duplicate, None);
    }
}

#[test]
fn a_kind_that_follows_a_send_never_says_not_run() {
    let after_send = [
        ErrorKind::Crashed,
        ErrorKind::UpstreamFailed,
        ErrorKind::OutOfTime,
        ErrorKind::Unsettled,
        ErrorKind::Duplicate,
        ErrorKind::StaleKey,
        ErrorKind::Internal,
    ];
    for kind in after_send {
        assert_eq!(kind.row().ran, Ran::MayHaveRun, "{kind}");
    }
}
