//! Tests the contract of the platform's object API. Each case runs on the HTTP client with
//! the simulated platform server and on the in-memory fake that other tests use.

mod standin;

use std::time::Duration;

use hyssopwalk::{Expected, ObjectKey, PlatformError, Span};
use rstest::rstest;
use serde_json::json;
use standin::contract::{
    ContractRun, ExpectedVersion, PlatformUnderTest, Step, StepResult, keys, number, step_result,
};
use standin::platform::Rates;

struct Case {
    steps: Vec<(Step, StepResult)>,
}

#[rstest]
#[case::a_write_is_read(Case { steps: vec![
    (Step::Get("a/b"), StepResult::Nothing),
    (Step::Put("a/b", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Get("a/b"), number(1)),
    (Step::Put("a/b", 2, ExpectedVersion::Newest), StepResult::Done),
    (Step::Get("a/b"), number(2)),
] })]
#[case::only_the_expected_version_is_replaced(Case { steps: vec![
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("k/a", 2, ExpectedVersion::Absent), StepResult::Conflict),
    (Step::Put("k/a", 3, ExpectedVersion::Newest), StepResult::Done),
    (Step::Put("k/a", 4, ExpectedVersion::Older), StepResult::Conflict),
    (Step::Delete("k/a", ExpectedVersion::Older), StepResult::Conflict),
    (Step::Get("k/a"), number(3)),
    (Step::Delete("k/a", ExpectedVersion::Newest), StepResult::Done),
    (Step::Delete("k/a", ExpectedVersion::Older), StepResult::Conflict),
    (Step::Get("k/a"), StepResult::Nothing),
] })]
#[case::a_prefix_is_listed_in_order(Case { steps: vec![
    (Step::Put("p/b", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("q/a", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("p/a", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::List("p/"), keys(&["p/a", "p/b"])),
    (Step::List("none"), keys(&[])),
] })]
#[case::any_character_is_allowed_in_a_key(Case { steps: vec![
    (Step::Put("k/ä b?c#d%2Fe&f=g+h", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Get("k/ä b?c#d%2Fe&f=g+h"), number(1)),
    (Step::List("k/ä b?c#d%2Fe&f=g+"), keys(&["k/ä b?c#d%2Fe&f=g+h"])),
    (Step::Watch("k/ä b?c#d%2Fe&f=g+"), keys(&["k/ä b?c#d%2Fe&f=g+h"])),
    (Step::Get("k/ä b"), StepResult::Nothing),
] })]
#[case::a_key_with_dot_or_empty_segments_is_rejected(Case { steps: vec![
    (Step::Get("a/../b"), StepResult::Rejected),
    (Step::Put("a//b", 1, ExpectedVersion::Absent), StepResult::Rejected),
    (Step::Delete("./a", ExpectedVersion::Absent), StepResult::Rejected),
] })]
#[case::a_key_has_a_kind_and_a_name(Case { steps: vec![
    (Step::Get("a"), StepResult::Rejected),
    (Step::Put("a", 1, ExpectedVersion::Absent), StepResult::Rejected),
    (Step::Delete("a", ExpectedVersion::Absent), StepResult::Rejected),
] })]
#[case::a_listing_of_many_pages_is_complete(Case { steps: vec![
    (Step::Put("k/1", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("k/2", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("k/3", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("k/4/a", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("k/4/b", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("k/5", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("k/6", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::List("k/"), keys(&["k/1", "k/2", "k/3", "k/4/a", "k/4/b", "k/5", "k/6"])),
    (Step::List("k/4/"), keys(&["k/4/a", "k/4/b"])),
] })]
#[case::values_are_bounded(Case { steps: vec![
    (Step::PutBytes("k/a", || format!("\"{}\"", "x".repeat((1 << 20) - 2)).into_bytes()), StepResult::Done),
    (Step::PutBytes("k/b", || format!("\"{}\"", "x".repeat((1 << 20) - 1)).into_bytes()), StepResult::TooLarge),
    (Step::PutBytes("k/b", || b"no json".to_vec()), StepResult::Rejected),
    (Step::Get("k/b"), StepResult::Nothing),
] })]
#[case::a_watch_returns_the_current_state_of_each_changed_object(Case { steps: vec![
    (Step::Put("w/a", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("w/a", 2, ExpectedVersion::Newest), StepResult::Done),
    (Step::Put("w/b", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Put("k/x", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Delete("w/b", ExpectedVersion::Newest), StepResult::Done),
    (Step::Watch("w/"), keys(&["w/a", "-w/b"])),
    (Step::Watch("none"), keys(&[])),
] })]
#[case::a_compacted_history_is_reported(Case { steps: vec![
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Compact, StepResult::Done),
    (Step::Watch("k"), StepResult::Compacted),
    (Step::List("k"), keys(&["k/a"])),
] })]
#[case::a_lost_reply_leaves_the_outcome_of_an_applied_write_unknown(Case { steps: vec![
    (Step::Fault(|faults| faults.lose_replies = 1), StepResult::Done),
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Unknown),
    (Step::Get("k/a"), number(1)),
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Conflict),
] })]
#[case::a_lost_write_has_an_unknown_outcome(Case { steps: vec![
    (Step::Fault(|faults| faults.lose_writes = 1), StepResult::Done),
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Unknown),
    (Step::Get("k/a"), StepResult::Nothing),
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Done),
] })]
#[case::a_concurrent_write_causes_a_conflict(Case { steps: vec![
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::ConcurrentWrite("k/a", 7), StepResult::Done),
    (Step::Put("k/a", 2, ExpectedVersion::Newest), StepResult::Conflict),
    (Step::Get("k/a"), number(7)),
] })]
#[case::shed_calls_have_no_effect(Case { steps: vec![
    (Step::Fault(|faults| faults.busy = 2), StepResult::Done),
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Busy),
    (Step::Get("k/a"), StepResult::Busy),
    (Step::Get("k/a"), StepResult::Nothing),
] })]
#[case::an_outage_fails_every_call_until_it_ends(Case { steps: vec![
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Fault(|faults| faults.down = true), StepResult::Done),
    (Step::Get("k/a"), StepResult::Outage),
    (Step::List("k"), StepResult::Outage),
    (Step::Watch("none"), StepResult::Outage),
    (Step::Put("k/b", 2, ExpectedVersion::Absent), StepResult::Outage),
    (Step::Delete("k/a", ExpectedVersion::Older), StepResult::Outage),
    (Step::Fault(|faults| faults.down = false), StepResult::Done),
    (Step::List("k"), keys(&["k/a"])),
] })]
#[case::a_watch_that_ends_early_returns_no_change(Case { steps: vec![
    (Step::Fault(|faults| faults.end_watches = 1), StepResult::Done),
    (Step::Watch("k"), keys(&[])),
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Watch("k"), keys(&["k/a"])),
] })]
#[case::slowness_only_delays_calls(Case { steps: vec![
    (Step::Fault(|faults| faults.slow = Duration::from_millis(50)), StepResult::Done),
    (Step::Put("k/a", 1, ExpectedVersion::Absent), StepResult::Done),
    (Step::Get("k/a"), number(1)),
] })]
#[async_std::test]
async fn the_client_and_the_fake_meet_the_platform_contract(#[case] case: Case) {
    for platform in PlatformUnderTest::both().await {
        let mut run = ContractRun {
            platform: &platform,
            start_revision: platform.api().list("k").await.unwrap().revision,
            versions: Vec::new(),
        };
        for (number, (step, expected)) in case.steps.iter().enumerate() {
            let actual = run
                .step(step)
                .await
                .unwrap_or_else(|error| step_result(&error));
            // In an outage a client may be unable to tell that a call had no effect.
            let unknown_in_outage =
                *expected == StepResult::Outage && actual == StepResult::Unknown;
            assert!(
                actual == *expected || unknown_in_outage,
                "{}, step {number}: {actual:?}, expected {expected:?}",
                platform.name()
            );
        }
    }
}

