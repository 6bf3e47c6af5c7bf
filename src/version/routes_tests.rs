//! A request matches the route with the longest prefix of its path on its own host, or none.

use indexmap::IndexMap;
use rstest::rstest;

use super::{CallerLimits, Route, RouteTable, RouteTo};
use crate::types::{ConfigVersion, Span};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        repeatable: true,
        timeout: Span::from_secs(1),
        target_latency: Span::from_millis(100),
        max_attempts: 2,
        to: RouteTo::One("desk".parse().unwrap()),
    }
}

struct Case {
    host: &'static str,
    path: &'static str,
    wanted: Option<&'static str>,
}

#[rstest]
#[case::short(Case { host: "a.example", path: "/one/2f", wanted: Some("short") })]
#[case::longest(Case { host: "a.example", path: "/one/two/2f", wanted: Some("long") })]
#[case::only_whole_segments(Case { host: "a.example", path: "/one/twofold", wanted: Some("short") })]
#[case::other_host(Case { host: "b.example", path: "/one/2f", wanted: Some("other") })]
#[case::unknown_host(Case { host: "c.example", path: "/one/2f", wanted: None })]
#[case::no_prefix(Case { host: "a.example", path: "/three/", wanted: None })]
#[case::prefix_without_its_slash(Case { host: "a.example", path: "/one", wanted: None })]
fn longest_matching_prefix_wins(#[case] case: Case) {
    let table = RouteTable::new(
        ConfigVersion(1),
        vec![
            route("short", "a.example", "/one/"),
            route("long", "a.example", "/one/two/"),
            route("other", "b.example", "/one/"),
        ],
        IndexMap::new(),
        CallerLimits::default(),
    );
    let found = table.find(case.host, case.path);
    assert_eq!(found.map(|route| route.name.as_str()), case.wanted);
}
