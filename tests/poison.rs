//! A request that crashes every upstream that runs it, sent through two instances as
//! processes of their own.

mod standin;

use std::net::SocketAddr;

use hyssopwalk::Fingerprint;
use serde_json::json;
use standin::instance::Instance;
use standin::platform::Platform;
use standin::upstream::Mode;
use standin::{guild, query, unix_seconds, until};

const CLASS: &str = "courier-board";
const POISON: &str = "{\"crash\":1}";
/// A first leg and one more that proves the crash was no accident.
const MOST_RUNS_PER_INSTANCE: usize = 2;

fn runs(index: &guild::Index) -> usize {
    let upstreams = index.upstreams.iter();
    upstreams
        .flat_map(standin::upstream::Upstream::runs)
        .filter(|run| run == POISON.as_bytes())
        .count()
}

fn all_behave(index: &guild::Index, mode: Mode) {
    for upstream in &index.upstreams {
        upstream.behave(|behaviour| behaviour.mode = mode);
    }
}

async fn kind(addr: SocketAddr, body: &str) -> String {
    let (_, refusal) = query(addr, CLASS, body).await.unwrap();
    refusal["kind"].as_str().unwrap_or_default().to_owned()
}

#[async_std::test]
async fn a_poisonous_request_is_refused_by_the_instance_it_was_not_sent_to() {
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

    all_behave(&index, Mode::Crash);
    until(
        "the request to be refused by the first instance",
        || async { kind(one.addr, POISON).await == "poison" },
    )
    .await;
    assert!(runs(&index) <= MOST_RUNS_PER_INSTANCE, "{}", runs(&index));
    until("the marks to be shared", || async {
        let marks = platform.value("poison/marks");
        marks.is_some_and(|marks| marks["marks"][0][1] == 2)
    })
    .await;
    until(
        "the request to be refused by the second instance",
        || async { kind(two.addr, POISON).await == "poison" },
    )
    .await;
    assert!(runs(&index) <= 2 * MOST_RUNS_PER_INSTANCE);

    all_behave(&index, Mode::Normal);
    let before = runs(&index);
    for addr in [one.addr, two.addr] {
        let (status, refusal) = query(addr, CLASS, POISON).await.unwrap();
        assert_eq!((status, &refusal["ran"]), (422, &"not run".into()));
        let (status, answer) = query(addr, CLASS, "{\"crash\":0}").await.unwrap();
        assert_eq!(status, 200, "an innocent request: {answer}");
    }
    assert_eq!(runs(&index), before);
}

#[async_std::test]
async fn marks_of_others_are_followed() {
    let platform = Platform::start().await;
    let index = guild::start(&platform, &guild::SIZES[3..]).await.remove(0);
    let one = Instance::start("one", &platform).await;
    let two = Instance::start("two", &platform).await;
    // Nothing replies, which would clear the request, and nothing crashes.
    all_behave(&index, Mode::Shed);
    let request = Fingerprint::of(&CLASS.parse().unwrap(), POISON.as_bytes());
    let marks = json!({ "marks": [[request.to_string(), 2, unix_seconds()]] });
    platform.set("poison/marks", marks);
    for addr in [one.addr, two.addr] {
        until("the request to be refused", || async move {
            kind(addr, POISON).await == "poison"
        })
        .await;
    }
}
