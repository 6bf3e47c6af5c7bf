//! The processes of a deployment, its store, and what the instances have to know.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use futures::future::join_all;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde_json::{Value, json};

use super::instance::{CALLER_PORT, HOST, Instance};
use super::plan::Action;
use super::standin::platform::Platform;
use super::store::StoreMode;

/// Failure domains and their regions.
const DOMAINS: [(&str, &str); 3] = [
    ("suva-a", "central"),
    ("lautoka-a", "western"),
    ("labasa-a", "northern"),
];
/// The bounds of the users' grown deployments: how long a confirmed version may take, and how long
/// an instance and the store have to be undisturbed before.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);
const STABLE_WINDOW: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_secs(6);
/// How long killed instances stay away.
const DOWN: Duration = Duration::from_millis(1_200);
const OBJECTS_PER_PAGE: usize = 500;
const REPLICAS: usize = 690;

struct Written {
    version: u64,
    at: Instant,
}

/// A deployment.
pub(crate) struct Fleet {
    pub(crate) checks: usize,
    began: Instant,
    store: Platform,
    store_calm_since: Instant,
    store_disturbed_until: Option<Instant>,
    instances: Vec<Instance>,
    written: Vec<Written>,
    more_routes: usize,
    dir: PathBuf,
}

impl Fleet {
    pub(crate) async fn start(seed: u64, count: usize, rng: &mut SmallRng) -> Self {
        let store = Platform::start_with_pages_of(OBJECTS_PER_PAGE).await;
        let dir = format!("hyssopwalk-many-{}-{seed}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        std::fs::create_dir_all(&dir).expect("a folder for settings and logs");
        let now = Instant::now();
        let ips: Vec<IpAddr> = (0..count).map(|at| ip(seed, at)).collect();
        // Whether an instance comes early in address order says nothing about its size.
        let mut by_size: Vec<usize> = (0..count).collect();
        by_size.shuffle(rng);
        let seeds: Vec<SocketAddr> = by_size[..3].iter().map(|at| control(ips[*at])).collect();
        let instance = |at: usize| {
            let (failure_domain, region) = DOMAINS[at % DOMAINS.len()];
            let name = format!("front-{failure_domain}-{}", at / DOMAINS.len() + 1);
            let cpu_share = if by_size[at] < count / 6 { 0.5 } else { 0.12 };
            let ip = ips[at];
            let addr = |port| SocketAddr::new(ip, CALLER_PORT + port);
            let settings = json!({
                "node_name": name, "zone": failure_domain, "region": region,
                "listen": {
                    "front": addr(0), "ready": addr(1), "control": control(ip), "directory": addr(3),
                },
                "seeds": seeds, "bootstrap": true,
                "limits": {"cpu_share": cpu_share, "cores": 1},
                "bounds": {"grace_s": GRACE.as_secs()},
                "platform": {"address": store.addr},
            });
            let path = dir.join(format!("{name}.json"));
            std::fs::write(&path, settings.to_string()).expect("the settings are written");
            let start_at = now + Duration::from_millis(rng.random_range(0..300));
            Instance::new(name, ip, path, start_at)
        };
        let instances = (0..count).map(instance).collect();
        let mut fleet = Self {
            checks: 0,
            began: now,
            store,
            store_calm_since: now,
            store_disturbed_until: None,
            instances,
            written: Vec::new(),
            more_routes: 0,
            dir,
        };
        fleet.list_replicas();
        fleet.change_config(rng);
        fleet
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Lists replicas that nobody reaches; only their number matters here.
    fn list_replicas(&self) {
        for at in 0..REPLICAS {
            let entry = json!({
                "service": format!("service-{}", at / 3), "address": format!("127.0.0.1:{}", 20_000 + at),
                "zone": DOMAINS[at % DOMAINS.len()].0, "version": "v1", "slots": 2, "state": "ready",
                "cold_remaining_ms": 0, "sequence": 1, "born": at,
            });
            self.store.set(&format!("servers/i-{at:08x}"), entry);
        }
    }

    /// Writes a version that has one more route, whose prefix names the version.
    fn change_config(&mut self, rng: &mut SmallRng) {
        let before = self.written.last().map_or(0, |written| written.version);
        let version = before + rng.random_range(1..4);
        let versions = self.written.iter().map(|written| written.version);
        let added = versions
            .chain([version])
            .map(|version| route(&format!("v{version}")));
        let more = (0..self.more_routes).map(|at| route(&format!("more-{at}")));
        let routes: Vec<Value> = added.chain(more).collect();
        let service = json!({"name": "service-0", "health_path": "/health", "max_connections": 60});
        let config = json!({"version": version, "routes": routes, "services": [service]});
        self.store.set("config/main", config);
        let at = Instant::now();
        self.written.push(Written { version, at });
    }

    pub(crate) fn apply(&mut self, action: Action, rng: &mut SmallRng) {
        println!("{:.3} s: {action:?}", self.elapsed().as_secs_f64());
        let now = Instant::now();
        match action {
            Action::ChangeConfig { more_routes } => {
                self.more_routes += more_routes;
                self.change_config(rng);
            }
            Action::Kill { share } => {
                for instance in &mut self.instances {
                    if rng.random_bool(share) {
                        let delay = Duration::from_millis(rng.random_range(0..300));
                        instance.kill(now + DOWN + delay);
                    }
                }
            }
            Action::Stop(at) => {
                self.instances[at].stop(now + GRACE);
            }
            Action::Pause(at, length) => {
                self.instances[at].pause(now + length);
            }
            Action::DisturbStore(mode, length) => {
                mode.apply_to(&self.store);
                self.store_disturbed_until = Some(now + length);
            }
            Action::ForgetHistory => self.store.compact(),
        }
    }

    /// Ends what is over, and starts processes that have ended again.
    pub(crate) fn tick(&mut self) {
        let now = Instant::now();
        if let Some(until) = self.store_disturbed_until {
            self.store_calm_since = now;
            if until <= now {
                StoreMode::Normal.apply_to(&self.store);
                self.store_disturbed_until = None;
            }
        }
        for instance in &mut self.instances {
            instance.tick(now);
        }
    }

    /// Asks all undisturbed instances for the route of the newest version that must be in force.
    pub(crate) async fn check(&mut self) -> Vec<String> {
        let now = Instant::now();
        let is_calm = |since: Instant| now.duration_since(since) > STABLE_WINDOW;
        let is_due = |written: &&Written| now.duration_since(written.at) > IN_FORCE_WITHIN;
        let Some(due) = self.written.iter().rev().find(is_due) else {
            return Vec::new();
        };
        if !is_calm(self.store_calm_since) {
            return Vec::new();
        }
        let calm = self
            .instances
            .iter()
            .filter(|instance| is_calm(instance.calm_since));
        let checks = calm.map(|instance| instance.check(due.version));
        let results = join_all(checks).await;
        self.checks += results.len();
        let at = self.elapsed().as_secs_f64();
        let failed = results.into_iter().filter_map(Result::err);
        failed.map(|error| format!("{at:.3} s: {error}")).collect()
    }

    /// Says where the logs are, which are otherwise removed.
    pub(crate) fn keep_logs(&mut self) -> String {
        let dir = std::mem::take(&mut self.dir);
        format!("logs in {}", dir.display())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.kill(Instant::now());
        }
        if !self.dir.as_os_str().is_empty() {
            std::fs::remove_dir_all(&self.dir).ok();
        }
    }
}

fn route(name: &str) -> Value {
    json!({
        "name": format!("route-{name}"), "host": HOST, "path_prefix": format!("/{name}/"),
        "route_type": "safe", "timeout_ms": 2000, "target_latency_ms": 300, "priority": 1,
        "max_attempts": 2, "service": "service-0",
    })
}

/// Returns a loopback address that no other deployment uses.
fn ip(seed: u64, at: usize) -> IpAddr {
    let [low, high, ..] = std::process::id().to_le_bytes();
    let deployment = high ^ seed.to_le_bytes()[0];
    let last = u8::try_from(at + 1).expect("at most 254 instances");
    IpAddr::from([127, low.max(1), deployment.max(1), last])
}

fn control(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, CALLER_PORT + 2)
}
