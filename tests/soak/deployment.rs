//! A small deployment: instance processes, a store, replicas, and proxies between them.

use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use parking_lot::Mutex;
use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, getsockname, socket_with};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use super::proxy::Proxy;
use super::replica::{Replica, ReplicaMode, Runs};
use super::standin::platform::{Platform, StoreCopy};

pub(crate) const HOST: &str = "soak.example";
pub(crate) const INSTANCES: usize = 3;
/// Number of replicas of each service.
const REPLICAS: usize = 2;
/// The two sets of shards that successive configurations alternate between.
pub(crate) const SHARD_SETS: [&[&str]; 2] =
    [&["a0", "a1", "a2", "a3"], &["b0", "b1", "b2", "b3", "b4"]];
/// The service behind the routes that use a single replica.
pub(crate) const SINGLE_SERVICE: &str = "desk";
/// The minimum coverage of a gathered answer, in percent of the shards.
pub(crate) const MIN_COVERAGE_PERCENT: usize = 50;
/// Number of records in a gathered answer.
pub(crate) const TOP_K: usize = 10;

/// How large a deployment is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizes {
    pub(crate) instances: usize,
    /// The requests that a replica runs at the same time.
    pub(crate) slots: u32,
    /// The memory of each instance's machine.
    pub(crate) memory_mb: u32,
    /// The longest body that a caller may send.
    pub(crate) max_body_bytes: usize,
    /// The timeout of all routes.
    pub(crate) timeout_ms: u32,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            instances: INSTANCES,
            slots: 2,
            memory_mb: 260,
            max_body_bytes: 65_536,
            timeout_ms: 2_000,
        }
    }
}

/// An instance that runs as a child process.
#[derive(Debug)]
pub(crate) struct Instance {
    /// The address that callers connect to.
    pub(crate) front: SocketAddr,
    /// The address that other instances connect to.
    #[allow(dead_code, reason = "only tests/store_drill.rs uses it")]
    pub(crate) control: SocketAddr,
    settings: PathBuf,
    /// The proxy to the store.
    pub(crate) store: Proxy,
    child: Option<Child>,
}

/// A replica and the proxy in front of it.
#[derive(Debug)]
pub(crate) struct ProxiedReplica {
    pub(crate) replica: Replica,
    pub(crate) proxy: Proxy,
}

/// The store, the replicas and the instances of one soak run.
pub(crate) struct Deployment {
    pub(crate) store: Platform,
    pub(crate) instances: Vec<Instance>,
    pub(crate) replicas: Vec<ProxiedReplica>,
    pub(crate) runs: Runs,
    pub(crate) version: u64,
    /// A copy of the store, from which it may come back.
    copy: Option<StoreCopy>,
    sizes: Sizes,
    /// The incarnation number of the replica started last.
    last_incarnation: u64,
}

impl Deployment {
    pub(crate) async fn start(name: &str) -> Self {
        Self::start_sized(name, Sizes::default()).await
    }

    pub(crate) async fn start_sized(name: &str, sizes: Sizes) -> Self {
        let store = Platform::start().await;
        let store_addr = store.addr;
        let runs: Runs = Arc::new(Mutex::new(Vec::new()));
        let mut deployment = Self {
            store,
            instances: Vec::new(),
            replicas: Vec::new(),
            runs,
            version: 0,
            copy: None,
            sizes,
            last_incarnation: 1,
        };
        let services = SHARD_SETS
            .into_iter()
            .flatten()
            .copied()
            .chain([SINGLE_SERVICE]);
        for service in services {
            for _ in 0..REPLICAS {
                deployment.add_replica(service).await;
            }
        }
        deployment.change_config();
        let addrs = free_addrs(sizes.instances * 4);
        for at in 0..sizes.instances {
            let proxy = Proxy::start(store_addr).await;
            let seeds: Vec<String> = (0..sizes.instances)
                .map(|seed| addrs[seed * 4 + 2].to_string())
                .collect();
            let own_addrs = &addrs[at * 4..at * 4 + 4];
            let key = format!("the instances of {name} at {}", own_addrs[0].ip());
            let settings = settings(at, own_addrs, &seeds, proxy.addr, &key, sizes.memory_mb);
            // Deployments of one test process may have the same name.
            let path = std::env::temp_dir().join(format!(
                "hyssopwalk-soak-{}-{name}-{at}.json",
                own_addrs[0].ip()
            ));
            std::fs::write(&path, settings.to_string()).expect("the settings are written");
            let mut instance = Instance {
                front: own_addrs[0],
                control: own_addrs[2],
                settings: path,
                store: proxy,
                child: None,
            };
            instance.start();
            deployment.instances.push(instance);
        }
        deployment
    }

