//! Tests the quarantine of a request that crashes every upstream that runs it, with two
//! instances as separate processes.

mod standin;

use std::net::SocketAddr;
use std::time::Duration;

use hyssopwalk::Fingerprint;
use serde_json::json;
use standin::instance::Instance;
use standin::platform::Platform;
use standin::upstream::Mode;
use standin::{guild, query, unix_seconds, until};

const CLASS: &str = "courier-board";
const POISON: &str = "{\"crash\":1}";
/// The first leg, and one more that shows that the crash was no coincidence.
const MAX_RUNS_PER_INSTANCE: usize = 2;

/// A poison request is tried again 10 s after it crashed upstreams.
const NEARLY_TRIED: Duration = Duration::from_secs(8);

fn runs(index: &guild::Index) -> usize {
    let upstreams = index.upstreams.iter();
    upstreams
        .flat_map(standin::upstream::Upstream::runs)
        .filter(|run| run == POISON.as_bytes())
        .count()
}

fn set_mode_of_all(index: &guild::Index, mode: Mode) {
    for upstream in &index.upstreams {
        upstream.update_behaviour(|behaviour| behaviour.mode = mode);
    }
}

async fn error_kind(addr: SocketAddr, body: &str) -> String {
    let (_, refusal) = query(addr, CLASS, body).await.unwrap();
    refusal["kind"].as_str().unwrap_or_default().to_owned()
}

#[async_std::test]
async fn a_poison_request_is_refused_by_every_instance() {
    let platform = Platform::start().await;
    let index = guild::start(&platform, &guild::SIZES[3..]).await.remove(0);
    let one = Instance::start("one", &platform).await;
    let two = Instance::start("two", &platform).await;
    for addr in [one.addr, two.addr] {
        until("a first answer", || async move {
            matches!(query(addr, CLASS, "{}").await, Ok((200, _)))
        })
        .await;
    }

    set_mode_of_all(&index, Mode::Crash);
    until(
        "the request to be refused by the first instance",
        || async { error_kind(one.addr, POISON).await == "poison" },
    )
    .await;
    assert!(runs(&index) <= MAX_RUNS_PER_INSTANCE, "{}", runs(&index));
    until("the marks to be shared", || async {
        let marks = platform.value("poison/marks");
        marks.is_some_and(|marks| marks["marks"][0][1] == 2)
    })
    .await;
    until(
        "the request to be refused by the second instance",
        || async { error_kind(two.addr, POISON).await == "poison" },
    )
    .await;
    assert!(runs(&index) <= 2 * MAX_RUNS_PER_INSTANCE);

    set_mode_of_all(&index, Mode::Normal);
    let before = runs(&index);
    for addr in [one.addr, two.addr] {
        let (status, refusal) = query(addr, CLASS, POISON).await.unwrap();
        assert_eq!((status, &refusal["ran"]), (422, &"not run".into()));
        let (status, answer) = query(addr, CLASS, "{\"crash\":0}").await.unwrap();
        assert_eq!(status, 200, "a harmless request was refused: {answer}");
    }
    assert_eq!(runs(&index), before);
}

#[async_std::test]
async fn marks_of_other_instances_are_applied() {
    let platform = Platform::start().await;
    let index = guild::start(&platform, &guild::SIZES[3..]).await.remove(0);
    let one = Instance::start("one", &platform).await;
    let two = Instance::start("two", &platform).await;
    // No upstream replies, since a reply would clear the mark, and none crashes.
    set_mode_of_all(&index, Mode::Shed);
    let fingerprint = Fingerprint::of(&CLASS.parse().unwrap(), POISON.as_bytes());
    let marks = json!({ "marks": [[fingerprint.to_string(), 2, unix_seconds()]] });
    platform.set("poison/marks", marks);
    for addr in [one.addr, two.addr] {
        until("the request to be refused", || async move {
            error_kind(addr, POISON).await == "poison"
        })
        .await;
    }
}

/// Guards against a request that stays refused although it would be answered by now, since no reply
/// can clear what is never sent.
#[async_std::test]
async fn a_poison_request_is_answered_again_after_a_trial() {
    let platform = Platform::start().await;
    let index = guild::start(&platform, &guild::SIZES[3..]).await.remove(0);
    let one = Instance::start("one", &platform).await;
    until("a first answer", || async {
        matches!(query(one.addr, CLASS, "{}").await, Ok((200, _)))
    })
    .await;
    set_mode_of_all(&index, Mode::Crash);
    until("the request to be refused", || async {
        error_kind(one.addr, POISON).await == "poison"
    })
    .await;
    set_mode_of_all(&index, Mode::Normal);
    async_std::task::sleep(NEARLY_TRIED).await;
    until("an answer", || async {
        matches!(query(one.addr, CLASS, POISON).await, Ok((200, _)))
    })
    .await;
}
