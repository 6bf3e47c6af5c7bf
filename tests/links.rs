//! Links of the real binary to upstreams that close, cut or silence their connections.

mod standin;

use std::time::Duration;

use serde_json::json;

use standin::guild::Index;
use standin::instance::Instance;
use standin::platform::Platform;
use standin::upstream::Upstream;
use standin::{guild, query, until};

const CLASS: &str = "pattern-finder";
/// What a fault of its connections may cost each upstream.
const MOST_CONNECTS: u64 = 2;

struct Site {
    index: Index,
    instance: Instance,
    _platform: Platform,
}

impl Site {
    /// An instance whose class has so much time that no verdict is up to the machine.
    async fn start(name: &str) -> Self {
        let platform = Platform::start().await;
        let mut indexes = guild::start(&platform, &guild::SIZES[..1]).await;
        let class = json!({
            "name": CLASS, "index": CLASS, "latency": "30s", "coverage": "100%",
            "extra_load": "50%", "repeatable": true,
        });
        platform.set("config/classes", json!({ "classes": [class] }));
        let site = Self {
            index: indexes.remove(0),
            instance: Instance::start(name, &platform).await,
            _platform: platform,
        };
        until("a whole answer", || site.answers_whole()).await;
        site
    }

    async fn answers_whole(&self) -> bool {
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
    /// Every query during the fault is answered whole.
    unseen: bool,
}

#[async_std::test]
async fn links_come_back_from_every_fault() {
    let cases = [
        Case {
            name: "drained",
            fault: Upstream::drain,
            unseen: true,
        },
        Case {
            name: "cut",
            fault: Upstream::cut,
            unseen: false,
        },
        Case {
            name: "silent",
            fault: Upstream::silence,
            unseen: false,
        },
    ];
    for case in cases {
        let site = Site::start(case.name).await;
        for _ in 0..20 {
            assert!(site.answers_whole().await, "{}", case.name);
        }
        let before = site.accepted();
        for upstream in &site.index.upstreams {
            (case.fault)(upstream);
        }
        if case.unseen {
            assert!(site.answers_whole().await, "{}", case.name);
        }
        until("a whole answer", || site.answers_whole()).await;
        for _ in 0..20 {
            assert!(site.answers_whole().await, "{}", case.name);
        }
        for (before, after) in before.iter().zip(site.accepted()) {
            assert!(after <= before + MOST_CONNECTS, "{}", case.name);
        }
    }
}

#[async_std::test]
async fn a_silent_connection_costs_its_replica_no_work_for_good() {
    let site = Site::start("silent-one").await;
    let silent = &site.index.upstreams[0];
    until("a connection", || async {
        site.answers_whole().await;
        silent.accepted() > 0
    })
    .await;
    silent.silence();
    let runs = silent.runs().len();
    until("work for the replica", || async {
        site.answers_whole().await;
        async_std::task::sleep(Duration::from_millis(10)).await;
        silent.runs().len() > runs
    })
    .await;
}
