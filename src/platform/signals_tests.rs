//! What a replica says of itself is decoded or ignored, whatever its value.

use rstest::rstest;

use super::decode;
use crate::connection::response_head;
use crate::process::UpstreamSignals;
use crate::types::{PerSecond, Span};

struct Case {
    status: u16,
    fields: &'static [(&'static str, &'static str)],
    wanted: UpstreamSignals,
}

const NONE: UpstreamSignals = UpstreamSignals {
    rate_limit: None,
    leaving: false,
    pause: None,
    invalid: 0,
};
const INVALID: UpstreamSignals = UpstreamSignals { invalid: 1, ..NONE };

const fn pause(pause: Span) -> UpstreamSignals {
    UpstreamSignals {
        pause: Some(pause),
        ..NONE
    }
}

const LEAVING: UpstreamSignals = UpstreamSignals {
    leaving: true,
    ..NONE
};

const fn rate_limit(per_sec: f64) -> UpstreamSignals {
    UpstreamSignals {
        rate_limit: Some(PerSecond(per_sec)),
        ..NONE
    }
}

#[rstest]
#[case::none(Case { status: 200, fields: &[("Answer-Stamp", "1")], wanted: NONE })]
#[case::rate_limit(Case { status: 200, fields: &[("Server-Limit", "21.9")], wanted: rate_limit(21.9) })]
#[case::rate_limit_in_lower_case(Case { status: 200, fields: &[("server-limit", " 3 ")], wanted: rate_limit(3.0) })]
#[case::rate_limit_of_zero(Case { status: 200, fields: &[("Server-Limit", "0")], wanted: rate_limit(0.0) })]
#[case::negative_rate_limit(Case { status: 200, fields: &[("Server-Limit", "-1")], wanted: INVALID })]
#[case::infinite_rate_limit(Case { status: 200, fields: &[("Server-Limit", "inf")], wanted: INVALID })]
#[case::rate_limit_that_is_no_number(Case { status: 200, fields: &[("Server-Limit", "NaN")], wanted: INVALID })]
#[case::rate_limit_in_words(Case { status: 200, fields: &[("Server-Limit", "few")], wanted: INVALID })]
#[case::leaving(Case { status: 200, fields: &[("Server-Leaving", "1")], wanted: LEAVING })]
#[case::not_leaving(Case { status: 200, fields: &[("Server-Leaving", "0")], wanted: NONE })]
#[case::leaving_in_words(Case { status: 200, fields: &[("Server-Leaving", "soon")], wanted: INVALID })]
#[case::leaving_and_limited(Case {
    status: 200, fields: &[("Server-Leaving", "1"), ("Server-Limit", "2")],
    wanted: UpstreamSignals { leaving: true, ..rate_limit(2.0) },
})]
#[case::pause(Case { status: 503, fields: &[("Retry-After", "1.5")], wanted: pause(Span::from_millis(1_500)) })]
#[case::pause_without_refusal(Case { status: 200, fields: &[("Retry-After", "1.5")], wanted: NONE })]
#[case::pause_of_zero(Case { status: 503, fields: &[("Retry-After", "0")], wanted: pause(Span::ZERO) })]
#[case::negative_pause(Case { status: 503, fields: &[("Retry-After", "-2")], wanted: INVALID })]
#[case::endless_pause(Case { status: 503, fields: &[("Retry-After", "inf")], wanted: INVALID })]
#[case::pause_until_a_date(Case { status: 503, fields: &[("Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT")], wanted: INVALID })]
#[case::absurdly_long_pause(Case { status: 503, fields: &[("Retry-After", "1e300")], wanted: pause(Span(u64::MAX)) })]
fn signals_are_decoded_or_ignored(#[case] case: Case) {
    let head = response_head(case.status, case.fields);
    assert_eq!(decode(&head), case.wanted);
}
