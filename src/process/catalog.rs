//! What requests are answered from: one configuration joined with the replicas of its
//! services. A catalog is immutable and replaced whole, so a request keeps the version it
//! began with.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::types::{
    ClassName, ConfigVersion, IndexName, KeyRange, Ratio, ServiceName, ShardId, SnapshotId,
};
use crate::version::{
    Class, Gather, Route, RouteTable, RouteTo, Shard, Snapshot, Targets, UpstreamSpec,
};

/// The part of the legs that hedges may add; the budget of each service bounds them for
/// all instances, so this only sets how slow a leg has to be.
const EXTRA_LOAD_PPM: u32 = 60_000;
const ALL_KEYS: u64 = 1 << 32;

/// The replicas of each service.
pub(crate) type Replicas = IndexMap<ServiceName, Vec<Arc<UpstreamSpec>>>;

/// One configuration with the replicas that serve it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Catalog {
    pub(crate) table: Arc<RouteTable>,
    plans: IndexMap<String, Arc<Plan>>,
}

/// How the requests of one route are answered.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) route: Arc<Route>,
    pub(crate) class: Arc<Class>,
    /// Where a request goes, each with its weight; one alone unless the route is split.
    pub(crate) ways: Vec<(f64, Arc<Snapshot>)>,
}

impl Catalog {
    pub(crate) fn new(table: Arc<RouteTable>, replicas: &Replicas) -> Self {
        let mut snapshots = Snapshots {
            version: table.version,
            replicas,
            known: IndexMap::new(),
        };
        let mut plans = IndexMap::new();
        for route in table.routes() {
            let plan = Plan {
                route: Arc::clone(route),
                class: Arc::new(class(route)),
                ways: snapshots.ways(&route.to),
            };
            plans.insert(key(route), Arc::new(plan));
        }
        Self { table, plans }
    }

    /// How a request of this host and path is answered.
    pub(crate) fn plan(&self, host: &str, path: &str) -> Option<Arc<Plan>> {
        let route = self.table.find(host, path)?;
        self.plans.get(&key(route)).cloned()
    }

    /// Whether any configuration is known.
    pub(crate) fn is_known(&self) -> bool {
        self.table.version > ConfigVersion::default()
    }
}

impl Plan {
    /// The way that a request takes; `draw` is uniform between 0 and 1.
    pub(crate) fn way(&self, draw: f64) -> Option<&Arc<Snapshot>> {
        let total: f64 = self.ways.iter().map(|(weight, _)| weight).sum();
        let mut left = draw * total;
        for (weight, snapshot) in &self.ways {
            left -= weight;
            if left < 0.0 {
                return Some(snapshot);
            }
        }
        self.ways.last().map(|(_, snapshot)| snapshot)
    }

    /// The records of an answer, when the route gathers.
    pub(crate) fn gather(&self) -> Option<&Gather> {
        match &self.route.to {
            RouteTo::Gather(gather) => Some(gather),
            RouteTo::One(_) | RouteTo::Split(_) => None,
        }
    }
}

fn key(route: &Route) -> String {
    format!("{}{}", route.host, route.prefix)
}

fn class(route: &Route) -> Class {
    let least = match &route.to {
        RouteTo::Gather(gather) => gather.least,
        RouteTo::One(_) | RouteTo::Split(_) => Ratio::ONE,
    };
    Class {
        name: named(route.name.as_str()),
        index: index_of(route.name.as_str()),
        targets: Targets {
            latency: route.latency,
            coverage: least,
            extra_load: Ratio::from_ppm(EXTRA_LOAD_PPM),
            repeatable: route.repeatable,
        },
    }
}

/// Both names allow the same characters.
fn named(text: &str) -> ClassName {
    text.parse().expect("a route's name is a class's name")
}

fn index_of(text: &str) -> IndexName {
    text.parse().expect("a name is an index's name")
}

/// The snapshots of one catalog; routes over the same services share theirs.
struct Snapshots<'a> {
    version: ConfigVersion,
    replicas: &'a Replicas,
    known: IndexMap<Vec<ServiceName>, Arc<Snapshot>>,
}

impl Snapshots<'_> {
    fn ways(&mut self, to: &RouteTo) -> Vec<(f64, Arc<Snapshot>)> {
        match to {
            RouteTo::One(service) => vec![(1.0, self.of(std::slice::from_ref(service)))],
            RouteTo::Split(parts) => parts
                .iter()
                .map(|(service, weight)| (*weight, self.of(std::slice::from_ref(service))))
                .collect(),
            RouteTo::Gather(gather) => vec![(1.0, self.of(&gather.shards))],
        }
    }

    fn of(&mut self, services: &[ServiceName]) -> Arc<Snapshot> {
        if let Some(known) = self.known.get(services) {
            return Arc::clone(known);
        }
        let snapshot = Arc::new(Snapshot {
            index: index_of(services.first().map_or("none", ServiceName::as_str)),
            id: SnapshotId(self.version.0),
            shards: self.shards(services),
        });
        self.known.insert(services.to_vec(), Arc::clone(&snapshot));
        snapshot
    }

    /// Shards of equal width, since nothing says how the services part their keys.
    fn shards(&self, services: &[ServiceName]) -> Vec<Shard> {
        let count = services.len().max(1) as u64;
        let edge = |at: u64| ALL_KEYS * at / count;
        let shards = (0..).zip(services).map(|(at, service)| Shard {
            id: ShardId(at),
            range: KeyRange {
                first: low_bits(edge(u64::from(at))),
                last: low_bits(edge(u64::from(at) + 1) - 1),
            },
            service: Some(service.clone()),
            replicas: self.replicas.get(service).cloned().unwrap_or_default(),
        });
        shards.collect()
    }
}

fn low_bits(key: u64) -> u32 {
    u32::try_from(key).unwrap_or(u32::MAX)
}

#[cfg(test)]
#[path = "catalog_tests.rs"]
mod catalog_tests;
