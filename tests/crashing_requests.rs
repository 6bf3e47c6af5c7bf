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
use deployment::{Deployment, Sizes};
use futures::future::join_all;
use replica::{CRASHING_PATH, ReplicaMode};
use rstest::rstest;

/// More than an instance may have to be told by others: each has to hear it.
const INSTANCES: usize = 6;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a replica that crashed stays away.
const DOWN: Duration = Duration::from_millis(1_500);
/// From one coming of a request to the next, so that crashed replicas are back.
const COMES_AGAIN: Duration = Duration::from_millis(2_600);
/// How long after a disturbance the rules hold again.
const STABLE_WINDOW: Duration = Duration::from_secs(5);
/// The time until the first trial, the turns of all instances, and some more.
const SERVED_AGAIN_WITHIN: Duration = Duration::from_secs(60);
/// How many of the late comings of a request that crashes replicas may reach any.
const MAX_LATE_RETRIES: usize = 3;

/// Guards against a request that crashes replicas anew at each instance that it is sent to.
#[rstest]
#[case::gathered("/g/", 1)]
#[case::single("/one/", 1)]
#[case::order("/order/", 1)]
#[case::gathered_at_two_instances_at_once("/g/", 2)]
#[case::single_at_two_instances_at_once("/one/", 2)]
fn a_request_that_crashes_replicas_reaches_them_in_few_retries(
    #[case] kind: &'static str,
    #[case] at_once: usize,
) {
    block_on(async {
        let mut deployment = start(&format!("crash{}{at_once}", kind.len())).await;
        for proxied in &deployment.replicas {
            proxied.replica.set_mode(ReplicaMode::Crashes);
        }
        let mut comings = Comings::new(kind, at_once);
        while comings.crashes < 3 && comings.count < INSTANCES {
            comings.send(&mut deployment, COMES_AGAIN).await;
        }
        comings.send_nothing(&mut deployment, STABLE_WINDOW).await;
        let first_late = comings.count;
        for _ in 0..INSTANCES {
            comings.send(&mut deployment, COMES_AGAIN).await;
        }
        let runs = deployment.runs.lock().clone();
        let late = comings.ids(first_late..comings.count);
        let reached: Vec<&String> = late
            .iter()
            .filter(|id| runs.iter().any(|run| run.request == **id))
            .collect();
        assert!(reached.len() <= MAX_LATE_RETRIES, "{reached:?}");
        deployment.close().await;
    });
}

/// Guards against a request that stays refused although it would be answered by now, since no reply
/// can clear what is never sent.
#[test]
fn a_request_that_crashed_replicas_is_served_again_after_a_trial() {
    block_on(async {
        let mut deployment = start("trial").await;
        for proxied in &deployment.replicas {
            proxied.replica.set_mode(ReplicaMode::Crashes);
        }
        let mut comings = Comings::new("/one/", 1);
        comings.send(&mut deployment, COMES_AGAIN).await;
        comings.send(&mut deployment, COMES_AGAIN).await;
        assert_eq!(comings.crashes, 2);
        let path = format!("/one/{CRASHING_PATH}");
        let front = deployment.instances[0].front;
        assert_eq!(status(front, &path, "refused").await, Some(503));

        for proxied in &deployment.replicas {
            proxied.replica.set_mode(ReplicaMode::Normal);
        }
        let until = Instant::now() + SERVED_AGAIN_WITHIN;
        for instance in &deployment.instances {
            while status(instance.front, &path, "again").await != Some(200) {
                assert!(Instant::now() < until, "{} refuses", instance.front);
                sleep(Duration::from_millis(100)).await;
            }
        }
        deployment.close().await;
    });
}

/// The comings of a request that crashes replicas.
struct Comings {
    kind: &'static str,
    at_once: usize,
    count: usize,
    crashes: usize,
}

impl Comings {
    fn new(kind: &'static str, at_once: usize) -> Self {
        Self {
            kind,
            at_once,
            count: 0,
            crashes: 0,
        }
    }

    /// Sends the request to the next instances at once, and lets replicas come back.
    async fn send(&mut self, deployment: &mut Deployment, pause: Duration) {
        let path = format!("{}{CRASHING_PATH}", self.kind);
        let ids = self.ids(self.count..self.count + 1);
        let sent = ids.iter().enumerate().map(|(at, id)| {
            let front = deployment.instances[(self.count + at) % INSTANCES].front;
            status(front, &path, id)
        });
        join_all(sent).await;
        self.count += 1;
        self.send_nothing(deployment, pause).await;
    }

    async fn send_nothing(&mut self, deployment: &mut Deployment, pause: Duration) {
        let until = Instant::now() + pause;
        sleep(DOWN).await;
        for at in 0..deployment.replicas.len() {
            let is_down = &deployment.replicas[at].replica.is_down;
            if is_down.load(std::sync::atomic::Ordering::SeqCst) {
                self.crashes += 1;
                deployment.crash(at).await;
                deployment.replicas[at]
                    .replica
                    .set_mode(ReplicaMode::Crashes);
            }
        }
        sleep(until.saturating_duration_since(Instant::now())).await;
    }

    fn ids(&self, comings: std::ops::Range<usize>) -> Vec<String> {
        let ids = |coming| (0..self.at_once).map(move |at| format!("again{coming}x{at}"));
        comings.flat_map(ids).collect()
    }
}

/// Guards against a page that stays refused because replicas closed connections while they ran it,
/// although they closed those of all requests alike.
#[rstest]
#[case::single("/one/page", "/one/", 6)]
#[case::order("/order/page", "/order/", 6)]
#[case::gathered("/g/page", "/g/", 6)]
#[case::without_other_requests_for_its_replicas("/one/page", "/g/", 14)]
fn a_page_is_served_again_after_replicas_closed_connections(
    #[case] page: &'static str,
    #[case] others: &'static str,
    #[case] disturbed_secs: u64,
) {
    block_on(async {
        let disturbed = Duration::from_secs(disturbed_secs);
        let deployment = start(&format!("page{}x{disturbed_secs}", page.len())).await;
        let before = send_for(&deployment, "before", page, others, Duration::from_secs(1)).await;
        let all_served = before.page.0 == before.page.1 && before.others.0 == before.others.1;
        assert!(all_served, "{before:?}");
        for proxied in &deployment.replicas {
            proxied.replica.set_mode(ReplicaMode::DropsMostResponses);
        }
        send_for(&deployment, "during", page, others, disturbed).await;
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
    for instance in &deployment.instances {
        caller::wait_until_served(instance.front).await;
    }
    deployment
}
