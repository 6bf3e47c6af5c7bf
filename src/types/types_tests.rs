//! Every newtype reads what it prints and refuses what it should.

use rstest::rstest;

use super::{Coverage, FailureDomain, KeyRange, PerSecond, QueryId, Ratio, Span};

struct Case {
    text: &'static str,
    shown: Option<&'static str>,
}

fn check<T>(cases: &[Case])
where
    T: std::fmt::Display + std::str::FromStr,
{
    for case in cases {
        let shown = case.text.parse::<T>().ok().map(|value| value.to_string());
        assert_eq!(shown.as_deref(), case.shown, "for {:?}", case.text);
    }
}

#[test]
fn spans() {
    check::<Span>(&[
        Case {
            text: "170ms",
            shown: Some("170ms"),
        },
        Case {
            text: "3000ms",
            shown: Some("3s"),
        },
        Case {
            text: "50us",
            shown: Some("50us"),
        },
        Case {
            text: "170",
            shown: None,
        },
        Case {
            text: "-1s",
            shown: None,
        },
        Case {
            text: "99999999999999999999s",
            shown: None,
        },
    ]);
}

#[test]
fn ratios() {
    check::<Ratio>(&[
        Case {
            text: "99.5%",
            shown: Some("99.5%"),
        },
        Case {
            text: "100%",
            shown: Some("100%"),
        },
        Case {
            text: "100.1%",
            shown: None,
        },
        Case {
            text: "0.5",
            shown: None,
        },
        Case {
            text: "NaN%",
            shown: None,
        },
    ]);
}

#[test]
fn rates_names_and_ids() {
    check::<PerSecond>(&[
        Case {
            text: "12.5/s",
            shown: Some("12.5/s"),
        },
        Case {
            text: "inf",
            shown: None,
        },
    ]);
    check::<FailureDomain>(&[
        Case {
            text: "suva-a",
            shown: Some("suva-a"),
        },
        Case {
            text: "",
            shown: None,
        },
        Case {
            text: "a/b",
            shown: None,
        },
    ]);
    check::<QueryId>(&[
        Case {
            text: "ff",
            shown: Some("000000000000000000000000000000ff"),
        },
        Case {
            text: "xyz",
            shown: None,
        },
    ]);
    check::<KeyRange>(&[
        Case {
            text: "00000000-7fffffff",
            shown: Some("00000000-7fffffff"),
        },
        Case {
            text: "80000000-7fffffff",
            shown: None,
        },
    ]);
}

#[rstest]
#[case::nothing(&[], 0, false)]
#[case::half(&["00000000-7fffffff"], 500_000, false)]
#[case::all_of_two(&["80000000-ffffffff", "00000000-7fffffff"], 1_000_000, true)]
#[case::overlap(&["00000000-7fffffff", "40000000-7fffffff"], 500_000, false)]
#[case::one_key_missing(&["00000000-fffffffe"], 999_999, false)]
fn coverage(#[case] ranges: &[&str], #[case] ppm: u32, #[case] complete: bool) {
    let coverage: Coverage = ranges
        .iter()
        .map(|text| text.parse::<KeyRange>().unwrap())
        .collect();
    assert_eq!(coverage.ratio().ppm(), ppm);
    assert_eq!(coverage.is_complete(), complete);
}
