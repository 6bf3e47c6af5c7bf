//! The routes of one configuration: the services that handle requests for a host and path, and the
//! targets that apply.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::types::{
    ByteCount, ConfigVersion, ConnectionCount, Ratio, RouteName, ServiceName, Span,
};

/// One configuration, which is applied completely or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RouteTable {
    /// The version of the configuration.
    pub(crate) version: ConfigVersion,
    /// The routes of each host, longest prefix first.
    by_host: IndexMap<String, Vec<Arc<Route>>>,
    pub(crate) services: IndexMap<ServiceName, Service>,
    /// The limits on callers' requests and connections.
    pub(crate) limits: CallerLimits,
}

/// What the configuration says of the replicas of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Service {
    /// The connection limit of a replica, for all instances together.
    pub(crate) max_connections: ConnectionCount,
    /// The path of a replica's health check, if it has one.
    pub(crate) health_path: Option<String>,
}

/// Limits on the size of a caller's request, the time to send it, and the idle time of the
/// connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    pub(crate) max_head: ByteCount,
    pub(crate) max_body: ByteCount,
    pub(crate) head_timeout: Span,
    pub(crate) idle_timeout: Span,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Route {
    pub(crate) name: RouteName,
    pub(crate) host: String,
    /// Begins and ends with a slash.
    pub(crate) prefix: String,
    /// Whether a request may run more than once.
    pub(crate) repeatable: bool,
    /// The maximum time that a caller waits for the answer.
    pub(crate) timeout: Span,
    /// The target latency: within this time, an answer has its full value.
    pub(crate) target_latency: Span,
    /// The maximum number of replicas of a service that one request may run on.
    pub(crate) max_attempts: u32,
    pub(crate) to: RouteTo,
}

/// The destination of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RouteTo {
    /// One service.
    One(ServiceName),
    /// One of several services, chosen in proportion to their weights.
    Split(Vec<(ServiceName, f64)>),
    /// All services of a list, each of which holds one shard.
    Gather(Gather),
}

/// A query over several shards, whose records are merged.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Gather {
    pub(crate) shards: Vec<ServiceName>,
    /// The maximum number of records in the answer.
    pub(crate) max_records: usize,
    /// The minimum fraction of the shards that an answer must cover.
    pub(crate) min_coverage: Ratio,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head: ByteCount(16 << 10),
            max_body: ByteCount(256 << 10),
            head_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

impl RouteTable {
    pub(crate) fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: IndexMap<ServiceName, Service>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: IndexMap<String, Vec<Arc<Route>>> = IndexMap::new();
        for route in routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            by_host,
            services,
            limits,
        }
    }

    /// Returns the host's route with the longest prefix of the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns all routes, grouped by host.
    pub(crate) fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}
