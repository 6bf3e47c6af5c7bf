//! What a change of the store's era costs fleets of several sizes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task::{block_on, sleep, spawn};
use futures::future::join_all;
use rstest::rstest;
use serde_json::json;

use super::Node;
use super::slow_link_tests::{SMALL, set_config, start_in_domain, wait_for_version, write};
use crate::connection::accept_peers;
use crate::process::platform::fake::{Calls, FakePlatform};
use crate::types::Era;

/// Entries of replicas, besides the configuration.
const ENTRIES: usize = 300;
const DOMAINS: usize = 3;
const STARTED_AT_ONCE: usize = 10;
const SETTLED: Duration = Duration::from_millis(2_500);
/// How long calls are counted.
const COUNTED_FOR: Duration = Duration::from_secs(5);
/// One reader lists each prefix again, and a second one may read for a moment.
const MAX_FURTHER_READS: u64 = 4;

struct Case {
    instances: u8,
}

/// Guards against a drill after which every instance lists the store.
#[rstest]
#[case::a_small_fleet(Case { instances: 7 })]
#[case::a_grown_one(Case { instances: 30 })]
#[case::a_large_one(Case { instances: 100 })]
fn calls_after_a_drill_do_not_grow_with_the_fleet(#[case] case: Case) {
    block_on(async {
        let store = Arc::new(FakePlatform::default());
        store.begin_eras();
        for at in 0..ENTRIES {
            let key = format!("config/entry-{at}");
            store.set(&key, &json!({"version": 0, "filler": "x".repeat(200)}));
        }
        set_config(&store, write(0, 1, SMALL));
        let mut nodes: Vec<Arc<Node>> = Vec::new();
        for number in 0..case.instances {
            let node = start_serving(number, case.instances, &nodes, &store).await;
            nodes.push(node);
            // Starting all at once would measure the start.
            if usize::from(number) % STARTED_AT_ONCE == 0 {
                join_all(nodes.iter().map(|node| wait_for_version(node, 1))).await;
            }
        }
        join_all(nodes.iter().map(|node| wait_for_version(node, 1))).await;
        let copy = store.copy();
        set_config(&store, write(0, 9, SMALL));
        sleep(SETTLED).await;
        let calm = calls_within(&store, COUNTED_FOR).await;
        let bytes_before = sent_bytes(&nodes);
        store.restore(copy);
        let began = Instant::now();
        set_config(&store, write(0, 11, SMALL));
        let counting = calls_within(&store, COUNTED_FOR);
        let applying = async {
            for node in &nodes {
                wait_for_version(node, 11).await;
                while node.object_cache.lock().era() != Era(2) {
                    sleep(Duration::from_millis(10)).await;
                }
            }
            began.elapsed()
        };
        let (after, took) = futures::join!(counting, applying);
        let bytes = (sent_bytes(&nodes) - bytes_before) / f64::from(case.instances);
        println!(
            "{} instances: {} reads in calm, {} after a drill, in force after {took:?}, {bytes} bytes for each",
            case.instances,
            calm.reads + calm.watches,
            after.reads + after.watches
        );
        assert!(after.reads + after.watches <= calm.reads + calm.watches + MAX_FURTHER_READS);
    });
}

async fn calls_within(store: &FakePlatform, time: Duration) -> Calls {
    let before = store.calls();
    sleep(time).await;
    let after = store.calls();
    Calls {
        reads: after.reads - before.reads,
        watches: after.watches - before.watches,
        ..Calls::default()
    }
}

fn sent_bytes(nodes: &[Arc<Node>]) -> f64 {
    let of_node = |node: &Arc<Node>| {
        let text = node.engine.metrics.render().unwrap();
        let line = text
            .lines()
            .find(|line| line.starts_with("hyssopwalk_sent_update_bytes_total"));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value
            .and_then(|value| value.parse::<f64>().ok())
            .unwrap_or_default()
    };
    nodes.iter().map(of_node).sum()
}

async fn start_serving(
    number: u8,
    instances: u8,
    seeds: &[Arc<Node>],
    store: &Arc<FakePlatform>,
) -> Arc<Node> {
    let ip = SocketAddr::from(([127, 0, instances, number + 1], 0));
    let listener = TcpListener::bind(ip).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let domain = format!("domain-{}", usize::from(number) % DOMAINS);
    let seeds = seeds.iter().map(|seed| seed.settings.me.member.peer_addr);
    let seeds = seeds.take(3).collect();
    let name = format!("instance-{number}");
    let node = start_in_domain(&name, &domain, addr, seeds, Arc::clone(store));
    spawn(accept_peers(Arc::clone(&node), listener));
    node
}
