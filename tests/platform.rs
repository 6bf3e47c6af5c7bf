//! Tests the contract of the platform's object API. Each case runs on the HTTP client with
//! the stand-in platform and on the in-memory fake that other tests use.

mod standin;

use std::time::Duration;

use hyssopwalk::{Expected, ObjectKey, PlatformError, Span};
use rstest::rstest;
use serde_json::json;
use standin::contract::{At, Run, Seen, Step, Subject, keys, number, seen};
use standin::platform::Rates;

struct Case {
    steps: Vec<(Step, Seen)>,
}

#[rstest]
#[case::a_write_is_read(Case { steps: vec![
    (Step::Get("a/b"), Seen::Nothing),
    (Step::Put("a/b", 1, At::Absent), Seen::Done),
    (Step::Get("a/b"), number(1)),
    (Step::Put("a/b", 2, At::Newest), Seen::Done),
    (Step::Get("a/b"), number(2)),
] })]
#[case::only_the_expected_version_is_replaced(Case { steps: vec![
    (Step::Put("k/a", 1, At::Absent), Seen::Done),
    (Step::Put("k/a", 2, At::Absent), Seen::Conflict),
    (Step::Put("k/a", 3, At::Newest), Seen::Done),
    (Step::Put("k/a", 4, At::Older), Seen::Conflict),
    (Step::Delete("k/a", At::Older), Seen::Conflict),
    (Step::Get("k/a"), number(3)),
    (Step::Delete("k/a", At::Newest), Seen::Done),
    (Step::Delete("k/a", At::Older), Seen::Conflict),
    (Step::Get("k/a"), Seen::Nothing),
] })]
#[case::a_prefix_is_listed_in_order(Case { steps: vec![
    (Step::Put("p/b", 1, At::Absent), Seen::Done),
    (Step::Put("q/a", 1, At::Absent), Seen::Done),
    (Step::Put("p/a", 1, At::Absent), Seen::Done),
    (Step::List("p/"), keys(&["p/a", "p/b"])),
    (Step::List("none"), keys(&[])),
] })]
#[case::any_character_is_allowed_in_a_key(Case { steps: vec![
    (Step::Put("k/ä b?c#d%2Fe&f=g+h", 1, At::Absent), Seen::Done),
    (Step::Get("k/ä b?c#d%2Fe&f=g+h"), number(1)),
    (Step::List("k/ä b?c#d%2Fe&f=g+"), keys(&["k/ä b?c#d%2Fe&f=g+h"])),
    (Step::Watch("k/ä b?c#d%2Fe&f=g+"), keys(&["k/ä b?c#d%2Fe&f=g+h"])),
    (Step::Get("k/ä b"), Seen::Nothing),
] })]
#[case::a_key_with_dot_or_empty_segments_is_rejected(Case { steps: vec![
    (Step::Get("a/../b"), Seen::Rejected),
    (Step::Put("a//b", 1, At::Absent), Seen::Rejected),
    (Step::Delete("./a", At::Absent), Seen::Rejected),
] })]
#[case::a_key_has_a_kind_and_a_name(Case { steps: vec![
    (Step::Get("a"), Seen::Rejected),
    (Step::Put("a", 1, At::Absent), Seen::Rejected),
    (Step::Delete("a", At::Absent), Seen::Rejected),
] })]
#[case::a_listing_of_many_pages_is_complete(Case { steps: vec![
    (Step::Put("k/1", 1, At::Absent), Seen::Done),
    (Step::Put("k/2", 1, At::Absent), Seen::Done),
    (Step::Put("k/3", 1, At::Absent), Seen::Done),
    (Step::Put("k/4/a", 1, At::Absent), Seen::Done),
    (Step::Put("k/4/b", 1, At::Absent), Seen::Done),
    (Step::Put("k/5", 1, At::Absent), Seen::Done),
    (Step::Put("k/6", 1, At::Absent), Seen::Done),
    (Step::List("k/"), keys(&["k/1", "k/2", "k/3", "k/4/a", "k/4/b", "k/5", "k/6"])),
    (Step::List("k/4/"), keys(&["k/4/a", "k/4/b"])),
] })]
#[case::values_are_bounded(Case { steps: vec![
    (Step::PutBytes("k/a", || format!("\"{}\"", "x".repeat((1 << 20) - 2)).into_bytes()), Seen::Done),
    (Step::PutBytes("k/b", || format!("\"{}\"", "x".repeat((1 << 20) - 1)).into_bytes()), Seen::TooLarge),
    (Step::PutBytes("k/b", || b"no json".to_vec()), Seen::Rejected),
    (Step::Get("k/b"), Seen::Nothing),
] })]
#[case::a_watch_returns_the_current_state_of_each_changed_object(Case { steps: vec![
    (Step::Put("w/a", 1, At::Absent), Seen::Done),
    (Step::Put("w/a", 2, At::Newest), Seen::Done),
    (Step::Put("w/b", 1, At::Absent), Seen::Done),
    (Step::Put("k/x", 1, At::Absent), Seen::Done),
    (Step::Delete("w/b", At::Newest), Seen::Done),
    (Step::Watch("w/"), keys(&["w/a", "-w/b"])),
    (Step::Watch("none"), keys(&[])),
] })]
#[case::a_compacted_history_is_reported(Case { steps: vec![
    (Step::Put("k/a", 1, At::Absent), Seen::Done),
    (Step::Compact, Seen::Done),
    (Step::Watch("k"), Seen::Compacted),
    (Step::List("k"), keys(&["k/a"])),
] })]
#[case::a_lost_reply_leaves_the_outcome_of_an_applied_write_unknown(Case { steps: vec![
    (Step::Fault(|faults| faults.lose_replies = 1), Seen::Done),
    (Step::Put("k/a", 1, At::Absent), Seen::Unknown),
    (Step::Get("k/a"), number(1)),
    (Step::Put("k/a", 1, At::Absent), Seen::Conflict),
] })]
#[case::a_lost_write_has_an_unknown_outcome(Case { steps: vec![
    (Step::Fault(|faults| faults.lose_writes = 1), Seen::Done),
    (Step::Put("k/a", 1, At::Absent), Seen::Unknown),
    (Step::Get("k/a"), Seen::Nothing),
    (Step::Put("k/a", 1, At::Absent), Seen::Done),
] })]
#[case::a_concurrent_write_causes_a_conflict(Case { steps: vec![
    (Step::Put("k/a", 1, At::Absent), Seen::Done),
    (Step::Rival("k/a", 7), Seen::Done),
    (Step::Put("k/a", 2, At::Newest), Seen::Conflict),
    (Step::Get("k/a"), number(7)),
] })]
#[case::shed_calls_have_no_effect(Case { steps: vec![
    (Step::Fault(|faults| faults.busy = 2), Seen::Done),
    (Step::Put("k/a", 1, At::Absent), Seen::Busy),
    (Step::Get("k/a"), Seen::Busy),
    (Step::Get("k/a"), Seen::Nothing),
] })]
#[case::an_outage_fails_every_call_until_it_ends(Case { steps: vec![
    (Step::Put("k/a", 1, At::Absent), Seen::Done),
    (Step::Fault(|faults| faults.down = true), Seen::Done),
    (Step::Get("k/a"), Seen::Outage),
    (Step::List("k"), Seen::Outage),
    (Step::Watch("none"), Seen::Outage),
    (Step::Put("k/b", 2, At::Absent), Seen::Outage),
    (Step::Delete("k/a", At::Older), Seen::Outage),
    (Step::Fault(|faults| faults.down = false), Seen::Done),
    (Step::List("k"), keys(&["k/a"])),
] })]
#[case::a_watch_that_ends_early_returns_no_change(Case { steps: vec![
    (Step::Fault(|faults| faults.end_watches = 1), Seen::Done),
    (Step::Watch("k"), keys(&[])),
    (Step::Put("k/a", 1, At::Absent), Seen::Done),
    (Step::Watch("k"), keys(&["k/a"])),
] })]
#[case::slowness_only_delays_calls(Case { steps: vec![
    (Step::Fault(|faults| faults.slow = Duration::from_millis(50)), Seen::Done),
    (Step::Put("k/a", 1, At::Absent), Seen::Done),
    (Step::Get("k/a"), number(1)),
] })]
#[async_std::test]
async fn the_client_and_the_fake_meet_the_platform_contract(#[case] case: Case) {
    for subject in Subject::both().await {
        let mut run = Run {
            subject: &subject,
            begun: subject.api().list("k").await.unwrap().revision,
            versions: Vec::new(),
        };
        for (number, (step, expected)) in case.steps.iter().enumerate() {
            let actual = run.step(step).await.unwrap_or_else(|error| seen(&error));
            // In an outage a client may be unable to tell that a call had no effect.
            let unknown_in_outage = *expected == Seen::Outage && actual == Seen::Unknown;
            assert!(
                actual == *expected || unknown_in_outage,
                "{}, step {number}: {actual:?}, expected {expected:?}",
                subject.name()
            );
        }
    }
}

