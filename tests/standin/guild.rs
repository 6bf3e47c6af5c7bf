//! Simulated deployment of the Guild, one of the users, at its current size.

use std::time::Duration;

use serde_json::{Value, json};

use super::platform::Platform;
use super::upstream::{Behaviour, Upstream};

/// An index and the upstreams that serve it.
#[derive(Debug)]
pub(crate) struct Index {
    pub(crate) name: &'static str,
    pub(crate) upstreams: Vec<Upstream>,
}

/// The Guild's failure domains.
pub(crate) const FAILURE_DOMAINS: [&str; 3] = ["suva-a", "lautoka-a", "labasa-a"];

const ONE_WAY_DELAY: Duration = Duration::from_millis(3);
const SERVICE_TIME: Duration = Duration::from_millis(4);

/// The number of shards and replicas of an index, and the capacity of each replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) name: &'static str,
    pub(crate) shards: u32,
    pub(crate) replicas: u32,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) connect_ms: u32,
    pub(crate) repeatable: bool,
    /// The latency target of the class.
    pub(crate) latency: &'static str,
}

/// The latency target of the Guild's classes.
const LATENCY: &str = "170ms";
/// A latency target that no run reaches, whatever the speed and load of the machine.
pub(crate) const UNBOUNDED_LATENCY: &str = "40s";

/// The Guild's indexes, one per class.
pub(crate) const SIZES: [Size; 4] = [
    Size {
        name: "pattern-finder",
        shards: 20,
        replicas: 2,
        slots: 2,
        connections: 25,
        connect_ms: 6,
        repeatable: true,
        latency: LATENCY,
    },
    Size {
        name: "member-roll",
        shards: 30,
        replicas: 2,
        slots: 2,
        connections: 25,
        connect_ms: 6,
        repeatable: true,
        latency: LATENCY,
    },
    Size {
        name: "order-desk",
        shards: 1,
        replicas: 3,
        slots: 4,
        connections: 100,
        connect_ms: 1,
        repeatable: false,
        latency: LATENCY,
    },
    Size {
        name: "courier-board",
        shards: 1,
        replicas: 3,
        slots: 4,
        connections: 100,
        connect_ms: 1,
        repeatable: true,
        latency: LATENCY,
    },
];

/// Starts the upstreams for `sizes` and registers their indexes and classes on the platform.
pub(crate) async fn start(platform: &Platform, sizes: &[Size]) -> Vec<Index> {
    let mut indexes = Vec::new();
    for size in sizes {
        indexes.push(start_index(platform, size).await);
    }
    let classes: Vec<Value> = sizes.iter().map(class).collect();
    platform.set("config/classes", json!({ "classes": classes }));
    indexes
}

fn class(size: &Size) -> Value {
    json!({
        "name": size.name, "index": size.name, "latency": size.latency, "coverage": "100%",
        "extra_load": "5%", "repeatable": size.repeatable,
    })
}

async fn start_index(platform: &Platform, size: &Size) -> Index {
    let mut upstreams = Vec::new();
    for _ in 0..size.shards * size.replicas {
        let behaviour = Behaviour {
            service: SERVICE_TIME,
            one_way: ONE_WAY_DELAY,
            ..Behaviour::default()
        };
        upstreams.push(Upstream::start(size.slots as usize, behaviour).await);
    }
    platform.set(
        &format!("indexes/{}", size.name),
        index(size, &upstreams, 1),
    );
    Index {
        name: size.name,
        upstreams,
    }
}

/// Returns the platform object of an index with one snapshot.
pub(crate) fn index(size: &Size, upstreams: &[Upstream], snapshot: u64) -> Value {
    let name = |at: usize| format!("{}-{at}", size.name);
    let entries: Vec<Value> = upstreams
        .iter()
        .enumerate()
        .map(|(at, upstream)| {
            json!({
                "name": name(at), "addr": upstream.addr.to_string(),
                "failure_domain": FAILURE_DOMAINS[at % FAILURE_DOMAINS.len()],
                "slots": size.slots, "connections": size.connections,
                "connect_cost": format!("{}ms", size.connect_ms),
            })
        })
        .collect();
    let shards: Vec<Value> = (0..size.shards)
        .map(|id| {
            let replicas: Vec<String> = (0..size.replicas)
                .map(|replica| name((id * size.replicas + replica) as usize))
                .collect();
            json!({ "id": id, "range": range(id, size.shards), "replicas": replicas })
        })
        .collect();
    json!({
        "name": size.name, "upstreams": entries,
        "snapshots": [{ "id": snapshot, "shards": shards }],
    })
}

fn range(id: u32, shards: u32) -> String {
    let lower_bound = |id: u32| (u64::from(id) << 32) / u64::from(shards);
    format!("{:08x}-{:08x}", lower_bound(id), lower_bound(id + 1) - 1)
}
