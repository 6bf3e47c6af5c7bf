//! What the platform's objects state: the operators' configuration, and what replicas say
//! of themselves.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;

use super::store_wire::protocol;
use crate::process::{Meaning, ObjectKey, PlatformError, ReplicaEntry, Stated};
use crate::types::{
    ByteCount, ConfigVersion, ConnectionCount, ParseError, Ratio, ServiceName, SlotCount, Span,
};
use crate::version::{CallerLimits, Gather, Route, RouteTable, RouteTo, UpstreamSpec};

const CONFIG_KEY: &str = "config/main";
const CONFIG: &str = "config/";
const SERVERS: &str = "servers/";
/// What is allowed when a route states nothing.
const USUAL_ATTEMPTS: u32 = 2;

/// Reads the platform's objects.
#[derive(Clone, Copy, Debug)]
pub(super) struct Objects;

impl Meaning for Objects {
    fn prefixes(&self) -> &'static [&'static str] {
        &[CONFIG, SERVERS]
    }

    fn read(&self, key: &ObjectKey, value: &[u8]) -> Result<Stated, PlatformError> {
        if key.as_str() == CONFIG_KEY {
            let wire: ConfigWire = serde_json::from_slice(value).map_err(protocol)?;
            return RouteTable::try_from(wire)
                .map(Stated::Routes)
                .map_err(protocol);
        }
        let id = key
            .as_str()
            .strip_prefix(SERVERS)
            .ok_or_else(|| protocol("the object is of no known kind"))?;
        let wire: ServerWire = serde_json::from_slice(value).map_err(protocol)?;
        replica(id, &wire).map(Stated::Replica).map_err(protocol)
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

#[derive(Debug)]
#[derive(Deserialize)]
struct RouteWire {
    name: String,
    host: String,
    path_prefix: String,
    route_type: KindWire,
    timeout_ms: u64,
    target_latency_ms: u64,
    #[serde(default)]
    max_attempts: Option<u32>,
    // One of these three.
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    split: Option<Vec<SplitWire>>,
    #[serde(default)]
    gather: Option<Vec<String>>,
    /// How many records a gathered answer has.
    #[serde(default)]
    top_k: usize,
    /// The least part of the shards, whatever its name says.
    #[serde(default)]
    min_version: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum KindWire {
    /// May run more than once.
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
    /// Of one replica, from all callers together.
    max_connections: u32,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct LimitsWire {
    max_header_bytes: u64,
    max_body_bytes: u64,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

/// What a replica says of itself. An entry of another shape names no replica, so every
/// field that replicas write has to be there.
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
    #[serde(rename = "sequence")]
    _sequence: u64,
    /// When the process started; another one may come under the same id.
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

fn replica(id: &str, wire: &ServerWire) -> Result<ReplicaEntry, ParseError> {
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
            let connections = ConnectionCount(service.max_connections);
            services.insert(service.name.parse()?, connections);
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
            (None, Some(parts), None) => RouteTo::Split(split(parts)?),
            (None, None, Some(shards)) => RouteTo::Gather(Gather {
                shards: services(shards)?,
                records: wire.top_k,
                least: at_least(wire.min_version),
            }),
            _ => {
                let reason = "it names not one of service, split and gather";
                return Err(ParseError::new("a route", &wire.name, reason));
            }
        };
        Ok(Self {
            name: wire.name.parse()?,
            host: wire.host.to_ascii_lowercase(),
            prefix: wire.path_prefix,
            repeatable: wire.route_type == KindWire::Safe,
            timeout: Span::from_millis(wire.timeout_ms),
            latency: Span::from_millis(wire.target_latency_ms),
            attempts: wire.max_attempts.unwrap_or(USUAL_ATTEMPTS).max(1),
            to,
        })
    }
}

impl From<LimitsWire> for CallerLimits {
    fn from(wire: LimitsWire) -> Self {
        Self {
            head: ByteCount(wire.max_header_bytes),
            body: ByteCount(wire.max_body_bytes),
            head_timeout: Span::from_millis(wire.header_timeout_ms),
            idle_timeout: Span::from_millis(wire.idle_timeout_ms),
        }
    }
}

fn services(names: &[String]) -> Result<Vec<ServiceName>, ParseError> {
    names.iter().map(|name| name.parse()).collect()
}

fn split(parts: &[SplitWire]) -> Result<Vec<(ServiceName, f64)>, ParseError> {
    let part = |part: &SplitWire| Ok((part.service.parse()?, part.weight.max(0.0)));
    parts.iter().map(part).collect()
}

/// Rounded up, since less than that is no answer.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast cuts to the range of the type"
)]
fn at_least(part: f64) -> Ratio {
    Ratio::from_ppm((part * 1_000_000.0).ceil() as u32)
}

#[cfg(test)]
#[path = "objects_tests.rs"]
mod objects_tests;
