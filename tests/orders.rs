//! Tests that an order runs at most once, with two instances as separate processes, a
//! failing platform and upstreams that record what they ran.

mod standin;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use standin::instance::Instance;
use standin::platform::{Faults, Platform};
use standin::upstream::Mode;
use standin::{guild, order, order_key, until};

const CLASS: &str = "order-desk";

struct Deployment {
    platform: Platform,
    index: guild::Index,
    instances: [Instance; 2],
}

impl Deployment {
    async fn start() -> Self {
        Self::start_with(guild::SIZES[2]).await
    }

    async fn start_with(size: guild::Size) -> Self {
        let platform = Platform::start().await;
        let mut indexes = guild::start(&platform, &[size]).await;
        let one = Instance::start("one", &platform).await;
        let two = Instance::start("two", &platform).await;
        let deployment = Self {
            platform,
            index: indexes.remove(0),
            instances: [one, two],
        };
        for at in [0, 1] {
            let addr = deployment.instances[at].addr;
            until("a first order", || async move {
                let key = order_key(&format!("first-{at}"));
                matches!(order(addr, CLASS, &key, "{}").await, Ok((200, _)))
            })
            .await;
        }
        deployment
    }

    fn addr(&self, at: usize) -> SocketAddr {
        self.instances[at].addr
    }

    fn runs(&self, body: &str) -> usize {
        let upstreams = self.index.upstreams.iter();
        upstreams
            .flat_map(standin::upstream::Upstream::runs)
            .filter(|run| run == body.as_bytes())
            .count()
    }
}

fn error_kind(refusal: &Value) -> &str {
    refusal["kind"].as_str().unwrap_or_default()
}

struct Fault {
    faults: fn(&mut Faults),
    mode: Mode,
}

#[rstest::rstest]
#[case::none(Fault { faults: |_| {}, mode: Mode::Normal })]
#[case::one_lost_platform_reply(Fault { faults: |faults| faults.lose_replies = 1, mode: Mode::Normal })]
#[case::four_lost_platform_replies(Fault { faults: |faults| faults.lose_replies = 4, mode: Mode::Normal })]
#[case::slow_platform(Fault {
    faults: |faults| faults.slow = Duration::from_millis(40),
    mode: Mode::Normal,
})]
#[case::upstream_sheds(Fault { faults: |_| {}, mode: Mode::Shed })]
#[case::upstream_crashes(Fault { faults: |_| {}, mode: Mode::Crash })]
#[case::upstream_replies_with_the_wrong_query_id(Fault { faults: |_| {}, mode: Mode::WrongQueryId })]
#[async_std::test]
async fn an_order_repeated_through_both_instances_runs_at_most_once(#[case] fault: Fault) {
    const ORDERS: usize = 8;
    let deployment = Deployment::start().await;
    for upstream in &deployment.index.upstreams {
        upstream.update_behaviour(|behaviour| behaviour.mode = fault.mode);
    }
    for number in 0..ORDERS {
        deployment.platform.faults(fault.faults);
        let key = order_key(&format!("job-{number}"));
        let body = format!("{{\"job\":{number}}}");
        let attempts = (0..4).map(|at| order(deployment.addr(at % 2), CLASS, &key, &body));
        let answers = futures::future::join_all(attempts).await;
        let runs = deployment.runs(&body);
        assert!(runs <= 1, "{runs} runs, {answers:?}");
        let answers: Vec<(u16, Value)> = answers.into_iter().map(Result::unwrap).collect();
        let any_answered = answers.iter().any(|(status, _)| *status == 200);
        let all_refused = answers.iter().all(|(_, answer)| answer["ran"] == "not run");
        assert!(!any_answered || runs == 1, "{answers:?}");
        assert!(!all_refused || runs == 0, "{answers:?}");
    }
}

#[async_std::test]
async fn an_order_whose_instance_is_killed_is_not_run_again() {
    let mut deployment = Deployment::start().await;
    for upstream in &deployment.index.upstreams {
        upstream.update_behaviour(|behaviour| behaviour.mode = Mode::Silent);
    }
    let (addr, key, body) = (
        deployment.addr(0),
        order_key("killed"),
        "{\"job\":\"killed\"}",
    );
    let pending = async_std::task::spawn({
        let key = key.clone();
        async move { order(addr, CLASS, &key, body).await }
    });
    until("the order to be run", || async {
        deployment.runs(body) == 1
    })
    .await;
    deployment.instances[0].kill();
    pending.await.ok();
    for upstream in &deployment.index.upstreams {
        upstream.update_behaviour(|behaviour| behaviour.mode = Mode::Normal);
    }
    let (status, refusal) = order(deployment.addr(1), CLASS, &key, body).await.unwrap();
    assert_eq!(
        (status, error_kind(&refusal)),
        (409, "duplicate"),
        "{refusal}"
    );
    assert_eq!(refusal["ran"], "may have run");
    assert_eq!(deployment.runs(body), 1);
}

#[rstest::rstest]
#[case::before_the_claim(0)]
#[case::while_the_claim_is_written(15)]
#[case::while_the_claim_is_checked(30)]
#[case::while_the_order_runs(50)]
#[async_std::test]
async fn an_instance_that_pauses_and_resumes_runs_no_order_twice(#[case] after_ms: u64) {
    let deployment = Deployment::start().await;
    let slow = Duration::from_millis(10);
    deployment.platform.faults(|faults| faults.slow = slow);
    let (addr, key, body) = (
        deployment.addr(0),
        order_key("paused"),
        "{\"job\":\"paused\"}",
    );
    let pending = async_std::task::spawn({
        let key = key.clone();
        async move { order(addr, CLASS, &key, body).await }
    });
    async_std::task::sleep(Duration::from_millis(after_ms)).await;
    deployment.instances[0].pause();
    let (_, concurrent) = order(deployment.addr(1), CLASS, &key, body).await.unwrap();
    deployment.instances[0].resume();
    let (_, resumed) = pending.await.unwrap();
    let (_, repeated) = order(deployment.addr(1), CLASS, &key, body).await.unwrap();
    let runs = deployment.runs(body);
    assert!(
        runs <= 1,
        "{runs} runs: {concurrent}, {resumed}, {repeated}"
    );
    let refused = [&concurrent, &resumed, &repeated].map(|answer| answer["ran"] == "not run");
    assert!(
        refused != [true; 3] || runs == 0,
        "{concurrent}, {resumed}, {repeated}"
    );
}

#[async_std::test]
async fn an_order_refused_in_an_outage_did_not_run_and_runs_afterwards() {
    // An attempt that ends late may have run, so that every later one is a duplicate.
    let deployment = Deployment::start_with(guild::Size {
        latency: "10s",
        ..guild::SIZES[2]
    })
    .await;
    let (key, body) = (order_key("outage"), "{\"job\":\"outage\"}");
    deployment.platform.faults(|faults| faults.down = true);
    let attempts = [0, 1].map(|at| order(deployment.addr(at), CLASS, &key, body));
    for refused in futures::future::join_all(attempts).await {
        let (_, refusal) = refused.unwrap();
        assert_eq!(error_kind(&refusal), "platform-down", "{refusal}");
        assert_eq!(refusal["ran"], "not run");
    }
    assert_eq!(deployment.runs(body), 0);
    deployment.platform.faults(|faults| faults.down = false);
    until("the order to complete", || async {
        let answer = order(deployment.addr(1), CLASS, &key, body).await;
        answer.is_ok_and(|(status, _)| status == 200)
    })
    .await;
    assert_eq!(deployment.runs(body), 1);
}
