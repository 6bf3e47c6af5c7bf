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
use futures::future::join;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::{Value, json};

use super::Node;
use super::slow_link_tests::{IN_FORCE_WITHIN, start_node};
use crate::connection::accept_peers;
use crate::connection::slow_link::shared_slow_link;
use crate::process::platform::fake::FakePlatform;

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
        watch_versions(&followers, config.version).await;
        config.add_routes(ROUTES);
        let last = config.version + 1 + case.changes;
        let writing = write_versions(&mut config, &store, &case);
        let (written, in_force) = join(writing, watch_versions(&followers, last)).await;
        for (version, at) in written {
            let took = in_force[&version].duration_since(at);
            assert!(
                took < IN_FORCE_WITHIN,
                "version {version} took {took:?} to all followers"
            );
        }
    });
}

/// Writes the versions of a case and returns when each was written.
async fn write_versions(
    config: &mut Config,
    store: &FakePlatform,
    case: &Case,
) -> Vec<(u64, Instant)> {
    let mut written = vec![(config.write(store), Instant::now())];
    for _ in 0..case.changes {
        sleep(case.interval).await;
        config.change_route();
        written.push((config.write(store), Instant::now()));
    }
    written
}

/// Returns since when each version, or a later one, was in force at all followers.
async fn watch_versions(followers: &[Arc<Node>], last: u64) -> IndexMap<u64, Instant> {
    let began = Instant::now();
    let mut in_force = IndexMap::new();
    let mut next = 1;
    while next <= last {
        let versions = followers.iter().map(|node| node.catalog().table.version);
        let oldest = versions.min().unwrap().0;
        while next <= oldest {
            in_force.insert(next, Instant::now());
            next += 1;
        }
        assert!(
            began.elapsed() < IN_FORCE_WITHIN * 3,
            "version {next} is not in force at all followers"
        );
        sleep(Duration::from_millis(10)).await;
    }
    in_force
}

/// Starts an instance that cannot reach the store.
fn follower(at: u8, reader: SocketAddr) -> Arc<Node> {
    let cut_off = Arc::new(FakePlatform::default());
    cut_off.faults(|faults| faults.down = true);
    let own_addr = SocketAddr::from(([127, 0, 1, at + 1], 1));
    start_node(&format!("follower-{at}"), own_addr, vec![reader], cut_off)
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
        "path_begins": format!("/{}/{}/", word(), word()), "repeatable": "safe",
        "timeout_ms": 8000, "latency_target_ms": 800, "priority": 2,
        "service": word(), "max_attempts": 2,
    })
}
