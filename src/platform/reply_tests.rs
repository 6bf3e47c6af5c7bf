//! Only the replica's own complete response to this request counts as a reply, and a failure is
//! "not run" only if the replica states it.

use rstest::rstest;

use super::{ConnHistory, history_after, validate};
use crate::connection::response_head;
use crate::error::Ran;
use crate::request::LegFailure;

struct Case {
    status: u16,
    fields: &'static [(&'static str, &'static str)],
    wanted: Result<u16, LegFailure>,
}

const PROOF_FIELD: (&str, &str) = ("Answer-Stamp", "3e1b.07");
const ID_FIELD: (&str, &str) = ("Request-Id", "9c");

#[rstest]
#[case::good(Case { status: 200, fields: &[PROOF_FIELD, ID_FIELD], wanted: Ok(200) })]
#[case::answer_to_another_request(Case { status: 200, fields: &[PROOF_FIELD, ("Request-Id", "9d")], wanted: Err(LegFailure::Mangled) })]
#[case::without_proof(Case { status: 200, fields: &[ID_FIELD], wanted: Err(LegFailure::Mangled) })]
#[case::encoded(Case { status: 200, fields: &[PROOF_FIELD, ID_FIELD, ("Content-Encoding", "gzip")], wanted: Err(LegFailure::Mangled) })]
#[case::failure_with_proof(Case { status: 500, fields: &[PROOF_FIELD, ID_FIELD], wanted: Ok(500) })]
#[case::failure_without_proof(Case { status: 500, fields: &[ID_FIELD], wanted: Err(LegFailure::Mangled) })]
#[case::load_shedding(Case { status: 503, fields: &[("Not-Executed", "1")], wanted: Err(LegFailure::Shed) })]
#[case::busy_but_may_have_run(Case { status: 503, fields: &[PROOF_FIELD], wanted: Ok(503) })]
#[case::address_of_another_replica(Case { status: 421, fields: &[("Instance-Id", "i-2")], wanted: Err(LegFailure::Draining) })]
#[case::interim(Case { status: 100, fields: &[PROOF_FIELD], wanted: Err(LegFailure::Mangled) })]
#[case::interim_that_says_not_run(Case { status: 100, fields: &[("Not-Executed", "1")], wanted: Err(LegFailure::Mangled) })]
fn responses_are_validated(#[case] case: Case) {
    let head = response_head(case.status, case.fields);
    let validated = validate(&head, "9c", ConnHistory::New).map(|head| head.status);
    assert_eq!(validated, case.wanted);
    if let Err(failure) = validated {
        let has_field = case.fields.iter().any(|(name, _)| *name == "Not-Executed");
        let is_stated_not_run = case.status == 421 || (case.status >= 200 && has_field);
        assert_eq!(failure.ran() == Ran::NotRun, is_stated_not_run);
    }
}

struct HistoryCase {
    before: ConnHistory,
    status: u16,
    fields: &'static [(&'static str, &'static str)],
    is_used: bool,
    after: Option<ConnHistory>,
}

const NOT_RUN_FIELD: (&str, &str) = ("Not-Executed", "1");

/// Guards against the late copy of an earlier response that is taken for the answer, or for the
/// refusal, of the next request on its connection.
#[rstest]
#[case::answers_name_their_request(HistoryCase {
    before: ConnHistory::New, status: 200, fields: &[PROOF_FIELD, ID_FIELD],
    is_used: true, after: Some(ConnHistory::Identified),
})]
#[case::answer_without_id_on_a_new_connection(HistoryCase {
    before: ConnHistory::New, status: 200, fields: &[PROOF_FIELD], is_used: true, after: None,
})]
#[case::answer_without_id_after_others(HistoryCase {
    before: ConnHistory::Identified, status: 200, fields: &[PROOF_FIELD], is_used: false, after: None,
})]
#[case::refusal_without_id(HistoryCase {
    before: ConnHistory::Identified, status: 503, fields: &[NOT_RUN_FIELD],
    is_used: false, after: None,
})]
#[case::refusal_with_id(HistoryCase {
    before: ConnHistory::Identified, status: 503, fields: &[NOT_RUN_FIELD, ID_FIELD],
    is_used: false, after: Some(ConnHistory::Identified),
})]
#[case::two_ids(HistoryCase {
    before: ConnHistory::New, status: 200, fields: &[PROOF_FIELD, ID_FIELD, ("Request-Id", "9d")],
    is_used: false, after: None,
})]
fn late_copies_are_told_from_answers(#[case] case: HistoryCase) {
    let head = response_head(case.status, case.fields);
    let validated = validate(&head, "9c", case.before);
    assert_eq!(validated.is_ok(), case.is_used);
    assert_eq!(history_after(&head, &validated), case.after);
}
