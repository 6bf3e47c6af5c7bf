//! A configuration of the platform's maximum size reaches an instance over a slow link.
//!
//! Guards against updates that never arrive because their transfer takes longer than the
//! timeout of one request and starts again from nothing; see
//! `docs/incidents/config-not-in-force.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task::{block_on, sleep, spawn};
use futures::future::{BoxFuture, join};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde::Deserialize;
use serde_json::json;

use super::{DecodedObject, InstanceRecord, Node, NodeSettings, ObjectDecoder, WriterOrder};
use crate::connection::accept_peers;
use crate::connection::slow_link::slow_link;
use crate::process::cells::{Member, MemberState};
use crate::process::platform::fake::FakePlatform;
use crate::process::shutdown::StopTimes;
use crate::process::{
    Clock, Engine, LegResult, LegTransport, ObjectKey, PlatformError, RetryLimits, Workers,
};
use crate::request::{LegFailure, LegRequest};
use crate::types::{ByteCount, ConfigVersion, ConnectionCount, Incarnation, Ratio, Span};
use crate::version::{CallerLimits, RouteTable, UpstreamSpec};

/// The time within which a configuration has to be in force on the users' grown deployments.
pub(super) const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);
/// The platform's limit on a value, less the other fields of a configuration.
const LARGE: ByteCount = ByteCount((1 << 20) - 1_024);
pub(super) const SMALL: ByteCount = ByteCount(10);

/// A configuration that is written some time after the one before.
#[derive(Clone, Copy, Debug)]
pub(super) struct Write {
    after: Duration,
    version: u64,
    size: ByteCount,
}

#[derive(Clone, Debug)]
struct Case {
    bytes_per_sec: u32,
    writes: Vec<Write>,
}

pub(super) fn write(after_ms: u64, version: u64, size: ByteCount) -> Write {
    let after = Duration::from_millis(after_ms);
    Write {
        after,
        version,
        size,
    }
}

/// A configuration that the timeout of one request is too short for is in force in time, and
/// meanwhile the instance that receives it counts as present.
#[rstest]
#[case::a_large_one_between_regions(Case {
    bytes_per_sec: 800_000,
    writes: vec![write(0, 2, LARGE)],
})]
#[case::a_large_one_over_a_link_in_use(Case {
    bytes_per_sec: 300_000,
    writes: vec![write(0, 2, LARGE)],
})]
#[case::one_that_replaces_a_large_one_halfway(Case {
    bytes_per_sec: 800_000,
    writes: vec![write(0, 2, LARGE), write(600, 3, LARGE)],
})]
#[case::a_small_one_that_replaces_a_large_one_halfway(Case {
    bytes_per_sec: 300_000,
    writes: vec![write(0, 2, LARGE), write(600, 3, SMALL)],
})]
fn a_configuration_is_in_force_in_time_over_a_slow_link(#[case] case: Case) {
    block_on(async {
        let store = Arc::new(FakePlatform::default());
        set_config(&store, write(0, 1, SMALL));
        let reader_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = slow_link(reader_listener.local_addr().unwrap(), case.bytes_per_sec).await;
        let reader = start_node("reader", link, Vec::new(), Arc::clone(&store));
        spawn(accept_peers(Arc::clone(&reader), reader_listener));
        // The follower cannot reach the store, and comes after the reader in address order.
        let cut_off = Arc::new(FakePlatform::default());
        cut_off.faults(|faults| faults.down = true);
        let own_addr = SocketAddr::from(([127, 0, 0, 2], 1));
        let follower = start_node("follower", own_addr, vec![link], cut_off);
        wait_for_version(&follower, 1).await;
        for write in &case.writes {
            sleep(write.after).await;
            set_config(&store, *write);
        }
        let last = case.writes.last().unwrap().version;
        let watching = always_present(&reader, &follower, last);
        let ((), was_present) = join(wait_for_version(&follower, last), watching).await;
        assert!(was_present, "the follower counted as gone meanwhile");
    });
}

