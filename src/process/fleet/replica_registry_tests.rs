//! Which replicas get new legs while their objects appear in the store, lapse and return.

use std::sync::Arc;

use rstest::rstest;

use super::{ReplicaEntry, ReplicaRegistry};
use crate::process::ObjectKey;
use crate::process::fleet::EntryState;
use crate::types::{ConnectionCount, SlotCount, Span, Timestamp};
use crate::version::UpstreamSpec;

fn entry(incarnation: u64, leaving: bool) -> ReplicaEntry {
    ReplicaEntry {
        service: "shard".parse().unwrap(),
        spec: UpstreamSpec {
            name: format!("a:{incarnation}").parse().unwrap(),
            addr: "127.0.0.1:1".parse().unwrap(),
            failure_domain: "suva-a".parse().unwrap(),
            slots: SlotCount(2),
            connections: ConnectionCount(0),
            connect_cost: Span::ZERO,
            leaving,
        },
    }
}

#[derive(Clone, Copy)]
enum Step {
    Ready(u64),
    Leaving(u64),
    Unreadable,
    Gone,
    Lapsed,
    Pass(Span),
}

struct Case {
    steps: &'static [Step],
    listed: bool,
    /// The replicas that running queries must not use any more.
    withdrawn: &'static [&'static str],
}

const SHORT: Span = Span::from_millis(1_900);
const LONG: Span = Span::from_millis(2_300);

#[rstest]
#[case::ready(Case { steps: &[Step::Ready(1)], listed: true, withdrawn: &[] })]
#[case::drains(Case { steps: &[Step::Ready(1), Step::Leaving(1)], listed: true, withdrawn: &["a:1"] })]
#[case::removed_without_draining(Case { steps: &[Step::Ready(1), Step::Gone], listed: false, withdrawn: &["a:1"] })]
#[case::restarted_under_its_id(Case { steps: &[Step::Ready(1), Step::Ready(2)], listed: true, withdrawn: &["a:1"] })]
#[case::lapsed_and_back(Case {
    steps: &[Step::Ready(1), Step::Lapsed, Step::Pass(SHORT), Step::Ready(1), Step::Pass(LONG)],
    listed: true, withdrawn: &[],
})]
#[case::lapsed_in_use_for_a_while(Case {
    steps: &[Step::Ready(1), Step::Lapsed, Step::Pass(SHORT)], listed: true, withdrawn: &[],
})]
#[case::lapsed_for_good(Case {
    steps: &[Step::Ready(1), Step::Lapsed, Step::Pass(LONG)], listed: false, withdrawn: &["a:1"],
})]
#[case::lapsed_twice_counts_from_the_first(Case {
    steps: &[Step::Ready(1), Step::Lapsed, Step::Pass(SHORT), Step::Lapsed, Step::Pass(SHORT)],
    listed: false, withdrawn: &["a:1"],
})]
#[case::lapsed_and_gone(Case {
    steps: &[Step::Ready(1), Step::Lapsed, Step::Gone], listed: false, withdrawn: &["a:1"],
})]
#[case::overwritten_with_an_unreadable_value(Case {
    steps: &[Step::Ready(1), Step::Unreadable], listed: false, withdrawn: &["a:1"],
})]
fn replicas_follow_their_objects(#[case] case: Case) {
    let mut replica_registry = ReplicaRegistry::default();
    let key = ObjectKey::new("replicas/a");
    let mut now = Timestamp(0);
    let mut withdrawn = Vec::new();
    let present = EntryState::Present(Arc::from([]));
    for step in case.steps {
        let (state, entry) = match step {
            Step::Ready(incarnation) => (present.clone(), Some(entry(*incarnation, false))),
            Step::Leaving(incarnation) => (present.clone(), Some(entry(*incarnation, true))),
            Step::Unreadable => (present.clone(), None),
            Step::Gone => (EntryState::Gone(None), None),
            Step::Lapsed => (EntryState::Lapsed, None),
            Step::Pass(span) => {
                now = now + *span;
                withdrawn.extend(replica_registry.drop_lapsed(now));
                continue;
            }
        };
        withdrawn.extend(replica_registry.apply(now, &key, &state, entry));
    }
    let names: Vec<&str> = withdrawn
        .iter()
        .map(crate::types::UpstreamName::as_str)
        .collect();
    assert_eq!(names, case.withdrawn);
    assert_eq!(replica_registry.by_key.len(), usize::from(case.listed));
}
