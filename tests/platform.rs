//! The contract of the platform's object API, run on the client over HTTP with the
//! stand-in and on the fake in memory that other tests use.

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
    (Step::Put("a", 1, At::Absent), Seen::Done),
    (Step::Put("a", 2, At::Absent), Seen::Conflict),
    (Step::Put("a", 3, At::Newest), Seen::Done),
    (Step::Put("a", 4, At::Older), Seen::Conflict),
    (Step::Delete("a", At::Older), Seen::Conflict),
    (Step::Get("a"), number(3)),
    (Step::Delete("a", At::Newest), Seen::Done),
    (Step::Delete("a", At::Older), Seen::Conflict),
    (Step::Get("a"), Seen::Nothing),
] })]
#[case::a_prefix_is_listed_in_order(Case { steps: vec![
    (Step::Put("p/b", 1, At::Absent), Seen::Done),
    (Step::Put("q/a", 1, At::Absent), Seen::Done),
    (Step::Put("p/a", 1, At::Absent), Seen::Done),
    (Step::List("p/"), keys(&["p/a", "p/b"])),
    (Step::List("none"), keys(&[])),
] })]
#[case::any_character_may_stand_in_a_key(Case { steps: vec![
    (Step::Put("k/ä b?c#d%2Fe&f=g+h", 1, At::Absent), Seen::Done),
    (Step::Get("k/ä b?c#d%2Fe&f=g+h"), number(1)),
    (Step::List("k/ä b?c#d%2Fe&f=g+"), keys(&["k/ä b?c#d%2Fe&f=g+h"])),
    (Step::Watch("k/ä b?c#d%2Fe&f=g+"), keys(&["k/ä b?c#d%2Fe&f=g+h"])),
    (Step::Get("k/ä b"), Seen::Nothing),
] })]
#[case::a_key_that_is_a_path_step_is_rejected(Case { steps: vec![
    (Step::Get("a/../b"), Seen::Rejected),
    (Step::Put("a//b", 1, At::Absent), Seen::Rejected),
    (Step::Delete("./a", At::Absent), Seen::Rejected),
] })]
#[case::values_are_bounded(Case { steps: vec![
    (Step::PutBytes("a", || format!("\"{}\"", "x".repeat((1 << 20) - 2)).into_bytes()), Seen::Done),
    (Step::PutBytes("b", || format!("\"{}\"", "x".repeat((1 << 20) - 1)).into_bytes()), Seen::TooLarge),
    (Step::PutBytes("b", || b"no json".to_vec()), Seen::Rejected),
    (Step::Get("b"), Seen::Nothing),
] })]
#[case::a_watch_shows_each_changed_object_as_it_is_now(Case { steps: vec![
    (Step::Put("w/a", 1, At::Absent), Seen::Done),
    (Step::Put("w/a", 2, At::Newest), Seen::Done),
    (Step::Put("w/b", 1, At::Absent), Seen::Done),
    (Step::Put("x", 1, At::Absent), Seen::Done),
    (Step::Delete("w/b", At::Newest), Seen::Done),
    (Step::Watch("w/"), keys(&["w/a", "-w/b"])),
    (Step::Watch("none"), keys(&[])),
] })]
#[case::a_compacted_history_is_said(Case { steps: vec![
    (Step::Put("a", 1, At::Absent), Seen::Done),
    (Step::Compact, Seen::Done),
    (Step::Watch(""), Seen::Compacted),
    (Step::List(""), keys(&["a"])),
] })]
#[case::a_lost_reply_hides_a_write_that_took_effect(Case { steps: vec![
    (Step::Fault(|faults| faults.lose_replies = 1), Seen::Done),
    (Step::Put("a", 1, At::Absent), Seen::Unknown),
    (Step::Get("a"), number(1)),
    (Step::Put("a", 1, At::Absent), Seen::Conflict),
] })]
#[case::a_lost_write_looks_the_same(Case { steps: vec![
    (Step::Fault(|faults| faults.lose_writes = 1), Seen::Done),
    (Step::Put("a", 1, At::Absent), Seen::Unknown),
    (Step::Get("a"), Seen::Nothing),
    (Step::Put("a", 1, At::Absent), Seen::Done),
] })]
#[case::a_rival_comes_first(Case { steps: vec![
    (Step::Put("a", 1, At::Absent), Seen::Done),
    (Step::Rival("a", 7), Seen::Done),
    (Step::Put("a", 2, At::Newest), Seen::Conflict),
    (Step::Get("a"), number(7)),
] })]
#[case::shed_calls_have_no_effect(Case { steps: vec![
    (Step::Fault(|faults| faults.busy = 2), Seen::Done),
    (Step::Put("a", 1, At::Absent), Seen::Busy),
    (Step::Get("a"), Seen::Busy),
    (Step::Get("a"), Seen::Nothing),
] })]
#[case::an_outage_fails_every_call_and_ends(Case { steps: vec![
    (Step::Put("a", 1, At::Absent), Seen::Done),
    (Step::Fault(|faults| faults.down = true), Seen::Done),
    (Step::Get("a"), Seen::Outage),
    (Step::List(""), Seen::Outage),
    (Step::Watch("none"), Seen::Outage),
    (Step::Put("b", 2, At::Absent), Seen::Outage),
    (Step::Delete("a", At::Older), Seen::Outage),
    (Step::Fault(|faults| faults.down = false), Seen::Done),
    (Step::List(""), keys(&["a"])),
] })]
#[case::an_ended_watch_shows_no_change(Case { steps: vec![
    (Step::Fault(|faults| faults.end_watches = 1), Seen::Done),
    (Step::Watch(""), keys(&[])),
    (Step::Put("a", 1, At::Absent), Seen::Done),
    (Step::Watch(""), keys(&["a"])),
] })]
#[case::slowness_delays_and_no_more(Case { steps: vec![
    (Step::Fault(|faults| faults.slow = Duration::from_millis(50)), Seen::Done),
    (Step::Put("a", 1, At::Absent), Seen::Done),
    (Step::Get("a"), number(1)),
] })]
#[async_std::test]
async fn the_platform_keeps_its_contract(#[case] case: Case) {
    for subject in Subject::both().await {
        let mut run = Run {
            subject: &subject,
            begun: subject.api().list("").await.unwrap().revision,
            versions: Vec::new(),
        };
        for (number, (step, wanted)) in case.steps.iter().enumerate() {
            let got = run.step(step).await.unwrap_or_else(|error| seen(&error));
            let outage = *wanted == Seen::Outage && got == Seen::Unknown;
            assert!(
                got == *wanted || outage,
                "{}, step {number}: {got:?}, wanted {wanted:?}",
                subject.name()
            );
        }
    }
}

#[async_std::test]
async fn a_waiting_watch_is_told_of_a_change() {
    for subject in Subject::both().await {
        let from = subject.api().list("").await.unwrap().revision;
        let watch = subject.api().watch("a", from, Span::from_secs(10));
        let write = async {
            async_std::task::sleep(Duration::from_millis(50)).await;
            subject.state().set("a", &json!(1));
        };
        let (changes, ()) = futures::join!(watch, write);
        let changes = changes.unwrap();
        assert_eq!(changes.changes.len(), 1, "{}", subject.name());
        assert!(changes.revision > from);
        assert_eq!(subject.state().calls().watches, 1);
    }
}

#[async_std::test]
async fn the_list_of_instances_lags() {
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
        let key = ObjectKey::new("a");
        assert_eq!(subject.api().get(&key).await, Err(PlatformError::Busy));
        let put = subject.api().put(&key, b"1".to_vec(), Expected::Absent);
        assert_eq!(put.await, Err(PlatformError::Busy));
        assert_eq!(subject.state().value("a"), None);
        let calls = subject.state().calls();
        assert_eq!((calls.reads, calls.writes), (1, 1), "{}", subject.name());
    }
}
