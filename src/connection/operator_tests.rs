//! Targets are read strictly, and nothing that an operator sends makes reading panic.

use proptest::prelude::*;

use super::operator_wire::TargetsWire;

const GOOD: &str = r#"{"index":"finder","latency":"170ms","coverage":"99.5%","extra_load":"5%","repeatable":true}"#;

fn read(body: &[u8]) -> bool {
    let class = TargetsWire::read(body).and_then(|wire| wire.class(&"counter".parse().unwrap()));
    class.is_ok()
}

#[test]
fn what_is_whole_is_read() {
    assert!(read(GOOD.as_bytes()));
    assert!(read(format!(" \n{GOOD}\n").as_bytes()));
    assert!(!read(format!("{GOOD}{GOOD}").as_bytes()));
}

proptest! {
    #[test]
    fn random_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(!read(&bytes));
    }

    #[test]
    fn no_cut_body_is_read(len in 0..GOOD.len()) {
        prop_assert!(!read(&GOOD.as_bytes()[..len]));
    }

    #[test]
    fn no_other_field_is_passed_over(name in "[a-z_]{1,12}") {
        prop_assume!(!GOOD.contains(&format!("\"{name}\"")));
        let body = GOOD.replacen('{', &format!("{{\"{name}\":1,"), 1);
        let refusal = TargetsWire::read(body.as_bytes()).unwrap_err();
        prop_assert!(refusal.detail.contains(&name), "{}", refusal);
    }

    #[test]
    fn damaged_bodies_are_read_or_refused(at in 0..GOOD.len(), byte in any::<u8>()) {
        let mut body = GOOD.as_bytes().to_vec();
        body[at] = byte;
        read(&body);
    }
}
