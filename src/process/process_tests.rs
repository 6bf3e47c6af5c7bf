//! The lock order is enforced, and all errors of the settings are reported together.

use std::net::SocketAddr;

use rstest::rstest;

use super::{CallRates, Rank, Ranked, Settings, SettingsError};
use crate::types::{ByteCount, PerSecond, Span};

#[test]
fn locks_are_taken_in_order() {
    let first = Ranked::new(Rank::Queries, 1);
    let second = Ranked::new(Rank::Upstreams, 2);
    let held = first.lock();
    assert_eq!(*held + *second.lock(), 3);
}

#[test]
#[should_panic(expected = "taken while")]
fn locks_taken_out_of_order_panic() {
    let first = Ranked::new(Rank::Queries, 1);
    let second = Ranked::new(Rank::Upstreams, 2);
    let _held = second.lock();
    let _wrong = first.lock();
}

fn settings() -> Settings {
    Settings {
        name: "one".parse().unwrap(),
        listen: "127.0.0.1:8080".parse().unwrap(),
        peer_listen: "127.0.0.1:8082".parse().unwrap(),
        peer_keys: vec![],
        operator_keys: Vec::new(),
        seeds: vec![],
        heartbeat: Span::from_secs(1),
        address_keep: Span::from_secs(10),
        drain: Span::from_secs(10),
        platform: "127.0.0.1:8081".parse().unwrap(),
        platform_rates: CallRates::default(),
        failure_domain: "suva-a".parse().unwrap(),
        region: "central".parse().unwrap(),
        workers: 4,
        io_threads: 2,
        max_body: ByteCount(1024),
    }
}

struct Case {
    change: fn(&mut Settings),
    wanted: fn(SocketAddr) -> Vec<SettingsError>,
}

#[rstest]
#[case::good(Case { change: |_| {}, wanted: |_| vec![] })]
#[case::two_at_once(Case {
    change: |settings| {
        settings.workers = 0;
        settings.io_threads = 65;
        settings.max_body = ByteCount(0);
    },
    wanted: |_| vec![SettingsError::Workers(0), SettingsError::IoThreads(65), SettingsError::MostBody],
})]
#[case::no_calls(Case {
    change: |settings| settings.platform_rates.writes = PerSecond(0.5),
    wanted: |_| vec![SettingsError::PlatformRates],
})]
#[case::operator_key_twice(Case {
    change: |settings| {
        let key = format!("k1:{}", "a".repeat(32)).parse().unwrap();
        settings.operator_keys = vec![key; 2];
    },
    wanted: |_| vec![SettingsError::DuplicateOperatorKey("k1".to_owned())],
})]
#[case::many_operator_keys(Case {
    change: |settings| {
        let key = |at| format!("k{at}:{}", "a".repeat(32)).parse().unwrap();
        settings.operator_keys = (0..5).map(key).collect();
    },
    wanted: |_| vec![SettingsError::OperatorKeys(5)],
})]
#[case::own_platform(Case {
    change: |settings| settings.platform = settings.listen,
    wanted: |listen| vec![SettingsError::SameAddress(listen)],
})]
fn settings_are_checked_together(#[case] case: Case) {
    let mut settings = settings();
    (case.change)(&mut settings);
    assert_eq!(settings.check(), (case.wanted)(settings.listen));
}
