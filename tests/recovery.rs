//! What fails, one thing and any two together, under a running load: answers become
//! complete again, and how long that took is printed (`--nocapture`).
//!
//! The verdict counts queries; times are only reported, in `docs/RECOVERY.md`.

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

/// Small, so that every pair of faults can be tried.
const SIZE: Size = Size {
    name: "pattern-finder",
    shards: 4,
    replicas: 2,
    slots: 2,
    connections: 25,
    connect_ms: 6,
    repeatable: true,
};
const TARGET: Duration = Duration::from_millis(170);
const QUERY_EVERY: Duration = Duration::from_millis(25);
const ANSWER_WITHIN: Duration = Duration::from_millis(400);
const MOST_QUERIES: usize = 400;
const GOOD_QUERIES: usize = 20;
const AT_ONCE: usize = 4;

/// What goes wrong, each on upstreams of its own.
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

/// One row: the faults and what callers saw after them.
#[derive(Debug)]
struct Row {
    faults: Vec<Fault>,
    /// From the faults until the last query that was not answered whole and in time.
    recovered: Duration,
    failed: usize,
    late: usize,
    asked: usize,
    good_at_the_end: usize,
}

/// How one query went.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Duration,
    whole: bool,
    took: Duration,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|fault| format!("{fault:?}"))
            .collect();
        let millis = self.recovered.as_millis();
        let faults = faults.join(" + ");
        write!(
            f,
            "| {faults} | {millis} | {} | {} | {} |",
            self.failed, self.late, self.asked
        )
    }
}

struct Fleet {
    platform: Platform,
    upstreams: Vec<Upstream>,
    instances: Vec<Instance>,
}

impl Fleet {
    async fn start() -> Self {
        let platform = Platform::start().await;
        let mut indexes = guild::start(&platform, &[SIZE]).await;
        let upstreams = indexes.remove(0).upstreams;
        let mut instances = Vec::new();
        for name in ["one", "two", "three"] {
            let instance = Instance::start(name, &platform).await;
            let addr = instance.addr;
            until("a first whole answer", || async {
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

    /// Makes `fault` happen to a replica of the shard at `shard`.
    fn inject(&mut self, fault: Fault, shard: usize) {
        let upstream = &self.upstreams[shard * SIZE.replicas as usize];
        let set = |mode: Mode| upstream.behave(|behaviour| behaviour.mode = mode);
        match fault {
            Fault::Straggler => {
                upstream.behave(|behaviour| behaviour.service = Duration::from_millis(300));
            }
            Fault::LostReplica => {
                upstream.behave(|behaviour| behaviour.lost = true);
                upstream.cut();
            }
            Fault::SilentConnections => upstream.silence(),
            Fault::Shedding => set(Mode::Shed),
            Fault::Draining => set(Mode::Draining),
            Fault::LostSnapshot => set(Mode::SnapshotGone),
            Fault::CrossedReplies => set(Mode::Crossed),
            Fault::Repartition => self.repartition(),
            Fault::PlatformDown => self.platform.faults(|faults| faults.down = true),
            Fault::InstanceKilled => self.instances[0].kill(),
            Fault::InstancePaused => self.instances[1].pause(),
        }
    }

    /// Publishes a snapshot with other shards over the same upstreams.
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

/// The addresses that callers use, beginning with another one each time; one that does
/// not answer is dropped, as callers do with a stale address.
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

    /// Whether an instance, asked in turn, gives a whole answer.
    async fn is_whole(&self) -> bool {
        while let Some(addr) = self.next() {
            match coverage(addr).await {
                Some(ratio) => return ratio == "100%",
                None => self.drop_stale(addr),
            }
        }
        false
    }
}

/// The coverage that an instance answers with, if it answers.
async fn coverage(addr: SocketAddr) -> Option<String> {
    let body = json!({ "cloth": "masi" }).to_string();
    let asked = timeout(ANSWER_WITHIN, query(addr, SIZE.name, &body)).await;
    let (_, answer) = asked.ok()?.ok()?;
    Some(
        answer["coverage"]["ratio"]
            .as_str()
            .unwrap_or("0%")
            .to_owned(),
    )
}

async fn ask(addrs: Addresses, begun: Instant) -> Asked {
    let at = begun.elapsed();
    let whole = addrs.is_whole().await;
    let took = begun.elapsed().saturating_sub(at);
    Asked { at, whole, took }
}

async fn run(faults: Vec<Fault>) -> Row {
    let mut fleet = Fleet::start().await;
    let addrs = fleet.addresses();
    for _ in 0..GOOD_QUERIES {
        addrs.is_whole().await;
    }
    for (shard, fault) in faults.iter().enumerate() {
        fleet.inject(*fault, shard);
    }
    let begun = Instant::now();
    let mut row = Row {
        faults,
        recovered: Duration::ZERO,
        failed: 0,
        late: 0,
        asked: 0,
        good_at_the_end: 0,
    };
    let mut under_way = FuturesOrdered::new();
    while row.asked < MOST_QUERIES && row.good_at_the_end < GOOD_QUERIES {
        let addrs = addrs.clone();
        under_way.push_back(task::spawn(ask(addrs, begun)));
        task::sleep(QUERY_EVERY).await;
        if under_way.len() >= GOOD_QUERIES {
            row.note(under_way.next().await.expect("a query is under way"));
        }
    }
    row
}

impl Row {
    fn note(&mut self, asked: Asked) {
        self.asked += 1;
        let late = asked.took > TARGET;
        self.late += usize::from(asked.whole && late);
        if late || !asked.whole {
            self.recovered = asked.at;
        }
        if asked.whole {
            self.good_at_the_end += 1;
        } else {
            self.failed += 1;
            self.good_at_the_end = 0;
        }
    }
}

async fn run_all(cases: Vec<Vec<Fault>>) {
    let rows: Vec<Row> = futures::stream::iter(cases)
        .map(run)
        .buffered(AT_ONCE)
        .collect()
        .await;
    for row in &rows {
        println!("{row}");
    }
    for row in rows {
        assert!(
            row.good_at_the_end >= GOOD_QUERIES,
            "{row} never became whole again"
        );
    }
}

#[async_std::test]
async fn answers_become_whole_after_each_fault() {
    run_all(FAULTS.iter().map(|fault| vec![*fault]).collect()).await;
}

#[async_std::test]
async fn answers_become_whole_after_any_two_faults() {
    let mut cases = Vec::new();
    for (at, first) in FAULTS.iter().enumerate() {
        cases.extend(FAULTS[at + 1..].iter().map(|second| vec![*first, *second]));
    }
    run_all(cases).await;
}

/// Shows that what is injected does reach the answers: nothing can mend this one.
#[async_std::test]
async fn a_shard_without_any_replica_is_missing_from_the_coverage() {
    let fleet = Fleet::start().await;
    for upstream in &fleet.upstreams[..SIZE.replicas as usize] {
        upstream.behave(|behaviour| behaviour.lost = true);
        upstream.cut();
    }
    for instance in &fleet.instances {
        assert_eq!(coverage(instance.addr).await.as_deref(), Some("75%"));
    }
}
