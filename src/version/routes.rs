//! The routes of one configuration: which services a request of a host and path goes to,
//! and by which targets.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::types::{
    ByteCount, ConfigVersion, ConnectionCount, Ratio, RouteName, ServiceName, Span,
};

/// One configuration, taken whole or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RouteTable {
    /// Its place in the order of configurations.
    pub(crate) version: ConfigVersion,
    /// The routes of each host, the longest prefix first.
    by_host: IndexMap<String, Vec<Arc<Route>>>,
    /// How many connections a replica of each service accepts from all instances together.
    pub(crate) services: IndexMap<ServiceName, ConnectionCount>,
    /// What callers may send.
    pub(crate) limits: CallerLimits,
}

/// What a caller may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    pub(crate) head: ByteCount,
    pub(crate) body: ByteCount,
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
    /// The longest that a caller is kept waiting.
    pub(crate) timeout: Span,
    /// The time within which an answer is worth its whole.
    pub(crate) latency: Span,
    /// To how many replicas of a service one request may be sent.
    pub(crate) attempts: u32,
    pub(crate) to: RouteTo,
}

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RouteTo {
    /// To one service.
    One(ServiceName),
    /// To one of several services, in proportion to their weights.
    Split(Vec<(ServiceName, f64)>),
    /// To every service of a list, each of which holds one shard.
    Gather(Gather),
}

/// A query over many shards.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Gather {
    pub(crate) shards: Vec<ServiceName>,
    /// How many records the answer has at most.
    pub(crate) records: usize,
    /// The least part of the shards that an answer covers.
    pub(crate) least: Ratio,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head: ByteCount(16 << 10),
            body: ByteCount(256 << 10),
            head_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

impl RouteTable {
    pub(crate) fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: IndexMap<ServiceName, ConnectionCount>,
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

    /// The route of the host with the longest prefix of the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Every route, in the order of hosts.
    pub(crate) fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}
