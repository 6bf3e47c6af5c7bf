//! What a replica says of itself is decoded or ignored, whatever its value.

use rstest::rstest;

use super::decode;
use crate::connection::Fields;
use crate::process::UpstreamSignals;
use crate::types::PerSecond;

struct Case {
    fields: &'static [(&'static str, &'static str)],
    wanted: UpstreamSignals,
}

const NONE: UpstreamSignals = UpstreamSignals {
    rate_limit: None,
    leaving: false,
    invalid: 0,
};
const INVALID: UpstreamSignals = UpstreamSignals { invalid: 1, ..NONE };

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
#[case::none(Case { fields: &[("Answer-Stamp", "1")], wanted: NONE })]
#[case::rate_limit(Case { fields: &[("Server-Limit", "21.9")], wanted: rate_limit(21.9) })]
#[case::rate_limit_in_lower_case(Case { fields: &[("server-limit", " 3 ")], wanted: rate_limit(3.0) })]
#[case::rate_limit_of_zero(Case { fields: &[("Server-Limit", "0")], wanted: rate_limit(0.0) })]
#[case::negative_rate_limit(Case { fields: &[("Server-Limit", "-1")], wanted: INVALID })]
#[case::infinite_rate_limit(Case { fields: &[("Server-Limit", "inf")], wanted: INVALID })]
#[case::rate_limit_that_is_no_number(Case { fields: &[("Server-Limit", "NaN")], wanted: INVALID })]
#[case::rate_limit_in_words(Case { fields: &[("Server-Limit", "few")], wanted: INVALID })]
#[case::leaving(Case { fields: &[("Server-Leaving", "1")], wanted: LEAVING })]
#[case::not_leaving(Case { fields: &[("Server-Leaving", "0")], wanted: NONE })]
#[case::leaving_in_words(Case { fields: &[("Server-Leaving", "soon")], wanted: INVALID })]
#[case::leaving_and_limited(Case {
    fields: &[("Server-Leaving", "1"), ("Server-Limit", "2")],
    wanted: UpstreamSignals { leaving: true, ..rate_limit(2.0) },
})]
fn signals_are_decoded_or_ignored(#[case] case: Case) {
    let headers: Vec<httparse::Header<'_>> = case
        .fields
        .iter()
        .map(|(name, value)| httparse::Header {
            name,
            value: value.as_bytes(),
        })
        .collect();
    assert_eq!(decode(&Fields::from(headers.as_slice())), case.wanted);
}
