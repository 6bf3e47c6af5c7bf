//! A token is accepted only if it is complete, signed with a configured key and not expired.

use proptest::prelude::*;
use rstest::rstest;

use super::auth::{TokenError, sign, verify};
use crate::types::{OperatorKey, OperatorName, UnixSeconds};

fn key(id: &str, letter: &str) -> OperatorKey {
    format!("{id}:{}", letter.repeat(32)).parse().unwrap()
}

fn ana() -> OperatorName {
    "ana".parse().unwrap()
}

fn token() -> String {
    sign(&key("k1", "a"), &ana(), UnixSeconds(1_000))
}

struct Case {
    token: String,
    keys: Vec<OperatorKey>,
    now: u64,
    wanted: Result<&'static str, TokenError>,
}

#[rstest]
#[case::good(Case { token: token(), keys: vec![key("k1", "a")], now: 999, wanted: Ok("ana") })]
#[case::at_expiry(Case {
    token: token(), keys: vec![key("k1", "a")], now: 1_000, wanted: Err(TokenError::Expired),
})]
#[case::new_key_added(Case {
    token: token(), keys: vec![key("k2", "b"), key("k1", "a")], now: 1, wanted: Ok("ana"),
})]
#[case::old_key_removed(Case {
    token: token(), keys: vec![key("k2", "b")], now: 1, wanted: Err(TokenError::UnknownKey),
})]
#[case::other_secret_with_that_id(Case {
    token: token(), keys: vec![key("k1", "b")], now: 1, wanted: Err(TokenError::Forged),
})]
#[case::no_keys(Case { token: token(), keys: vec![], now: 1, wanted: Err(TokenError::UnknownKey) })]
#[case::another_operator(Case {
    token: token().replacen("ana", "eva", 1), keys: vec![key("k1", "a")], now: 1,
    wanted: Err(TokenError::Forged),
})]
#[case::extended_expiry(Case {
    token: token().replacen("1000", "9000", 1), keys: vec![key("k1", "a")], now: 1,
    wanted: Err(TokenError::Forged),
})]
#[case::truncated(Case {
    token: token()[..60].to_owned(), keys: vec![key("k1", "a")], now: 1,
    wanted: Err(TokenError::Malformed),
})]
#[case::extra_field(Case {
    token: format!("x~{}", token()), keys: vec![key("k1", "a")], now: 1,
    wanted: Err(TokenError::Malformed),
})]
#[case::empty(Case {
    token: String::new(), keys: vec![key("k1", "a")], now: 1, wanted: Err(TokenError::Malformed),
})]
fn only_valid_tokens_are_accepted(#[case] case: Case) {
    let verified = verify(&case.keys, &case.token, UnixSeconds(case.now));
    assert_eq!(
        verified,
        case.wanted.map(|operator| operator.parse().unwrap())
    );
}

#[test]
fn keys_are_redacted_and_malformed_keys_are_rejected() {
    let shown = format!("{0:?} {0}", key("k1", "a"));
    assert!(!shown.contains("aaaa"), "{shown}");
    for text in [
        "",
        "k1",
        "k1:short",
        &format!(":{}", "a".repeat(32)),
        &format!("k~1:{}", "a".repeat(32)),
    ] {
        let error = text.parse::<OperatorKey>().unwrap_err().to_string();
        assert!(!error.contains("short\""), "{error}");
    }
}

proptest! {
    #[test]
    fn arbitrary_text_is_rejected(text in ".{0,200}") {
        let keys = [key("k1", "a")];
        prop_assert!(verify(&keys, &text, UnixSeconds(1)).is_err());
    }

    #[test]
    fn damaged_tokens_are_rejected(at in 0..100_usize, byte in 0x20..0x7f_u8) {
        let token = token();
        let at = at % token.len();
        let mut damaged = token.clone().into_bytes();
        damaged[at] = byte;
        let damaged = String::from_utf8(damaged).unwrap();
        prop_assume!(!damaged.eq_ignore_ascii_case(&token));
        prop_assert!(verify(&[key("k1", "a")], &damaged, UnixSeconds(1)).is_err());
    }
}
