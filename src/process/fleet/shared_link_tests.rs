//! A configuration reaches all followers of an instance over its own link, which they share.
//!
//! Guards against an instance with a slow link that sends a copy of the whole configuration to
//! each of its followers, at every change of one route; see
//! `docs/incidents/config-behind-small-instances.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task::{block_on, sleep, spawn};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::{Value, json};

use super::Node;
use super::slow_link_tests::{IN_FORCE_WITHIN, start_node};
use crate::connection::accept_peers;
use crate::connection::slow_link::shared_slow_link;
use crate::process::platform::fake::FakePlatform;
use crate::types::ConfigVersion;

/// The link of the smallest instances, 20 Mbit/s.
const LINK_BYTES_PER_SEC: u32 = 2_500_000;
/// The other instances of a failure domain, and the first ones of five others.
const FOLLOWERS: u8 = 16;
/// A configuration near the platform's limit of a megabyte.
const ROUTES: usize = 4_200;

struct Case {
    /// How many versions change one route each after the configuration has grown.
    changes: u64,
    interval: Duration,
}

/// Guards against routes that are refused at the followers of an instance with a slow link long
/// after they were added.
#[rstest]
#[case::the_configuration_grows(Case { changes: 0, interval: Duration::ZERO })]
#[case::one_route_changes_meanwhile(Case { changes: 1, interval: Duration::from_millis(700) })]
#[case::routes_change_in_quick_succession(Case { changes: 12, interval: Duration::from_millis(330) })]
fn every_version_is_in_force_in_time_at_all_followers(#[case] case: Case) {
    block_on(async {
        let mut config = Config::new();
        let store = Arc::new(FakePlatform::default());
        config.write(&store);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let link = shared_slow_link(addr, LINK_BYTES_PER_SEC).await;
        let reader = start_node("reader", link, Vec::new(), Arc::clone(&store));
        spawn(accept_peers(reader, listener));
        let followers: Vec<Arc<Node>> = (0..FOLLOWERS).map(|at| follower(at, link)).collect();
        wait_for_all(&followers, config.version).await;
        config.add_routes(ROUTES);
        let mut written = vec![(config.write(&store), Instant::now())];
        for _ in 0..case.changes {
            sleep(case.interval).await;
            config.change_route();
            written.push((config.write(&store), Instant::now()));
        }
        for (version, at) in written {
            wait_for_all(&followers, version).await;
            let took = at.elapsed();
            assert!(
                took < IN_FORCE_WITHIN,
                "version {version} took {took:?} to all followers"
            );
        }
    });
}

/// Starts an instance that cannot reach the store.
fn follower(at: u8, reader: SocketAddr) -> Arc<Node> {
    let cut_off = Arc::new(FakePlatform::default());
    cut_off.faults(|faults| faults.down = true);
    let own_addr = SocketAddr::from(([127, 0, 1, at + 1], 1));
    start_node(&format!("follower-{at}"), own_addr, vec![reader], cut_off)
}

async fn wait_for_all(followers: &[Arc<Node>], version: u64) {
    let began = Instant::now();
    let lacks = |node: &&Arc<Node>| node.catalog().table.version < ConfigVersion(version);
    while let Some(node) = followers.iter().find(lacks) {
        let name = &node.settings.me.member.name;
        assert!(
            began.elapsed() < IN_FORCE_WITHIN * 2,
            "version {version} is not in force at {name}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// A configuration like those of the users' platform.
struct Config {
    version: u64,
    routes: Vec<Value>,
    rng: SmallRng,
}

impl Config {
    fn new() -> Self {
        Self {
            version: 0,
            routes: Vec::new(),
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn add_routes(&mut self, count: usize) {
        let added = (0..count).map(|_| route(&mut self.rng)).collect::<Vec<_>>();
        self.routes.extend(added);
    }

    fn change_route(&mut self) {
        let at = self.rng.random_range(0..self.routes.len());
        self.routes[at] = route(&mut self.rng);
    }

    /// Writes the next version and returns it.
    fn write(&mut self, store: &FakePlatform) -> u64 {
        self.version += 1;
        let config = json!({"version": self.version, "routes": self.routes});
        store.set("config/main", &config);
        self.version
    }
}

fn route(rng: &mut SmallRng) -> Value {
    let mut word = || -> String { (0..7).map(|_| rng.random_range('a'..='z')).collect() };
    json!({
        "name": format!("r-{}", word()), "host": format!("{}.example", word()),
        "path_prefix": format!("/{}/{}/", word(), word()), "route_type": "safe",
        "timeout_ms": 8000, "target_latency_ms": 800, "priority": 2,
        "service": word(), "max_attempts": 2,
    })
}
