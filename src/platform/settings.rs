//! The settings that the platform provides to each process, as JSON rendered from the template
//! `deploy/settings.json`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use serde::Deserialize;

use crate::process::{InstanceRecord, Member, MemberState, NodeSettings, RetryLimits, StopTimes};
use crate::types::{ByteCount, Incarnation, PeerKey, Ratio, Span};

/// Callers cache an address answer for this long, and some for three times as long.
const ADDRESS_TTL: Span = Span::from_secs(2);
/// The part of the grace period (from the stop signal to the forced kill) that is kept as a margin.
const KILL_MARGIN: Span = Span::from_millis(700);
const MIN_DRAIN: Span = Span::from_millis(200);
/// The part of the memory that callers' requests may hold, and as much each for replies and for
/// messages of other instances. A message is held in two forms for a moment, and most of the memory
/// is left for everything else.
const MESSAGE_MEMORY_DIVISOR: u64 = 8;

/// The platform's settings that are used; unknown fields are ignored.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(super) struct SettingsWire {
    node_name: String,
    /// The failure domain.
    zone: String,
    region: String,
    pub(super) listen: ListenWire,
    /// The first and last port of the range that the process may use itself.
    #[serde(default)]
    internal_ports: Vec<u16>,
    /// The addresses of at most three instances to contact first; they may be gone.
    #[serde(default)]
    seeds: Vec<String>,
    /// Whether the whole deployment is starting for the first time.
    #[serde(default)]
    bootstrap: bool,
    limits: LimitsWire,
    bounds: BoundsWire,
    pub(super) platform: StoreAddressWire,
    /// The key by which instances recognise each other; by default one derived from the address
    /// of the store.
    #[serde(default)]
    peer_key: Option<String>,
}

/// The addresses on which the process accepts connections.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub(super) struct ListenWire {
    /// Callers' requests.
    pub(super) front: SocketAddr,
    /// The platform's readiness checks.
    pub(super) ready: SocketAddr,
    /// Messages from other instances; the platform itself does not connect here.
    pub(super) control: SocketAddr,
    /// Callers' requests for instance addresses.
    pub(super) directory: SocketAddr,
}

/// The share of the machine that the process may use.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct LimitsWire {
    cpu_share: f64,
    cores: u32,
    #[serde(default = "default_memory_mb")]
    memory_mb: u64,
}

/// The platform's bounds on the process; unknown fields are ignored.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct BoundsWire {
    grace_s: f64,
    #[serde(default)]
    retry_budget_ratio: f64,
    #[serde(default)]
    budget_window_s: f64,
    /// Retries allowed in addition to the ratio, for all instances together.
    #[serde(default)]
    retry_slack: f64,
}

/// The address of the platform's store.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub(super) struct StoreAddressWire {
    pub(super) address: SocketAddr,
}

impl SettingsWire {
    /// Returns the address for the metrics, if the process has an internal port for them.
    pub(super) fn metrics_addr(&self) -> Option<SocketAddr> {
        let port = self.internal_ports.first()?;
        Some(SocketAddr::new(self.listen.front.ip(), *port))
    }
}

/// The least memory of a machine that the platform's pages name.
fn default_memory_mb() -> u64 {
    160
}

/// Reads the settings file.
///
/// # Errors
/// Returns an error if the file cannot be read.
pub(super) fn read(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path)
        .with_context(|| format!("could not read the settings file {}", path.display()))
}

/// Parses the text of the settings file.
///
/// # Errors
/// Returns an error if the text is not valid JSON or lacks a required field.
pub(super) fn parse(path: &Path, text: &[u8]) -> Result<SettingsWire> {
    serde_json::from_slice(text)
        .with_context(|| format!("could not parse the settings file {}", path.display()))
}

impl TryFrom<&SettingsWire> for NodeSettings {
    type Error = anyhow::Error;

    fn try_from(wire: &SettingsWire) -> Result<Self> {
        let seeds: Result<Vec<SocketAddr>, _> =
            wire.seeds.iter().map(|seed| seed.parse()).collect();
        let grace = span_from_secs(wire.bounds.grace_s);
        let leave = Span(grace.0 / 2).max(ADDRESS_TTL);
        let max_drain = grace.0.saturating_sub(leave.0 + KILL_MARGIN.0);
        Ok(Self {
            me: InstanceRecord {
                member: Member {
                    name: wire.node_name.parse()?,
                    incarnation: incarnation(),
                    addr: wire.listen.front,
                    peer_addr: wire.listen.control,
                    failure_domain: wire.zone.parse()?,
                    region: wire.region.parse()?,
                    state: MemberState::Joining,
                },
                seq: 1,
                capacity: capacity(wire.limits),
            },
            seeds: seeds.context("a seed is not a valid socket address")?,
            first_start: wire.bootstrap,
            peer_key: peer_key(wire)?,
            repeats: RetryLimits {
                ratio: ratio(wire.bounds.retry_budget_ratio),
                slack: round_to_u32(wire.bounds.retry_slack),
                window: span_from_secs(wire.bounds.budget_window_s.max(1.0)),
            },
            stop: StopTimes {
                leave,
                min_drain: MIN_DRAIN,
                max_drain: Span(max_drain),
            },
            message_memory: ByteCount((wire.limits.memory_mb << 20) / MESSAGE_MEMORY_DIVISOR),
        })
    }
}

/// Returns the peer key of the settings, or derives one from the store's address. The platform's
/// settings contain no secret, so a derived key keeps instances of different deployments apart but
/// does not keep out anyone else; see `docs/DESIGN.md`, "On the platform".
fn peer_key(wire: &SettingsWire) -> Result<PeerKey> {
    let derived = || format!("deployment-of-{}", wire.platform.address);
    let key = wire.peer_key.clone().unwrap_or_else(derived);
    Ok(key.parse()?)
}

/// Uses the start time in milliseconds as the incarnation.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(1, |since| since.as_millis());
    Incarnation(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Returns the CPU capacity in thousandths of a core.
fn capacity(limits: LimitsWire) -> u32 {
    round_to_u32(limits.cpu_share * f64::from(limits.cores.max(1)) * 1_000.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates at the range of the type"
)]
fn round_to_u32(number: f64) -> u32 {
    number.round() as u32
}

fn span_from_secs(number: f64) -> Span {
    Span::from_millis(u64::from(round_to_u32(number * 1_000.0)))
}

fn ratio(number: f64) -> Ratio {
    Ratio::from_ppm(round_to_u32(number * 1_000_000.0))
}
