//! Tests that the real binary recovers after upstreams close, cut or silence its connections.

mod standin;

use std::time::Duration;

use serde_json::json;

use standin::guild::Index;
use standin::instance::Instance;
use standin::platform::Platform;
use standin::upstream::Upstream;
use standin::{guild, query, until};

const CLASS: &str = "pattern-finder";
/// How many new connections each upstream may accept after a fault of its connections.
const MAX_RECONNECTS: u64 = 2;

struct Deployment {
    index: Index,
    instance: Instance,
    _platform: Platform,
}

impl Deployment {
    /// Starts an instance with a class whose latency target of 30 s is long enough that the
    /// speed of the machine decides no result.
    async fn start(name: &str) -> Self {
        let platform = Platform::start().await;
        let mut indexes = guild::start(&platform, &guild::SIZES[..1]).await;
        let class = json!({
            "name": CLASS, "index": CLASS, "latency": "30s", "coverage": "100%",
            "extra_load": "50%", "repeatable": true,
        });
        platform.set("config/classes", json!({ "classes": [class] }));
        let deployment = Self {
            index: indexes.remove(0),
            instance: Instance::start(name, &platform).await,
            _platform: platform,
        };
        until("a complete answer", || deployment.answers_completely()).await;
        deployment
    }

    async fn answers_completely(&self) -> bool {
        let answered = query(self.instance.addr, CLASS, "{}").await;
        answered
            .is_ok_and(|(status, answer)| status == 200 && answer["coverage"]["ratio"] == "100%")
    }

    fn accepted(&self) -> Vec<u64> {
        self.index
            .upstreams
            .iter()
            .map(Upstream::accepted)
            .collect()
    }
}

struct Case {
    name: &'static str,
    fault: fn(&Upstream),
    /// Whether the first query after the fault must already get a complete answer.
    lossless: bool,
}

#[async_std::test]
async fn links_recover_from_every_fault() {
    let cases = [
        Case {
            name: "drained",
            fault: Upstream::drain,
            lossless: true,
        },
        Case {
            name: "cut",
            fault: Upstream::cut,
            lossless: false,
        },
        Case {
            name: "silent",
            fault: Upstream::silence,
            lossless: false,
        },
    ];
    for case in cases {
        let deployment = Deployment::start(case.name).await;
        for _ in 0..20 {
            assert!(deployment.answers_completely().await, "{}", case.name);
        }
        let before = deployment.accepted();
        for upstream in &deployment.index.upstreams {
            (case.fault)(upstream);
        }
        if case.lossless {
            assert!(deployment.answers_completely().await, "{}", case.name);
        }
        until("a complete answer", || deployment.answers_completely()).await;
        for _ in 0..20 {
            assert!(deployment.answers_completely().await, "{}", case.name);
        }
        for (before, after) in before.iter().zip(deployment.accepted()) {
            assert!(after <= before + MAX_RECONNECTS, "{}", case.name);
        }
    }
}

#[async_std::test]
async fn a_replica_gets_work_again_after_its_connection_goes_silent() {
    let deployment = Deployment::start("silent-one").await;
    let silent = &deployment.index.upstreams[0];
    until("a connection", || async {
        deployment.answers_completely().await;
        silent.accepted() > 0
    })
    .await;
    silent.silence();
    let runs = silent.runs().len();
    until("the replica to run a leg", || async {
        deployment.answers_completely().await;
        async_std::task::sleep(Duration::from_millis(10)).await;
        silent.runs().len() > runs
    })
    .await;
}
