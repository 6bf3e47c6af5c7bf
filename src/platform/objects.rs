//! Decodes the platform's objects: the operators' configuration and the entries that replicas
//! write about themselves.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;

use super::store_wire::protocol_error;
use crate::process::{
    DecodedObject, ObjectDecoder, ObjectKey, PlatformError, ReplicaEntry, WriterOrder,
};
use crate::types::{
    ByteCount, ConfigVersion, ConnectionCount, ParseError, Ratio, ServiceName, SlotCount, Span,
};
use crate::version::{CallerLimits, Gather, Route, RouteTable, RouteTo, Service, UpstreamSpec};

const CONFIG_KEY: &str = "config/main";
const CONFIG_PREFIX: &str = "config/";
const SERVERS_PREFIX: &str = "servers/";
/// The number of attempts for a route that does not set `max_attempts`.
const DEFAULT_MAX_ATTEMPTS: u32 = 2;

/// Decodes the platform's objects.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlatformObjectDecoder;

impl ObjectDecoder for PlatformObjectDecoder {
    fn prefixes(&self) -> &'static [&'static str] {
        &[CONFIG_PREFIX, SERVERS_PREFIX]
    }

    fn read(&self, key: &ObjectKey, value: &[u8]) -> Result<DecodedObject, PlatformError> {
        if key.as_str() == CONFIG_KEY {
            let wire: ConfigWire = serde_json::from_slice(value).map_err(protocol_error)?;
            return RouteTable::try_from(wire)
                .map(DecodedObject::Routes)
                .map_err(protocol_error);
        }
        let id = key
            .as_str()
            .strip_prefix(SERVERS_PREFIX)
            .ok_or_else(|| protocol_error("unknown kind of object"))?;
        let wire: ServerWire = serde_json::from_slice(value).map_err(protocol_error)?;
        replica_entry(id, &wire)
            .map(DecodedObject::Replica)
            .map_err(protocol_error)
    }

    fn writer_order(&self, key: &ObjectKey, value: &[u8]) -> Option<WriterOrder> {
        if self.outlives_copy(key) {
            let wire: ConfigVersionWire = serde_json::from_slice(value).ok()?;
            return Some(WriterOrder {
                started: 0,
                number: wire.version,
            });
        }
        let wire: ServerWire = serde_json::from_slice(value).ok()?;
        Some(WriterOrder {
            started: wire.born.unwrap_or_default(),
            number: wire.sequence,
        })
    }

    fn outlives_copy(&self, key: &ObjectKey) -> bool {
        key.as_str() == CONFIG_KEY
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ConfigWire {
    version: u64,
    routes: Vec<RouteWire>,
    services: Vec<ServiceWire>,
    #[serde(default)]
    limits: Option<LimitsWire>,
}

/// The part of a configuration that orders it among others.
#[derive(Debug)]
#[derive(Deserialize)]
struct ConfigVersionWire {
    version: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RouteWire {
    name: String,
    host: String,
    path_prefix: String,
    route_type: RouteTypeWire,
    timeout_ms: u64,
    target_latency_ms: u64,
    #[serde(default)]
    max_attempts: Option<u32>,
    // Exactly one of the next three fields is set.
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    split: Option<Vec<SplitWire>>,
    #[serde(default)]
    gather: Option<Vec<String>>,
    /// The maximum number of records in a gathered answer.
    #[serde(default)]
    top_k: usize,
    /// Despite its name, the minimum fraction of the shards that an answer must cover.
    #[serde(default)]
    min_version: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RouteTypeWire {
    /// The request may run more than once.
    Safe,
    Unsafe,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct SplitWire {
    service: String,
    weight: f64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ServiceWire {
    name: String,
    /// The connection limit of one replica, for all instances together.
    max_connections: u32,
    health_path: Option<String>,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct LimitsWire {
    max_header_bytes: u64,
    max_body_bytes: u64,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

/// The entry that a replica writes about itself. An object of another shape is not a replica's
/// entry, so every field that replicas write is required.
#[derive(Debug)]
#[derive(Deserialize)]
struct ServerWire {
    service: String,
    address: SocketAddr,
    /// The failure domain.
    zone: String,
    #[serde(rename = "version")]
    _software: String,
    slots: u32,
    state: ServerStateWire,
    #[serde(rename = "cold_remaining_ms")]
    _cold_remaining_ms: f64,
    /// Increases with each heartbeat of the process.
    sequence: u64,
    /// The start time of the process; a later process may use the same id.
    #[serde(default)]
    born: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerStateWire {
    Ready,
    Draining,
}

fn replica_entry(id: &str, wire: &ServerWire) -> Result<ReplicaEntry, ParseError> {
    if wire.address.port() == 0 {
        let address = wire.address.to_string();
        return Err(ParseError::new("an address", &address, "it has no port"));
    }
    let born = wire.born.unwrap_or_default();
    Ok(ReplicaEntry {
        service: wire.service.parse()?,
        spec: UpstreamSpec {
            name: format!("{id}:{born}").parse()?,
            addr: wire.address,
            failure_domain: wire.zone.parse()?,
            slots: SlotCount(wire.slots),
            connections: ConnectionCount(0),
            connect_cost: Span::ZERO,
            leaving: wire.state == ServerStateWire::Draining,
        },
    })
}

impl TryFrom<ConfigWire> for RouteTable {
    type Error = ParseError;

    fn try_from(wire: ConfigWire) -> Result<Self, ParseError> {
        let routes: Result<Vec<Route>, _> = wire.routes.into_iter().map(Route::try_from).collect();
        let mut services = IndexMap::with_capacity(wire.services.len());
        for service in wire.services {
            let name = service.name.parse()?;
            let service = Service {
                max_connections: ConnectionCount(service.max_connections),
                health_path: service.health_path,
            };
            services.insert(name, service);
        }
        let limits = wire.limits.map(CallerLimits::from).unwrap_or_default();
        Ok(Self::new(
            ConfigVersion(wire.version),
            routes?,
            services,
            limits,
        ))
    }
}

impl TryFrom<RouteWire> for Route {
    type Error = ParseError;

    fn try_from(wire: RouteWire) -> Result<Self, ParseError> {
        let to = match (&wire.service, &wire.split, &wire.gather) {
            (Some(service), None, None) => RouteTo::One(service.parse()?),
            (None, Some(wires), None) => RouteTo::Split(parse_split(wires)?),
            (None, None, Some(shards)) => RouteTo::Gather(Gather {
                shards: parse_services(shards)?,
                max_records: wire.top_k,
                min_coverage: min_coverage(wire.min_version),
            }),
            _ => {
                let reason = "it must name exactly one of service, split and gather";
                return Err(ParseError::new("a route", &wire.name, reason));
            }
        };
        Ok(Self {
            name: wire.name.parse()?,
            host: wire.host.to_ascii_lowercase(),
            prefix: wire.path_prefix,
            repeatable: wire.route_type == RouteTypeWire::Safe,
            timeout: Span::from_millis(wire.timeout_ms),
            target_latency: Span::from_millis(wire.target_latency_ms),
            max_attempts: wire.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
            to,
        })
    }
}

impl From<LimitsWire> for CallerLimits {
    fn from(wire: LimitsWire) -> Self {
        Self {
            max_head: ByteCount(wire.max_header_bytes),
            max_body: ByteCount(wire.max_body_bytes),
            head_timeout: Span::from_millis(wire.header_timeout_ms),
            idle_timeout: Span::from_millis(wire.idle_timeout_ms),
        }
    }
}

fn parse_services(names: &[String]) -> Result<Vec<ServiceName>, ParseError> {
    names.iter().map(|name| name.parse()).collect()
}

fn parse_split(wires: &[SplitWire]) -> Result<Vec<(ServiceName, f64)>, ParseError> {
    let entry = |wire: &SplitWire| Ok((wire.service.parse()?, wire.weight.max(0.0)));
    wires.iter().map(entry).collect()
}

/// Rounds up, so that no answer below the stated minimum is accepted.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates at the range of the type"
)]
fn min_coverage(fraction: f64) -> Ratio {
    Ratio::from_ppm((fraction * 1_000_000.0).ceil() as u32)
}

#[cfg(test)]
#[path = "objects_tests.rs"]
mod objects_tests;
