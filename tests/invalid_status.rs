//! A replica in trouble may answer with a status that HTTP does not know. Such bytes are no answer:
//! callers get none of them, and no promise that rests on them.

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

use std::time::Duration;

use async_std::future::timeout;
use async_std::task::block_on;
use caller::{NOT_RUN_STATUSES, send_request, wait_until_served};
use deployment::Deployment;
use replica::ReplicaMode;
use rstest::rstest;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const KINDS: [&str; 3] = ["/one/", "/order/", "/g/"];

/// Guards against a caller that takes a replica's invalid status for an answer, or is told that an
/// order has not run because such a response says so.
#[rstest]
#[case::zero(0)]
#[case::two_digits(99)]
#[case::interim(150)]
#[case::six_hundred(600)]
#[case::the_largest(999)]
fn an_invalid_status_is_no_answer(#[case] status: u16) {
    block_on(async {
        let deployment = Deployment::start(&format!("status{status}")).await;
        let front = deployment.instances[0].front;
        wait_until_served(front).await;
        for says_not_run in [false, true] {
            let mode = ReplicaMode::Answers {
                status,
                says_not_run,
            };
            for proxied in &deployment.replicas {
                proxied.replica.set_mode(mode);
            }
            for (at, kind) in KINDS.into_iter().enumerate() {
                let id = format!("x{at}{says_not_run}");
                let mut connection = None;
                let sent = send_request(&mut connection, front, kind, &id);
                let answer = timeout(ANSWER_TIMEOUT, sent).await.unwrap().unwrap();
                let seen = (kind, says_not_run, answer.status(), &answer.fields);
                assert_eq!(answer.get("answer-stamp"), None, "{seen:?}");
                assert!((400..600).contains(&answer.status()), "{seen:?}");
                let runs = deployment.runs.lock().clone();
                let count = runs.iter().filter(|run| run.request == id).count();
                let promises_not_run = NOT_RUN_STATUSES.contains(&answer.status());
                assert!(
                    !promises_not_run || count == 0,
                    "ran {count} times, {seen:?}"
                );
                assert!(
                    kind != "/order/" || count <= 1,
                    "ran {count} times, {seen:?}"
                );
            }
        }
        deployment.close().await;
    });
}