pub(super) async fn wait_for_version(node: &Node, version: u64) {
    let began = Instant::now();
    while node.catalog().table.version < ConfigVersion(version) {
        let in_force = node.catalog().table.version;
        assert!(
            began.elapsed() < IN_FORCE_WITHIN,
            "version {in_force} in force instead of {version}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// Whether the reader counts the follower as present until the version is in force there.
async fn always_present(reader: &Node, follower: &Node, version: u64) -> bool {
    let began = Instant::now();
    let name = &follower.settings.me.member.name;
    while began.elapsed() < IN_FORCE_WITHIN
        && follower.catalog().table.version < ConfigVersion(version)
    {
        let is_present = reader
            .fleet
            .lock()
            .present()
            .any(|record| record.member.name == *name);
        if !is_present {
            return false;
        }
        sleep(Duration::from_millis(10)).await;
    }
    true
}

pub(super) fn set_config(store: &FakePlatform, write: Write) {
    // Like real names and addresses, the filler does not compress to nothing.
    let mut rng = SmallRng::seed_from_u64(write.version);
    let filler: String = (0..write.size.0)
        .map(|_| rng.random_range('a'..='z'))
        .collect();
    let config = json!({"version": write.version, "filler": filler});
    store.set("config/main", &config);
}

pub(super) fn start_node(
    name: &str,
    peer_addr: SocketAddr,
    seeds: Vec<SocketAddr>,
    store: Arc<FakePlatform>,
) -> Arc<Node> {
    start_in_domain(name, "suva-a", peer_addr, seeds, store)
}

pub(super) fn start_in_domain(
    name: &str,
    domain: &str,
    peer_addr: SocketAddr,
    seeds: Vec<SocketAddr>,
    store: Arc<FakePlatform>,
) -> Arc<Node> {
    let me = record(name, domain, peer_addr);
    start(me, seeds, store, Box::new(VersionDecoder))
}

pub(super) fn start_node_with(
    name: &str,
    peer_addr: SocketAddr,
    seeds: Vec<SocketAddr>,
    store: Arc<FakePlatform>,
    decoder: Box<dyn ObjectDecoder>,
) -> Arc<Node> {
    start(record(name, "suva-a", peer_addr), seeds, store, decoder)
}

fn record(name: &str, domain: &str, peer_addr: SocketAddr) -> InstanceRecord {
    InstanceRecord {
        member: Member {
            name: name.parse().unwrap(),
            incarnation: Incarnation(1),
            addr: peer_addr,
            peer_addr,
            failure_domain: domain.parse().unwrap(),
            region: "central".parse().unwrap(),
            state: MemberState::Joining,
        },
        seq: 1,
        capacity: 250,
    }
}

fn start(
    me: InstanceRecord,
    seeds: Vec<SocketAddr>,
    store: Arc<FakePlatform>,
    decoder: Box<dyn ObjectDecoder>,
) -> Arc<Node> {
    let settings = NodeSettings {
        me,
        seeds,
        first_start: true,
        peer_key: "hyssopwalk-key:test:0123456789abcdef0123456789abcdef"
            .parse()
            .unwrap(),
        repeats: RetryLimits {
            ratio: Ratio::from_ppm(200_000),
            window: Span::from_secs(10),
            slack: 54,
        },
        stop: StopTimes {
            leave: Span::from_secs(1),
            min_drain: Span::from_secs(1),
            max_drain: Span::from_secs(1),
        },
        message_memory: ByteCount(20 << 20),
    };
    let clock = Clock::new();
    let engine = Engine::start(clock, Box::new(NoUpstreams), Workers::Connections).unwrap();
    Node::start(settings, clock, engine, store, decoder)
}

/// The part of a configuration that these tests look at.
#[derive(Debug)]
#[derive(Deserialize)]
struct ConfigWire {
    version: u64,
}

/// Decodes only the version of a configuration.
#[derive(Debug)]
struct VersionDecoder;

impl ObjectDecoder for VersionDecoder {
    fn prefixes(&self) -> &'static [&'static str] {
        &["config/"]
    }

    fn read(&self, _key: &ObjectKey, value: &[u8]) -> Result<DecodedObject, PlatformError> {
        let config: ConfigWire = serde_json::from_slice(value)
            .map_err(|error| PlatformError::Protocol(error.to_string()))?;
        let version = ConfigVersion(config.version);
        let limits = CallerLimits::default();
        let table = RouteTable::new(version, Vec::new(), IndexMap::new(), limits);
        Ok(DecodedObject::Routes(table))
    }

    fn writer_order(&self, _key: &ObjectKey, value: &[u8]) -> Option<WriterOrder> {
        let config: ConfigWire = serde_json::from_slice(value).ok()?;
        Some(WriterOrder {
            started: 0,
            number: config.version,
        })
    }

    fn outlives_copy(&self, _key: &ObjectKey) -> bool {
        true
    }
}

#[derive(Debug)]
struct NoUpstreams;

impl LegTransport for NoUpstreams {
    fn call(
        &self,
        _leg: LegRequest,
        _max_connections: ConnectionCount,
    ) -> BoxFuture<'_, LegResult> {
        Box::pin(async { Err(LegFailure::Unreachable).into() })
    }

    fn check_health<'a>(&'a self, _: &'a UpstreamSpec, _: &'a str) -> BoxFuture<'a, bool> {
        Box::pin(async { false })
    }

    fn cancel_costs_connection(&self) -> bool {
        false
    }
}
