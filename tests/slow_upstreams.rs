//! A route that few callers use is served again soon after its upstreams were too slow for it.

#![allow(dead_code, reason = "the soak uses the rest of its modules")]

#[path = "soak/caller.rs"]
mod caller;
#[path = "soak/deployment.rs"]
mod deployment;
#[path = "soak/http.rs"]
mod http;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/replica.rs"]
mod replica;
mod standin;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task::{block_on, sleep, spawn};
use caller::{send_request, wait_until_served};
use deployment::{Deployment, Sizes};
use futures::future::join_all;
use replica::ReplicaMode;
use rstest::rstest;

const TIMEOUT_MS: u32 = 1_100;
/// How long replicas take longer than the route's timeout.
const SLOW_FOR: Duration = Duration::from_secs(15);
/// The users' bound on the time after which requests are served again.
const RECOVERS_WITHIN: Duration = Duration::from_secs(12);
const JUDGED_FOR: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Guards against a route that is refused for minutes, because what an instance refuses brings it no
/// new evidence.
#[rstest]
#[case::single("/one/")]
#[case::gathered("/g/")]
fn a_route_is_served_again_soon_after_its_upstreams_were_slow(#[case] kind: &'static str) {
    block_on(async {
        let sizes = Sizes {
            instances: 1,
            timeout_ms: TIMEOUT_MS,
            ..Sizes::default()
        };
        let name = format!("slow{}", kind.replace('/', ""));
        let deployment = Deployment::start_sized(&name, sizes).await;
        let front = deployment.instances[0].front;
        wait_until_served(front).await;
        set_mode(&deployment, ReplicaMode::Stalls);
        send_for(SLOW_FOR, front, kind, "slow").await;
        set_mode(&deployment, ReplicaMode::Normal);
        send_for(RECOVERS_WITHIN, front, kind, "recovering").await;
        let statuses = send_for(JUDGED_FOR, front, kind, "well").await;
        let served = statuses.iter().filter(|status| **status == 200).count();
        deployment.close().await;
        assert!(served * 4 > statuses.len() * 3, "{statuses:?}");
    });
}

fn set_mode(deployment: &Deployment, mode: ReplicaMode) {
    for proxied in &deployment.replicas {
        proxied.replica.set_mode(mode);
    }
}

/// Sends requests at intervals, whether or not earlier ones are answered. Returns the statuses.
async fn send_for(length: Duration, front: SocketAddr, kind: &'static str, name: &str) -> Vec<u16> {
    let began = Instant::now();
    let mut sent = Vec::new();
    while began.elapsed() < length {
        let id = format!("{name}-{}", sent.len());
        sent.push(spawn(async move {
            let res = send_request(&mut None, front, kind, &id).await;
            res.map_or(0, |res| res.status())
        }));
        sleep(REQUEST_INTERVAL).await;
    }
    join_all(sent).await
}
