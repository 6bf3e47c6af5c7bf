//! Tests the whole path of a query, from caller to upstreams, with the real binary.

mod standin;

use std::net::SocketAddr;

use serde_json::json;
use standin::instance::Instance;
use standin::platform::Platform;
use standin::upstream::Mode;
use standin::{guild, query, until};

async fn wait_until_answering(addr: SocketAddr, class: &str) {
    until("a first answer", || async {
        query(addr, class, "{}")
            .await
            .is_ok_and(|(status, _)| status == 200)
    })
    .await;
}

#[async_std::test]
async fn a_query_reaches_every_shard_of_the_guild() {
    let platform = Platform::start().await;
    let indexes = guild::start(&platform, &guild::SIZES[..1]).await;
    let instance = Instance::start("one", &platform).await;
    wait_until_answering(instance.addr, "pattern-finder").await;

    let (status, answer) = query(instance.addr, "pattern-finder", "{}").await.unwrap();
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["coverage"]["ratio"], "100%");
    assert_eq!(answer["parts"].as_array().unwrap().len(), 20);

    for upstream in &indexes[0].upstreams[..2] {
        upstream.update_behaviour(|behaviour| behaviour.mode = Mode::Shed);
    }
    let (status, answer) = query(instance.addr, "pattern-finder", "{}").await.unwrap();
    assert_eq!(status, 200);
    assert_eq!(answer["coverage"]["ratio"], "95%");
    assert_eq!(answer["meets_target"], false);
}

#[async_std::test]
async fn bad_requests_are_refused_with_their_error_kind() {
    struct Case {
        class: &'static str,
        body_bytes: usize,
        status: u16,
        kind: &'static str,
    }
    let cases = [
        Case {
            class: "no-such-class",
            body_bytes: 2,
            status: 404,
            kind: "unknown-class",
        },
        Case {
            class: "a%20b",
            body_bytes: 2,
            status: 400,
            kind: "bad-request",
        },
        Case {
            class: "courier-board",
            body_bytes: 2 << 20,
            status: 413,
            kind: "too-large",
        },
    ];
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instance = Instance::start("one", &platform).await;
    wait_until_answering(instance.addr, "courier-board").await;
    for case in cases {
        let body = "x".repeat(case.body_bytes);
        let (status, refusal) = query(instance.addr, case.class, &body).await.unwrap();
        assert_eq!(
            (status, refusal["kind"].as_str()),
            (case.status, Some(case.kind))
        );
        assert_eq!(refusal["ran"], "not run");
    }
}

#[async_std::test]
async fn a_change_takes_effect_after_connections_to_the_platform_go_silent() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instance = Instance::start("one", &platform).await;
    wait_until_answering(instance.addr, "courier-board").await;
    platform.silence_connections();
    let class = |name: &str| {
        json!({
            "name": name, "index": "courier-board", "latency": "170ms", "coverage": "100%",
            "extra_load": "5%", "repeatable": true,
        })
    };
    let classes = [class("courier-board"), class("new-board")];
    platform.set("config/classes", json!({ "classes": classes }));
    wait_until_answering(instance.addr, "new-board").await;
}
