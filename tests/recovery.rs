//! Injects each fault, and each pair of faults, under a constant load, and checks that answers
//! become complete again. The time to recover is printed (`--nocapture`).
//!
//! The checks count queries; times are only reported, in `docs/RECOVERY.md`.

mod standin;

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use futures::stream::{FuturesOrdered, StreamExt};
use parking_lot::Mutex;
use serde_json::json;
use standin::guild::Size;
use standin::instance::Instance;
use standin::platform::Platform;
use standin::upstream::{Mode, Upstream};
use standin::{guild, query, until};

/// Small, so that the test can run every pair of faults.
const SIZE: Size = Size {
    name: "pattern-finder",
    shards: 4,
    replicas: 2,
    slots: 2,
    connections: 25,
    connect_ms: 6,
    repeatable: true,
    latency: "170ms",
};
const LATENCY_TARGET: Duration = Duration::from_millis(170);
const QUERY_INTERVAL: Duration = Duration::from_millis(25);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_QUERIES: usize = 400;
const REQUIRED_COMPLETE: usize = 20;
const CONCURRENT_CASES: usize = 4;

/// A fault to inject. The faults of one case that affect upstreams affect different shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Straggler,
    LostReplica,
    SilentConnections,
    Shedding,
    Draining,
    LostSnapshot,
    CrossedReplies,
    Repartition,
    PlatformDown,
    InstanceKilled,
    InstancePaused,
}

const FAULTS: [Fault; 11] = [
    Fault::Straggler,
    Fault::LostReplica,
    Fault::SilentConnections,
    Fault::Shedding,
    Fault::Draining,
    Fault::LostSnapshot,
    Fault::CrossedReplies,
    Fault::Repartition,
    Fault::PlatformDown,
    Fault::InstanceKilled,
    Fault::InstancePaused,
];

/// The faults of one case and the answers that callers got after them, printed as a table row.
#[derive(Debug)]
struct CaseResult {
    faults: Vec<Fault>,
    /// Time from the faults until the last query without a complete answer in time was sent.
    recovery_time: Duration,
    failed: usize,
    late: usize,
    queries: usize,
    /// Complete answers since the last query that failed.
    consecutive_complete: usize,
}

/// The outcome of one query.
#[derive(Clone, Copy, Debug)]
struct QueryResult {
    /// When the query was sent, counted from the faults.
    sent_at: Duration,
    complete: bool,
    took: Duration,
}

impl fmt::Display for CaseResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|fault| format!("{fault:?}"))
            .collect();
        let millis = self.recovery_time.as_millis();
        let faults = faults.join(" + ");
        write!(
            f,
            "| {faults} | {millis} | {} | {} | {} |",
            self.failed, self.late, self.queries
        )
    }
}

struct Deployment {
    platform: Platform,
    upstreams: Vec<Upstream>,
    instances: Vec<Instance>,
}

impl Deployment {
    async fn start() -> Self {
        let platform = Platform::start().await;
        let mut indexes = guild::start(&platform, &[SIZE]).await;
        let upstreams = indexes.remove(0).upstreams;
        let mut instances = Vec::new();
        for name in ["one", "two", "three"] {
            let instance = Instance::start(name, &platform).await;
            let addr = instance.addr;
            until("a first complete answer", || async {
                coverage(addr).await.as_deref() == Some("100%")
            })
            .await;
            instances.push(instance);
        }
        Self {
            platform,
            upstreams,
            instances,
        }
    }

    fn addresses(&self) -> Addresses {
        let addrs = self.instances.iter().map(|instance| instance.addr);
        Addresses(Arc::new(Mutex::new(addrs.collect())))
    }

    /// Injects `fault`. A fault of upstreams affects the first replica of the shard at index `shard`.
    fn inject(&mut self, fault: Fault, shard: usize) {
        let upstream = &self.upstreams[shard * SIZE.replicas as usize];
        let set_mode = |mode: Mode| upstream.update_behaviour(|behaviour| behaviour.mode = mode);
        match fault {
            Fault::Straggler => {
                upstream
                    .update_behaviour(|behaviour| behaviour.service = Duration::from_millis(300));
            }
            Fault::LostReplica => {
                upstream.update_behaviour(|behaviour| behaviour.closes_on_accept = true);
                upstream.cut();
            }
            Fault::SilentConnections => upstream.silence(),
            Fault::Shedding => set_mode(Mode::Shed),
            Fault::Draining => set_mode(Mode::Draining),
            Fault::LostSnapshot => set_mode(Mode::SnapshotGone),
            Fault::CrossedReplies => set_mode(Mode::PreviousIds),
            Fault::Repartition => self.repartition(),
            Fault::PlatformDown => self.platform.faults(|faults| faults.down = true),
            Fault::InstanceKilled => self.instances[0].kill(),
            Fault::InstancePaused => self.instances[1].pause(),
        }
    }