#[async_std::test]
async fn a_waiting_watch_returns_on_a_change() {
    for platform in PlatformUnderTest::both().await {
        let from = platform.api().list("k").await.unwrap().revision;
        let watch = platform.api().watch("k/a", from, Span::from_secs(10));
        let write = async {
            async_std::task::sleep(Duration::from_millis(50)).await;
            platform.state().set("k/a", &json!(1));
        };
        let (changes, ()) = futures::join!(watch, write);
        let changes = changes.unwrap();
        assert_eq!(changes.changes.len(), 1, "{}", platform.name());
        assert!(changes.revision > from);
        assert_eq!(platform.state().calls().watches, 1);
    }
}

#[async_std::test]
async fn the_list_of_instances_can_lag() {
    for platform in PlatformUnderTest::both().await {
        let listed = hyssopwalk::ListedInstance {
            name: "one".parse().unwrap(),
            addr: "127.0.0.1:1".parse().unwrap(),
            peer_addr: "127.0.0.1:2".parse().unwrap(),
            failure_domain: "suva-a".parse().unwrap(),
            region: "central".parse().unwrap(),
            leaving: true,
        };
        platform.state().list_instances(vec![listed.clone()]);
        assert_eq!(platform.api().instances().await.unwrap(), [listed]);
        platform.state().lag_instances(Duration::from_secs(3600));
        assert_eq!(platform.api().instances().await.unwrap(), []);
    }
}

#[async_std::test]
async fn calls_above_the_platforms_rates_are_shed() {
    for platform in PlatformUnderTest::both().await {
        platform.state().limit(Rates {
            reads: 0,
            writes: 0,
        });
        let key = ObjectKey::new("k/a");
        assert_eq!(platform.api().get(&key).await, Err(PlatformError::Busy));
        let put = platform.api().put(&key, b"1".to_vec(), Expected::Absent);
        assert_eq!(put.await, Err(PlatformError::Busy));
        assert_eq!(platform.state().value("k/a"), None);
        let calls = platform.state().calls();
        assert_eq!((calls.reads, calls.writes), (1, 1), "{}", platform.name());
    }
}