    pub(crate) async fn add_replica(&mut self, service: &str) {
        self.last_incarnation += 1;
        let id = format!("i-{}", self.last_incarnation);
        let replica = Replica::start(service, &id, self.last_incarnation, &self.runs).await;
        let proxy = Proxy::start(replica.addr).await;
        let mut entry = replica.entry(proxy.addr, "ready");
        entry["slots"] = json!(self.sizes.slots);
        self.store.set(&format!("servers/{id}"), entry);
        self.replicas.push(ProxiedReplica { replica, proxy });
    }

    /// Writes a replica's entry to the store.
    #[allow(dead_code, reason = "only the soak uses it")]
    pub(crate) fn register(&self, at: usize) {
        let proxied = &self.replicas[at];
        let entry = proxied.replica.entry(proxied.proxy.addr, "ready");
        let key = format!("servers/{}", proxied.replica.id);
        self.store.set(&key, entry);
    }

    /// Removes a replica's entry from the store.
    #[allow(dead_code, reason = "only the soak uses it")]
    pub(crate) fn deregister(&self, at: usize) {
        let key = format!("servers/{}", self.replicas[at].replica.id);
        self.store.remove(&key);
    }

    /// Copies the store.
    #[allow(dead_code, reason = "only the soak uses it")]
    pub(crate) fn copy_store(&mut self) {
        self.copy = Some(self.store.state().copy());
    }

    /// Brings the store back from the copy, if there is one. The operator and the replicas write
    /// again what they wrote.
    #[allow(dead_code, reason = "only the soak uses it")]
    pub(crate) fn restore_store(&mut self) {
        let Some(copy) = self.copy.take() else {
            return;
        };
        self.store.state().restore(copy);
        self.write_config();
        (0..self.replicas.len()).for_each(|at| self.register(at));
    }

    /// Sets how all replicas of one's service behave.
    #[allow(dead_code, reason = "only the soak uses it")]
    pub(crate) fn set_service_mode(&self, at: usize, mode: ReplicaMode) {
        let service = &self.replicas[at].replica.service;
        let replicas = self.replicas.iter().map(|proxied| &proxied.replica);
        for replica in replicas.filter(|replica| replica.service == *service) {
            replica.set_mode(mode);
        }
    }

    /// Crashes a replica and restarts it under the same id, with a new incarnation and no state.
    pub(crate) async fn crash(&mut self, at: usize) {
        let proxied = &mut self.replicas[at];
        proxied.replica.crash().await;
        proxied.proxy.reset();
        self.last_incarnation += 1;
        let (service, id) = (proxied.replica.service.clone(), proxied.replica.id.clone());
        let replica = Replica::start(&service, &id, self.last_incarnation, &self.runs).await;
        proxied.proxy.set_target(replica.addr);
        let entry = replica.entry(proxied.proxy.addr, "ready");
        self.store.set(&format!("servers/{id}"), entry);
        proxied.replica = replica;
    }

    /// Closes the connections and listeners of replicas and proxies, which would otherwise stay
    /// open until the test process ends.
    pub(crate) async fn close(mut self) {
        for proxied in &mut self.replicas {
            proxied.replica.crash().await;
            proxied.proxy.stop().await;
        }
        for instance in &mut self.instances {
            instance.kill();
            instance.store.stop().await;
        }
    }

    /// Publishes a newer configuration that uses the other set of shards, and whose last route
    /// names the version.
    pub(crate) fn change_config(&mut self) {
        self.version += 3;
        self.write_config();
    }