#[async_std::test]
async fn a_waiting_watch_returns_on_a_change() {
    for subject in Subject::both().await {
        let from = subject.api().list("k").await.unwrap().revision;
        let watch = subject.api().watch("k/a", from, Span::from_secs(10));
        let write = async {
            async_std::task::sleep(Duration::from_millis(50)).await;
            subject.state().set("k/a", &json!(1));
        };
        let (changes, ()) = futures::join!(watch, write);
        let changes = changes.unwrap();
        assert_eq!(changes.changes.len(), 1, "{}", subject.name());
        assert!(changes.revision > from);
        assert_eq!(subject.state().calls().watches, 1);
    }
}

#[async_std::test]
async fn the_list_of_instances_can_lag() {
    for subject in Subject::both().await {
        let listed = hyssopwalk::ListedInstance {
            name: "one".parse().unwrap(),
            addr: "127.0.0.1:1".parse().unwrap(),
            peer_addr: "127.0.0.1:2".parse().unwrap(),
            failure_domain: "suva-a".parse().unwrap(),
            region: "central".parse().unwrap(),
            leaving: true,
        };
        subject.state().list_instances(vec![listed.clone()]);
        assert_eq!(subject.api().instances().await.unwrap(), [listed]);
        subject.state().lag_instances(Duration::from_secs(3600));
        assert_eq!(subject.api().instances().await.unwrap(), []);
    }
}

#[async_std::test]
async fn calls_above_the_platforms_rates_are_shed() {
    for subject in Subject::both().await {
        subject.state().limit(Rates {
            reads: 0,
            writes: 0,
        });
        let key = ObjectKey::new("k/a");
        assert_eq!(subject.api().get(&key).await, Err(PlatformError::Busy));
        let put = subject.api().put(&key, b"1".to_vec(), Expected::Absent);
        assert_eq!(put.await, Err(PlatformError::Busy));
        assert_eq!(subject.state().value("k/a"), None);
        let calls = subject.state().calls();
        assert_eq!((calls.reads, calls.writes), (1, 1), "{}", subject.name());
    }
}
