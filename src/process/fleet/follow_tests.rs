//! What an instance remembers of the updates it sent to another, and what it concludes from those
//! that it receives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task::{block_on, sleep};
use rstest::rstest;
use serde_json::json;

use super::super::slow_link_tests::start_node;
use super::{FollowReason, Node, Progress, Updates, apply_updates};
use crate::process::platform::fake::FakePlatform;
use crate::types::{Era, Incarnation, Position, Span};

struct Case {
    answered: u64,
    wanted: u64,
}

/// A followed instance that restarts has lost its state, so it must be sent all instances
/// again.
#[rstest]
#[case::same_process(Case { answered: 7, wanted: 40 })]
#[case::started_meanwhile(Case { answered: 8, wanted: 0 })]
fn a_restarted_instance_is_sent_everything_again(#[case] case: Case) {
    let progress = Progress {
        of: Incarnation(7),
        sent: Position(40),
        ..Progress::default()
    };
    assert_eq!(
        progress.after_answer(Incarnation(case.answered)).sent,
        Position(case.wanted)
    );
}

struct AgeCase {
    reason: FollowReason,
    /// The era of the updates. The instance itself has read the store in era 1.
    era: Option<Era>,
    counts_as_confirmed: bool,
}

/// Guards against an instance that is cut off from the store and counts its old configuration as
/// confirmed, because another one said when the store confirmed objects that it did not send.
#[rstest]
#[case::updates_of_the_parent(AgeCase { reason: FollowReason::Follows, era: Some(Era(1)), counts_as_confirmed: true })]
#[case::of_a_later_era(AgeCase { reason: FollowReason::Follows, era: Some(Era(2)), counts_as_confirmed: true })]
#[case::of_an_earlier_era(AgeCase { reason: FollowReason::Follows, era: Some(Era(0)), counts_as_confirmed: false })]
#[case::of_the_version_before(AgeCase { reason: FollowReason::Follows, era: None, counts_as_confirmed: false })]
#[case::a_probe_without_objects(AgeCase { reason: FollowReason::Looks, era: Some(Era(1)), counts_as_confirmed: false })]
fn only_updates_with_all_objects_confirm_those_that_are_known(#[case] case: AgeCase) {
    block_on(async {
        let store = Arc::new(FakePlatform::default());
        store.begin_eras();
        store.set("config/main", &json!({"version": 1}));
        let addr = SocketAddr::from(([127, 0, 2, 1], 1));
        let node = start_node("cut-off", addr, Vec::new(), Arc::clone(&store));
        while !node.catalog().is_known() {
            sleep(Duration::from_millis(10)).await;
        }
        store.faults(|faults| faults.down = true);
        sleep(Duration::from_millis(300)).await;
        let before = age(&node);
        let updates = Updates {
            era: case.era,
            ..updates(&node)
        };
        apply_updates(&node, case.reason, Progress::default(), updates);
        assert_eq!(age(&node) < before, case.counts_as_confirmed);
    });
}

fn age(node: &Node) -> Span {
    let now = node.clock.now();
    node.object_cache.lock().age(now).unwrap()
}

/// Returns updates of another instance that knows of no change, confirmed by the store just now.
fn updates(node: &Node) -> Updates {
    let mut from = node.settings.me.clone();
    from.member.name = "other".parse().unwrap();
    from.member.peer_addr = SocketAddr::from(([127, 0, 2, 2], 1));
    Updates {
        via: vec![from.member.name.clone()],
        from,
        of: Incarnation(1),
        era: Some(Era::default()),
        age: Some(Span::ZERO),
        objects: Vec::new(),
        large: Vec::new(),
        chunks: Vec::new(),
        objects_to: Position(7),
        is_complete: true,
        members: Vec::new(),
        members_to: Position(1),
        poison: Vec::new(),
        silent: Vec::new(),
    }
}
