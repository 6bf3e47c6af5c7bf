//! Decoding of targets that operators send: it is strict and never panics.

use proptest::prelude::*;

use super::operator_wire::TargetsWire;

const VALID: &str = r#"{"index":"finder","latency":"170ms","coverage":"99.5%","extra_load":"5%","repeatable":true}"#;

fn is_accepted(body: &[u8]) -> bool {
    let class = TargetsWire::decode(body).and_then(|wire| wire.class(&"counter".parse().unwrap()));
    class.is_ok()
}

#[test]
fn only_a_single_complete_body_is_accepted() {
    assert!(is_accepted(VALID.as_bytes()));
    assert!(is_accepted(format!(" \n{VALID}\n").as_bytes()));
    assert!(!is_accepted(format!("{VALID}{VALID}").as_bytes()));
}

proptest! {
    #[test]
    fn random_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(!is_accepted(&bytes));
    }

    #[test]
    fn truncated_bodies_are_refused(len in 0..VALID.len()) {
        prop_assert!(!is_accepted(&VALID.as_bytes()[..len]));
    }

    #[test]
    fn unknown_fields_are_refused_by_name(name in "[a-z_]{1,12}") {
        prop_assume!(!VALID.contains(&format!("\"{name}\"")));
        let body = VALID.replacen('{', &format!("{{\"{name}\":1,"), 1);
        let refusal = TargetsWire::decode(body.as_bytes()).unwrap_err();
        prop_assert!(refusal.detail.contains(&name), "{}", refusal);
    }

    #[test]
    fn corrupted_bodies_do_not_panic(at in 0..VALID.len(), byte in any::<u8>()) {
        let mut body = VALID.as_bytes().to_vec();
        body[at] = byte;
        is_accepted(&body);
    }
}
