//! Orders run at most once: two instances as processes of their own, a platform that
//! fails, and upstreams that count what they ran.

mod standin;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use standin::instance::Instance;
use standin::platform::{Faults, Platform};
use standin::upstream::Mode;
use standin::{guild, order, order_key, until};

const CLASS: &str = "order-desk";

struct Desk {
    platform: Platform,
    index: guild::Index,
    instances: [Instance; 2],
}

impl Desk {
    async fn start() -> Self {
        let platform = Platform::start().await;
        let mut indexes = guild::start(&platform, &guild::SIZES[2..3]).await;
        let one = Instance::start("one", &platform).await;
        let two = Instance::start("two", &platform).await;
        let desk = Self {
            platform,
            index: indexes.remove(0),
            instances: [one, two],
        };
        for at in [0, 1] {
            let addr = desk.instances[at].addr;
            until("a first order", || async move {
                let key = order_key(&format!("first-{at}"));
                matches!(order(addr, CLASS, &key, "{}").await, Ok((200, _)))
            })
            .await;
        }
        desk
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

fn kind(refusal: &Value) -> &str {
    refusal["kind"].as_str().unwrap_or_default()
}

struct Fault {
    faults: fn(&mut Faults),
    mode: Mode,
}

#[rstest::rstest]
#[case::none(Fault { faults: |_| {}, mode: Mode::Normal })]
#[case::lost_reply(Fault { faults: |faults| faults.lose_replies = 1, mode: Mode::Normal })]
#[case::lost_replies(Fault { faults: |faults| faults.lose_replies = 4, mode: Mode::Normal })]
#[case::slow(Fault {
    faults: |faults| faults.slow = Duration::from_millis(40),
    mode: Mode::Normal,
})]
#[case::upstream_sheds(Fault { faults: |_| {}, mode: Mode::Shed })]
#[case::upstream_crashes(Fault { faults: |_| {}, mode: Mode::Crash })]
#[case::reply_mangled(Fault { faults: |_| {}, mode: Mode::Mangle })]
#[async_std::test]
async fn an_order_repeated_through_both_instances_runs_once(#[case] fault: Fault) {
    const ORDERS: usize = 8;
    let desk = Desk::start().await;
    for upstream in &desk.index.upstreams {
        upstream.behave(|behaviour| behaviour.mode = fault.mode);
    }
    for number in 0..ORDERS {
        desk.platform.faults(fault.faults);
        let key = order_key(&format!("job-{number}"));
        let body = format!("{{\"job\":{number}}}");
        let attempts = (0..4).map(|at| order(desk.addr(at % 2), CLASS, &key, &body));
        let answers = futures::future::join_all(attempts).await;
        let runs = desk.runs(&body);
        assert!(runs <= 1, "{runs} runs, {answers:?}");
        let answers: Vec<(u16, Value)> = answers.into_iter().map(Result::unwrap).collect();
        let answered = answers.iter().any(|(status, _)| *status == 200);
        let refused = answers.iter().all(|(_, answer)| answer["ran"] == "not run");
        assert!(!answered || runs == 1, "{answers:?}");
        assert!(!refused || runs == 0, "{answers:?}");
    }
}

#[async_std::test]
async fn an_order_whose_instance_is_killed_is_not_run_again() {
    let mut desk = Desk::start().await;
    for upstream in &desk.index.upstreams {
        upstream.behave(|behaviour| behaviour.mode = Mode::Silent);
    }
    let (addr, key, body) = (desk.addr(0), order_key("killed"), "{\"job\":\"killed\"}");
    let asked = async_std::task::spawn({
        let key = key.clone();
        async move { order(addr, CLASS, &key, body).await }
    });
    until("the order to be run", || async { desk.runs(body) == 1 }).await;
    desk.instances[0].kill();
    asked.await.ok();
    for upstream in &desk.index.upstreams {
        upstream.behave(|behaviour| behaviour.mode = Mode::Normal);
    }
    let (status, refusal) = order(desk.addr(1), CLASS, &key, body).await.unwrap();
    assert_eq!((status, kind(&refusal)), (409, "duplicate"), "{refusal}");
    assert_eq!(refusal["ran"], "may have run");
    assert_eq!(desk.runs(body), 1);
}

#[rstest::rstest]
#[case::before_the_claim(0)]
#[case::while_it_is_written(15)]
#[case::while_it_is_checked(30)]
#[case::while_the_order_runs(50)]
#[async_std::test]
async fn an_instance_that_pauses_and_wakes_runs_no_order_twice(#[case] after_ms: u64) {
    let desk = Desk::start().await;
    let slow = Duration::from_millis(10);
    desk.platform.faults(|faults| faults.slow = slow);
    let (addr, key, body) = (desk.addr(0), order_key("paused"), "{\"job\":\"paused\"}");
    let asked = async_std::task::spawn({
        let key = key.clone();
        async move { order(addr, CLASS, &key, body).await }
    });
    async_std::task::sleep(Duration::from_millis(after_ms)).await;
    desk.instances[0].pause();
    let (_, other) = order(desk.addr(1), CLASS, &key, body).await.unwrap();
    desk.instances[0].resume();
    let (_, woken) = asked.await.unwrap();
    let (_, last) = order(desk.addr(1), CLASS, &key, body).await.unwrap();
    let runs = desk.runs(body);
    assert!(runs <= 1, "{runs} runs: {other}, {woken}, {last}");
    let refused = [&other, &woken, &last].map(|answer| answer["ran"] == "not run");
    assert!(
        refused != [true; 3] || runs == 0,
        "{other}, {woken}, {last}"
    );
}

#[async_std::test]
async fn an_order_refused_in_an_outage_did_not_run_and_runs_afterwards() {
    let desk = Desk::start().await;
    let (key, body) = (order_key("outage"), "{\"job\":\"outage\"}");
    desk.platform.faults(|faults| faults.down = true);
    for at in [0, 1] {
        let (_, refusal) = order(desk.addr(at), CLASS, &key, body).await.unwrap();
        assert_eq!(kind(&refusal), "platform-down", "{refusal}");
        assert_eq!(refusal["ran"], "not run");
    }
    assert_eq!(desk.runs(body), 0);
    desk.platform.faults(|faults| faults.down = false);
    until("the order to be done", || async {
        let answer = order(desk.addr(1), CLASS, &key, body).await;
        answer.is_ok_and(|(status, _)| status == 200)
    })
    .await;
    assert_eq!(desk.runs(body), 1);
}
