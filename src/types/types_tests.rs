//! The newtypes parse their own output and reject invalid input.

use rstest::rstest;

use super::{Coverage, FailureDomain, KeyRange, PerSecond, QueryId, Ratio, Span};

struct Case {
    text: &'static str,
    /// The parsed value as text, or `None` if parsing must fail.
    expected: Option<&'static str>,
}

fn check<T>(cases: &[Case])
where
    T: std::fmt::Display + std::str::FromStr,
{
    for case in cases {
        let displayed = case.text.parse::<T>().ok().map(|value| value.to_string());
        assert_eq!(displayed.as_deref(), case.expected, "for {:?}", case.text);
    }
}

#[test]
fn spans() {
    check::<Span>(&[
        Case {
            text: "170ms",
            expected: Some("170ms"),
        },
        Case {
            text: "3000ms",
            expected: Some("3s"),
        },
        Case {
            text: "50us",
            expected: Some("50us"),
        },
        Case {
            text: "170",
            expected: None,
        },
        Case {
            text: "-1s",
            expected: None,
        },
        Case {
            text: "99999999999999999999s",
            expected: None,
        },
    ]);
}

#[test]
fn ratios() {
    check::<Ratio>(&[
        Case {
            text: "99.5%",
            expected: Some("99.5%"),
        },
        Case {
            text: "100%",
            expected: Some("100%"),
        },
        Case {
            text: "100.1%",
            expected: None,
        },
        Case {
            text: "0.5",
            expected: None,
        },
        Case {
            text: "NaN%",
            expected: None,
        },
    ]);
}

#[test]
fn rates_names_and_ids() {
    check::<PerSecond>(&[
        Case {
            text: "12.5/s",
            expected: Some("12.5/s"),
        },
        Case {
            text: "inf",
            expected: None,
        },
    ]);
    check::<FailureDomain>(&[
        Case {
            text: "suva-a",
            expected: Some("suva-a"),
        },
        Case {
            text: "",
            expected: None,
        },
        Case {
            text: "a/b",
            expected: None,
        },
    ]);
    check::<QueryId>(&[
        Case {
            text: "ff",
            expected: Some("000000000000000000000000000000ff"),
        },
        Case {
            text: "xyz",
            expected: None,
        },
    ]);
    check::<KeyRange>(&[
        Case {
            text: "00000000-7fffffff",
            expected: Some("00000000-7fffffff"),
        },
        Case {
            text: "80000000-7fffffff",
            expected: None,
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