    /// Publishes a snapshot that divides the same upstreams into other shards.
    fn repartition(&self) {
        let size = Size {
            shards: 2,
            replicas: 4,
            ..SIZE
        };
        let index = guild::index(&size, &self.upstreams, 2);
        self.platform.set(&format!("indexes/{}", SIZE.name), index);
    }
}

/// The addresses that callers use in turn. An address that does not answer is dropped, as
/// callers do with a stale address.
#[derive(Clone, Debug)]
struct Addresses(Arc<Mutex<VecDeque<SocketAddr>>>);

impl Addresses {
    fn next(&self) -> Option<SocketAddr> {
        let mut addrs = self.0.lock();
        let addr = addrs.pop_front()?;
        addrs.push_back(addr);
        Some(addr)
    }

    fn drop_stale(&self, stale: SocketAddr) {
        self.0.lock().retain(|addr| *addr != stale);
    }

    /// Queries the instances in turn until one answers, and returns whether the answer is complete.
    async fn answers_completely(&self) -> bool {
        while let Some(addr) = self.next() {
            match coverage(addr).await {
                Some(ratio) => return ratio == "100%",
                None => self.drop_stale(addr),
            }
        }
        false
    }
}

/// Queries an instance and returns the coverage of its answer, or `None` if there is no answer in
/// time.
async fn coverage(addr: SocketAddr) -> Option<String> {
    let body = json!({ "cloth": "masi" }).to_string();
    let answered = timeout(ANSWER_TIMEOUT, query(addr, SIZE.name, &body)).await;
    let (_, answer) = answered.ok()?.ok()?;
    Some(
        answer["coverage"]["ratio"]
            .as_str()
            .unwrap_or("0%")
            .to_owned(),
    )
}

async fn send_query(addrs: Addresses, injected_at: Instant) -> QueryResult {
    let sent_at = injected_at.elapsed();
    let complete = addrs.answers_completely().await;
    let took = injected_at.elapsed().saturating_sub(sent_at);
    QueryResult {
        sent_at,
        complete,
        took,
    }
}

async fn run_case(faults: Vec<Fault>) -> CaseResult {
    let mut deployment = Deployment::start().await;
    let addrs = deployment.addresses();
    for _ in 0..REQUIRED_COMPLETE {
        addrs.answers_completely().await;
    }
    for (shard, fault) in faults.iter().enumerate() {
        deployment.inject(*fault, shard);
    }
    let injected_at = Instant::now();
    let mut result = CaseResult {
        faults,
        recovery_time: Duration::ZERO,
        failed: 0,
        late: 0,
        queries: 0,
        consecutive_complete: 0,
    };
    let mut in_flight = FuturesOrdered::new();
    while result.queries < MAX_QUERIES && result.consecutive_complete < REQUIRED_COMPLETE {
        let addrs = addrs.clone();
        in_flight.push_back(task::spawn(send_query(addrs, injected_at)));
        task::sleep(QUERY_INTERVAL).await;
        if in_flight.len() >= REQUIRED_COMPLETE {
            result.record(in_flight.next().await.expect("a query is in flight"));
        }
    }
    result
}

impl CaseResult {
    fn record(&mut self, query: QueryResult) {
        self.queries += 1;
        let late = query.took > LATENCY_TARGET;
        self.late += usize::from(query.complete && late);
        if late || !query.complete {
            self.recovery_time = query.sent_at;
        }
        if query.complete {
            self.consecutive_complete += 1;
        } else {
            self.failed += 1;
            self.consecutive_complete = 0;
        }
    }
}

async fn run_cases(cases: Vec<Vec<Fault>>) {
    let results: Vec<CaseResult> = futures::stream::iter(cases)
        .map(run_case)
        .buffered(CONCURRENT_CASES)
        .collect()
        .await;
    for result in &results {
        println!("{result}");
    }
    for result in results {
        assert!(
            result.consecutive_complete >= REQUIRED_COMPLETE,
            "answers did not become complete again: {result}"
        );
    }
}

#[async_std::test]
async fn answers_become_complete_after_each_fault() {
    run_cases(FAULTS.iter().map(|fault| vec![*fault]).collect()).await;
}

#[async_std::test]
async fn answers_become_complete_after_any_two_faults() {
    let mut cases = Vec::new();
    for (at, first) in FAULTS.iter().enumerate() {
        cases.extend(FAULTS[at + 1..].iter().map(|second| vec![*first, *second]));
    }
    run_cases(cases).await;
}

/// Shows that injected faults do affect the answers: this one cannot be recovered from.
#[async_std::test]
async fn a_shard_without_any_replica_is_missing_from_the_coverage() {
    let deployment = Deployment::start().await;
    for upstream in &deployment.upstreams[..SIZE.replicas as usize] {
        upstream.update_behaviour(|behaviour| behaviour.closes_on_accept = true);
        upstream.cut();
    }
    for instance in &deployment.instances {
        assert_eq!(coverage(instance.addr).await.as_deref(), Some("75%"));
    }
}
