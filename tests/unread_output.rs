//! An instance serves and stops in time while nobody reads its log.
//!
//! Runs the real binary with a pipe as standard output, which is full after 64 KB.

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
use std::process::Stdio;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task::{block_on, sleep};
use caller::send_request;
use deployment::{Deployment, Sizes};
use rstest::rstest;
use rustix::process::Signal;

/// The grace period of the deployment's settings.
const GRACE: Duration = Duration::from_secs(6);
const REQUESTS: usize = 300;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

async fn is_served(front: SocketAddr) -> bool {
    let mut connection = None;
    let sending = send_request(&mut connection, front, "/one/", "w");
    matches!(timeout(ANSWER_TIMEOUT, sending).await, Ok(Ok(res)) if res.status() == 200)
}

struct Case {
    /// What is logged; the less there is, the longer it takes until the pipe is full.
    filter: &'static str,
}

/// Guards against a process that waits for whoever reads its log, and hangs once the pipe is full.
#[rstest]
#[case::all_lines(Case { filter: "trace" })]
#[case::usual_lines(Case { filter: "info" })]
fn an_instance_whose_output_is_not_read_serves_and_stops(#[case] case: Case) {
    block_on(async {
        let sizes = Sizes {
            instances: 1,
            ..Sizes::default()
        };
        let name = format!("unread{}", case.filter);
        let mut deployment = Deployment::start_sized(&name, sizes).await;
        let instance = &mut deployment.instances[0];
        instance.kill();
        instance.start_logging_to(Stdio::piped(), case.filter);
        let began = Instant::now();
        while !is_served(instance.front).await {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "it does not serve"
            );
            sleep(Duration::from_millis(50)).await;
        }
        for at in 0..REQUESTS {
            let id = format!("r{at}");
            // Refused requests are logged.
            let kind = if at % 2 == 0 { "/one/" } else { "/unknown/" };
            let mut connection = None;
            let sending = send_request(&mut connection, instance.front, kind, &id);
            let answered = timeout(ANSWER_TIMEOUT, sending).await;
            let status = answered.ok().and_then(Result::ok).map(|res| res.status());
            let wanted = if at % 2 == 0 { 200 } else { 404 };
            assert_eq!(status, Some(wanted), "request {at}");
        }
        instance.signal(Signal::TERM);
        let stopped = Instant::now();
        while !instance.has_exited() {
            assert!(stopped.elapsed() < GRACE, "it does not exit");
            sleep(Duration::from_millis(20)).await;
        }
        deployment.close().await;
    });
}
