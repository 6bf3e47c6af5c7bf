//! A catalog joins one configuration with the current replicas; a split follows its
//! weights, and routes over the same services share one snapshot.

use std::sync::Arc;

use indexmap::IndexMap;
use rstest::rstest;

use super::{Catalog, Replicas};
use crate::types::{ConfigVersion, Coverage, Ratio, Span};
use crate::version::{CallerLimits, Gather, Route, RouteTable, RouteTo};

fn catalog(routes: Vec<(&str, RouteTo)>) -> Catalog {
    let routes = routes.into_iter().map(|(name, to)| Route {
        name: name.parse().unwrap(),
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
        repeatable: true,
        timeout: Span::from_secs(1),
        target_latency: Span::from_millis(100),
        max_attempts: 2,
        to,
    });
    let table = RouteTable::new(
        ConfigVersion(7),
        routes.collect(),
        IndexMap::new(),
        CallerLimits::default(),
    );
    Catalog::new(Arc::new(table), &Replicas::new())
}

fn split(weights: &[f64]) -> RouteTo {
    let parts = weights.iter().enumerate();
    RouteTo::Split(
        parts
            .map(|(at, weight)| (format!("s{at}").parse().unwrap(), *weight))
            .collect(),
    )
}

struct Case {
    weights: &'static [f64],
    draw: f64,
    wanted: &'static str,
}

#[rstest]
#[case::first(Case { weights: &[3.0, 1.0], draw: 0.0, wanted: "s0" })]
#[case::first_to_its_weight(Case { weights: &[3.0, 1.0], draw: 0.74, wanted: "s0" })]
#[case::second(Case { weights: &[3.0, 1.0], draw: 0.76, wanted: "s1" })]
#[case::last_at_the_end(Case { weights: &[3.0, 1.0], draw: 1.0, wanted: "s1" })]
#[case::zero_weight_is_never_chosen(Case { weights: &[0.0, 1.0], draw: 0.0, wanted: "s1" })]
fn a_split_follows_its_weights(#[case] case: Case) {
    let catalog = catalog(vec![("r", split(case.weights))]);
    let plan = catalog.plan("a.example", "/r/x").unwrap();
    let destination = plan.destination(case.draw).unwrap();
    let service = destination.shards[0].service.as_ref().unwrap();
    assert_eq!(service.as_str(), case.wanted);
}

#[test]
fn routes_over_the_same_shards_share_a_snapshot() {
    let gather = |max_records| {
        RouteTo::Gather(Gather {
            shards: (0..20)
                .map(|at| format!("s{at}").parse().unwrap())
                .collect(),
            max_records,
            min_coverage: Ratio::ONE,
        })
    };
    let catalog = catalog(vec![("one", gather(50)), ("two", gather(5))]);
    let destination =
        |path| Arc::clone(&catalog.plan("a.example", path).unwrap().destinations[0].1);
    assert!(Arc::ptr_eq(&destination("/one/x"), &destination("/two/x")));
    let shards = &destination("/one/x").shards;
    let coverage: Coverage = shards.iter().map(|shard| shard.range).collect();
    assert!(coverage.is_complete());
}