    /// Writes the newest configuration.
    pub(crate) fn write_config(&self) {
        let shards = SHARD_SETS[usize::try_from(self.version / 3 % 2).expect("0 or 1")];
        let route = |name: &str, prefix: &str, kind: &str| {
            json!({
                "name": name, "host": HOST, "path_prefix": prefix, "route_type": kind,
                "timeout_ms": self.sizes.timeout_ms, "target_latency_ms": 300, "priority": 1, "max_attempts": 2,
            })
        };
        let mut gather = route("g", "/g/", "safe");
        gather["gather"] = json!(shards);
        gather["top_k"] = json!(TOP_K);
        gather["min_version"] =
            json!(f64::from(u32::try_from(MIN_COVERAGE_PERCENT).expect("a percentage")) / 100.0);
        let mut one = route("one", "/one/", "safe");
        one["service"] = json!(SINGLE_SERVICE);
        let mut order = route("order", "/order/", "unsafe");
        order["service"] = json!(SINGLE_SERVICE);
        let mut added = route("added", &format!("/v{}/", self.version), "safe");
        added["service"] = json!(SINGLE_SERVICE);
        let services = SHARD_SETS
            .into_iter()
            .flatten()
            .copied()
            .chain([SINGLE_SERVICE]);
        let services: Vec<Value> = services
            .map(|name| json!({"name": name, "health_path": "/health", "max_connections": 60}))
            .collect();
        let config = json!({
            "version": self.version, "routes": [gather, one, order, added], "services": services,
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": self.sizes.max_body_bytes,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        });
        self.store.set("config/main", config);
    }
}

impl Instance {
    pub(crate) fn start(&mut self) {
        self.start_logging_to(Stdio::null(), "info");
    }

    /// Starts the process with this standard output and this filter of its log.
    pub(crate) fn start_logging_to(&mut self, stdout: Stdio, filter: &str) {
        let child = Command::new(env!("CARGO_BIN_EXE_hyssopwalk"))
            .args(["platform", "--settings"])
            .arg(&self.settings)
            .env("RUST_LOG", filter)
            .stdout(stdout)
            .stderr(self.stderr_file())
            .spawn();
        self.child = Some(child.expect("the binary starts"));
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref();
        let pid = child
            .and_then(|child| i32::try_from(child.id()).ok())
            .and_then(Pid::from_raw);
        kill_process(pid.expect("the process was started"), signal)
            .expect("the process is not reaped yet");
    }

    /// Opens the file that collects the stderr of all runs of this instance.
    fn stderr_file(&self) -> Stdio {
        let mut options = std::fs::OpenOptions::new();
        let file = options.create(true).append(true).open(self.stderr_path());
        file.map_or_else(|_| Stdio::null(), Stdio::from)
    }

    fn stderr_path(&self) -> PathBuf {
        self.settings.with_extension("errors")
    }

    /// Says whether the process has exited, and what it wrote to stderr.
    #[allow(dead_code, reason = "only tests/planned_stop.rs uses it")]
    pub(crate) fn describe(&mut self) -> String {
        let has_exited = self.has_exited();
        let text = std::fs::read_to_string(self.stderr_path()).unwrap_or_default();
        format!("{}: exited {has_exited}, {text:?}", self.front)
    }

    /// Returns the panics in stderr that the process survived, such as locks taken out of order.
    pub(crate) fn panics(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.stderr_path()).unwrap_or_default();
        let panics = text.lines().filter(|line| line.contains("panicked at"));
        panics.map(str::to_owned).collect()
    }

    #[allow(dead_code, reason = "only tests/endless_bytes.rs uses it")]
    pub(crate) fn pid(&self) -> u32 {
        self.child.as_ref().expect("the process was started").id()
    }

    /// Whether the process has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        std::fs::remove_file(&self.settings).ok();
        std::fs::remove_file(self.stderr_path()).ok();
    }
}

fn settings(
    at: usize,
    own_addrs: &[SocketAddr],
    seeds: &[String],
    store: SocketAddr,
    peer_key: &str,
    memory_mb: u32,
) -> Value {
    json!({
        "node_name": format!("front-{at}"), "zone": "suva-a", "region": "central",
        "listen": {
            "front": own_addrs[0], "ready": own_addrs[1], "control": own_addrs[2], "directory": own_addrs[3],
        },
        "seeds": seeds,
        "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": memory_mb},
        "bounds": {
            "grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 54,
        },
        "platform": {"address": store},
        // Each instance has a proxy to the store of its own, so a key derived from the store's
        // address would differ between them. Deployments that run at the same time must not share
        // one: the port of a stopped instance may be taken by an instance of another deployment.
        "peer_key": peer_key,
    })
}

/// Returns addresses whose ports were free a moment ago, on a loopback IP address that no other
/// deployment uses. On a shared one, the port of an instance that has not started yet, or that was
/// killed, may be given to another deployment.
fn free_addrs(count: usize) -> Vec<SocketAddr> {
    static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id().to_le_bytes();
    let ip = Ipv4Addr::new(
        127,
        pid[0].max(1),
        pid[1].max(1),
        DEPLOYMENTS.fetch_add(1, Ordering::Relaxed).max(1),
    );
    let sockets: Vec<OwnedFd> = (0..count)
        .map(|_| bind_socket(ip).expect("a free port"))
        .collect();
    let addr = |socket: &OwnedFd| -> SocketAddr {
        let addr = getsockname(socket).expect("a bound address");
        addr.try_into().expect("an IP address")
    };
    sockets.iter().map(addr).collect()
}

/// Binds a socket to a free port without listening on it. A process that another test forks at this
/// moment holds a copy of the socket until it executes its program. While a copy listens, nobody
/// else can.
fn bind_socket(ip: Ipv4Addr) -> rustix::io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC;
    let socket = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &SocketAddr::from((ip, 0)))?;
    Ok(socket)
}
