//! What requests are answered from: one configuration joined with the replicas of its
//! services. A catalog is immutable and replaced as a whole, so a request keeps the version
//! it began with.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::types::{
    ClassName, ConfigVersion, IndexName, KeyRange, Ratio, ServiceName, ShardId, SnapshotId,
    UpstreamName,
};
use crate::version::{
    Class, Gather, Route, RouteTable, RouteTo, Shard, Snapshot, Targets, UpstreamSpec,
};

/// The share of legs that may be hedged. The budget of each service bounds hedges for all
/// instances together, so this only sets how slow a leg has to be before it is hedged.
const EXTRA_LOAD_PPM: u32 = 60_000;
const ALL_KEYS: u64 = 1 << 32;

/// The replicas of each service.
pub(crate) type Replicas = IndexMap<ServiceName, Vec<Arc<UpstreamSpec>>>;

/// One configuration with the replicas that serve it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Catalog {
    pub(crate) table: Arc<RouteTable>,
    plans: IndexMap<String, Arc<RoutePlan>>,
}

/// How the requests of one route are answered.
#[derive(Clone, Debug)]
pub(crate) struct RoutePlan {
    pub(crate) route: Arc<Route>,
    pub(crate) class: Arc<Class>,
    /// The destinations of requests with their weights; more than one only for a split
    /// route.
    pub(crate) destinations: Vec<(f64, Arc<Snapshot>)>,
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
            let plan = RoutePlan {
                route: Arc::clone(route),
                class: Arc::new(class(route)),
                destinations: snapshots.destinations(&route.to),
            };
            plans.insert(key(route), Arc::new(plan));
        }
        Self { table, plans }
    }

    /// Returns how a request of this host and path is answered.
    pub(crate) fn plan(&self, host: &str, path: &str) -> Option<Arc<RoutePlan>> {
        let route = self.table.find(host, path)?;
        self.plans.get(&key(route)).cloned()
    }

    /// Returns an upstream that is in use, and its service.
    pub(crate) fn upstream(
        &self,
        name: &UpstreamName,
    ) -> Option<(&ServiceName, &Arc<UpstreamSpec>)> {
        let destinations = self.plans.values().flat_map(|plan| &plan.destinations);
        let mut shards = destinations.flat_map(|(_, snapshot)| &snapshot.shards);
        shards.find_map(|shard| {
            let replica = shard
                .replicas
                .iter()
                .find(|replica| replica.name == *name)?;
            Some((shard.service.as_ref()?, replica))
        })
    }

    /// Whether any configuration is known.
    pub(crate) fn is_known(&self) -> bool {
        self.table.version > ConfigVersion::default()
    }
}

impl RoutePlan {
    /// Returns the destination of a request; `draw` is uniform between 0 and 1.
    pub(crate) fn destination(&self, draw: f64) -> Option<&Arc<Snapshot>> {
        let total: f64 = self.destinations.iter().map(|(weight, _)| weight).sum();
        let mut remaining = draw * total;
        for (weight, snapshot) in &self.destinations {
            remaining -= weight;
            if remaining < 0.0 {
                return Some(snapshot);
            }
        }
        self.destinations.last().map(|(_, snapshot)| snapshot)
    }

    /// Returns how to gather the answer's records, when the route is over many shards.
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
    let min_coverage = match &route.to {
        RouteTo::Gather(gather) => gather.min_coverage,
        RouteTo::One(_) | RouteTo::Split(_) => Ratio::ONE,
    };
    Class {
        name: class_name(route.name.as_str()),
        index: index_name(route.name.as_str()),
        targets: Targets {
            latency: route.target_latency,
            coverage: min_coverage,
            extra_load: Ratio::from_ppm(EXTRA_LOAD_PPM),
            repeatable: route.repeatable,
        },
    }
}

/// Parses a class name, which allows the same characters as a route name.
fn class_name(text: &str) -> ClassName {
    text.parse()
        .expect("every route name is a valid class name")
}

fn index_name(text: &str) -> IndexName {
    text.parse()
        .expect("every route or service name is a valid index name")
}

/// The snapshots of one catalog; routes over the same services share one.
struct Snapshots<'a> {
    version: ConfigVersion,
    replicas: &'a Replicas,
    known: IndexMap<Vec<ServiceName>, Arc<Snapshot>>,
}

impl Snapshots<'_> {
    fn destinations(&mut self, to: &RouteTo) -> Vec<(f64, Arc<Snapshot>)> {
        match to {
            RouteTo::One(service) => vec![(1.0, self.snapshot_of(std::slice::from_ref(service)))],
            RouteTo::Split(parts) => parts
                .iter()
                .map(|(service, weight)| (*weight, self.snapshot_of(std::slice::from_ref(service))))
                .collect(),
            RouteTo::Gather(gather) => vec![(1.0, self.snapshot_of(&gather.shards))],
        }
    }

    fn snapshot_of(&mut self, services: &[ServiceName]) -> Arc<Snapshot> {
        if let Some(known) = self.known.get(services) {
            return Arc::clone(known);
        }
        let snapshot = Arc::new(Snapshot {
            index: index_name(services.first().map_or("none", ServiceName::as_str)),
            id: SnapshotId(self.version.0),
            shards: self.shards(services),
        });
        self.known.insert(services.to_vec(), Arc::clone(&snapshot));
        snapshot
    }

    /// Returns shards of equal width, since nothing states how the services divide their
    /// keys.
    fn shards(&self, services: &[ServiceName]) -> Vec<Shard> {
        let count = services.len().max(1) as u64;
        let edge = |at: u64| ALL_KEYS * at / count;
        let shards = (0..).zip(services).map(|(at, service)| Shard {
            id: ShardId(at),
            range: KeyRange {
                first: saturate_to_u32(edge(u64::from(at))),
                last: saturate_to_u32(edge(u64::from(at) + 1) - 1),
            },
            service: Some(service.clone()),
            replicas: self.replicas.get(service).cloned().unwrap_or_default(),
        });
        shards.collect()
    }
}

fn saturate_to_u32(key: u64) -> u32 {
    u32::try_from(key).unwrap_or(u32::MAX)
}

#[cfg(test)]
#[path = "catalog_tests.rs"]
mod catalog_tests;
