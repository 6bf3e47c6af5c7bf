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
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task::{block_on, sleep, spawn};
use deployment::{Deployment, Sizes};
use futures::future::join_all;
use replica::{CRASHING_PATH, ReplicaMode};
use rstest::rstest;

/// If each instance sends a request to replicas once, there are more retries than are allowed.
const INSTANCES: usize = 6;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a replica that crashed stays away.
const DOWN: Duration = Duration::from_millis(1_500);
/// The pause between two attempts of a caller, in which crashed replicas come back.
const RETRY_INTERVAL: Duration = Duration::from_millis(2_600);
/// How long after a disturbance the rules hold again.
const STABLE_WINDOW: Duration = Duration::from_secs(5);
/// The time until the first trial, the turns of all instances, and some more.
const SERVED_AGAIN_WITHIN: Duration = Duration::from_secs(60);
/// How many retries may reach replicas after the stable window that follows the third crash.
const MAX_LATE_RETRIES: usize = 3;

struct CrashCase {
    /// The kind of the request, as the start of its path.
    kind: &'static str,
    /// The number of instances that get each attempt.
    at_once: usize,
}

/// Guards against a request that crashes replicas anew at each instance that it is sent to.
#[rstest]
#[case::gathered(CrashCase { kind: "/g/", at_once: 1 })]
#[case::single(CrashCase { kind: "/one/", at_once: 1 })]
#[case::order(CrashCase { kind: "/order/", at_once: 1 })]
#[case::gathered_at_two_instances_at_once(CrashCase { kind: "/g/", at_once: 2 })]
#[case::single_at_two_instances_at_once(CrashCase { kind: "/one/", at_once: 2 })]
fn a_request_that_crashes_replicas_reaches_them_in_few_retries(#[case] case: CrashCase) {
    let CrashCase { kind, at_once } = case;
    block_on(async {
        let mut deployment = start(&format!("crash{}{at_once}", kind.len())).await;
        for proxied in &deployment.replicas {
            proxied.replica.set_mode(ReplicaMode::Crashes);
        }
        let mut attempts = Attempts::new(kind, at_once);
        while attempts.crashes < 3 && attempts.count < INSTANCES {
            attempts.send(&mut deployment, RETRY_INTERVAL).await;
        }
        attempts.wait(&mut deployment, STABLE_WINDOW).await;
        let first_late = attempts.count;
        for _ in 0..INSTANCES {
            attempts.send(&mut deployment, RETRY_INTERVAL).await;
        }
        let runs = deployment.runs.lock().clone();
        let late = attempts.ids(first_late..attempts.count);
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
        let mut attempts = Attempts::new("/one/", 1);
        attempts.send(&mut deployment, RETRY_INTERVAL).await;
        attempts.send(&mut deployment, RETRY_INTERVAL).await;
        assert_eq!(attempts.crashes, 2);
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

/// The attempts of a caller that keeps sending a request which crashes replicas.
struct Attempts {
    kind: &'static str,
    at_once: usize,
    count: usize,
    crashes: usize,
}

impl Attempts {
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
        self.wait(deployment, pause).await;
    }

    async fn wait(&mut self, deployment: &mut Deployment, pause: Duration) {
        let until = Instant::now() + pause;
        sleep(DOWN).await;
        for at in 0..deployment.replicas.len() {
            let is_down = &deployment.replicas[at].replica.is_down;
            if is_down.load(Ordering::SeqCst) {
                self.crashes += 1;
                deployment.crash(at).await;
                deployment.replicas[at]
                    .replica
                    .set_mode(ReplicaMode::Crashes);
            }
        }
        sleep(until.saturating_duration_since(Instant::now())).await;
    }

    fn ids(&self, attempts: Range<usize>) -> Vec<String> {
        let ids = |attempt| (0..self.at_once).map(move |at| format!("again{attempt}x{at}"));
        attempts.flat_map(ids).collect()
    }
}

struct PageCase {
    page: &'static str,
    /// The kind of the other requests, as the start of their paths.
    others: &'static str,
    /// How long replicas close connections.
    disturbed: Duration,
}

const A_WHILE: Duration = Duration::from_secs(6);
/// Longer than the time until the first trial.
const LONG: Duration = Duration::from_secs(14);

/// Guards against a page that stays refused because replicas closed connections while they ran it,
/// although they closed those of all requests alike.
#[rstest]
#[case::single(PageCase { page: "/one/page", others: "/one/", disturbed: A_WHILE })]
#[case::order(PageCase { page: "/order/page", others: "/order/", disturbed: A_WHILE })]
#[case::gathered(PageCase { page: "/g/page", others: "/g/", disturbed: A_WHILE })]
#[case::without_other_requests_for_its_replicas(PageCase { page: "/one/page", others: "/g/", disturbed: LONG })]
fn a_page_is_served_again_after_replicas_closed_connections(#[case] case: PageCase) {
    let PageCase {
        page,
        others,
        disturbed,
    } = case;
    block_on(async {
        let deployment = start(&format!("page{}x{}", page.len(), disturbed.as_secs())).await;
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
