//! Requests that crash replicas, and replicas that fail requests: an instance sees lost connections
//! either way, and must not take one for the other.
//!
//! Runs real instances against replicas that crash and come back, or close connections for a while;
//! see `docs/DESIGN.md`, "Poison requests".

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

use async_std::future::timeout;
use async_std::task::{block_on, sleep, spawn};
use caller::Observations;
use deployment::{Deployment, Sizes};
use futures::future::join_all;
use replica::ReplicaMode;
use rstest::rstest;

/// More than an instance may have to be told by others: each has to hear it.
const INSTANCES: usize = 6;
const STARTS_WITHIN: Duration = Duration::from_secs(20);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after a disturbance the rules hold again.
const STABLE_WINDOW: Duration = Duration::from_secs(5);

/// Guards against a page that stays refused because replicas closed connections while they ran it,
/// although they closed those of all requests alike.
#[rstest]
#[case::single("/one/page")]
#[case::order("/order/page")]
#[case::gathered("/g/page")]
fn a_page_is_served_again_after_replicas_closed_connections(#[case] page: &'static str) {
    block_on(async {
        let deployment = start(&format!("page{}", page.len())).await;
        let others = page.trim_end_matches("page");
        let before = send_for(&deployment, "before", page, others, Duration::from_secs(1)).await;
        let all_served = before.page.0 == before.page.1 && before.others.0 == before.others.1;
        assert!(all_served, "{before:?}");
        for proxied in &deployment.replicas {
            proxied.replica.set_mode(ReplicaMode::DropsMostResponses);
        }
        send_for(&deployment, "during", page, others, Duration::from_secs(6)).await;
        for proxied in &deployment.replicas {
            proxied.replica.set_mode(ReplicaMode::Normal);
        }
        send_for(&deployment, "calm", page, others, STABLE_WINDOW).await;
        let steady = send_for(&deployment, "steady", page, others, Duration::from_secs(3)).await;
        assert!(steady.share_of_others() > 0.9, "{steady:?}");
        assert!(
            steady.share_of_page() >= steady.share_of_others() / 4.0,
            "{steady:?}"
        );
        deployment.close().await;
    });
}

/// How many requests for a page, and how many others, were sent and served.
#[derive(Debug, Default)]
struct Served {
    page: (u32, u32),
    others: (u32, u32),
}

impl Served {
    fn share_of_page(&self) -> f64 {
        f64::from(self.page.1) / f64::from(self.page.0.max(1))
    }

    fn share_of_others(&self) -> f64 {
        f64::from(self.others.1) / f64::from(self.others.0.max(1))
    }
}

/// Sends 40 requests a second to all instances in turn, every other one for the page.
async fn send_for(
    deployment: &Deployment,
    name: &str,
    page: &'static str,
    others: &'static str,
    how_long: Duration,
) -> Served {
    let until = Instant::now() + how_long;
    let mut sent = Vec::new();
    for number in 0_usize.. {
        if Instant::now() >= until {
            break;
        }
        let front = deployment.instances[number / 2 % INSTANCES].front;
        let id = format!("{name}{number}");
        let is_page = number % 2 == 1;
        let path = if is_page {
            page.to_owned()
        } else {
            format!("{others}{id}")
        };
        sent.push(spawn(
            async move { (is_page, status(front, &path, &id).await) },
        ));
        sleep(Duration::from_millis(25)).await;
    }
    let mut served = Served::default();
    for (is_page, status) in join_all(sent).await {
        let count = if is_page {
            &mut served.page
        } else {
            &mut served.others
        };
        count.0 += 1;
        count.1 += u32::from(status == Some(200));
    }
    served
}

/// Sends one request on a new connection and returns the status of the answer.
async fn status(front: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let mut connection = None;
    let sent = caller::send_path(&mut connection, front, path, id);
    let answer = timeout(ANSWER_TIMEOUT, sent).await.ok()?.ok()?;
    Some(answer.status())
}

/// Starts a deployment and waits until all its instances serve.
async fn start(name: &str) -> Deployment {
    let sizes = Sizes {
        instances: INSTANCES,
        ..Sizes::default()
    };
    let deployment = Deployment::start_sized(name, sizes).await;
    let began = Instant::now();
    for instance in &deployment.instances {
        loop {
            let observations = Observations::default();
            caller::send_each_kind("w", instance.front, &observations).await;
            if observations.answered() == caller::REQUEST_KINDS as u64 {
                break;
            }
            assert!(
                began.elapsed() < STARTS_WITHIN,
                "an instance does not serve"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
    deployment
}
