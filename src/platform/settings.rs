//! The settings that the platform states for each process, as JSON after
//! `deploy/settings.json`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use serde::Deserialize;

use crate::process::{Member, MemberState, NodeSettings, Presence, RepeatTerms, StopTimes};
use crate::types::{Incarnation, PeerKey, Ratio, Span};

/// Callers keep an answer of the directory for this long, and some three times as long.
const ADDRESS_KEEP: Span = Span::from_secs(2);
/// What is left of the time between the signal to stop and the end by force.
const BEFORE_FORCE: Span = Span::from_millis(700);
const LEAST_DRAIN: Span = Span::from_millis(200);

/// The platform's fields that are used; others may come and are passed over.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(super) struct SettingsWire {
    node_name: String,
    /// The failure domain.
    zone: String,
    region: String,
    pub(super) listen: ListenWire,
    /// The first and last port that are free for the process's own use.
    #[serde(default)]
    internal_ports: Vec<u16>,
    /// Where at most three instances may be asked first; they may be gone.
    #[serde(default)]
    seeds: Vec<String>,
    /// Whether the whole deployment starts for the first time.
    #[serde(default)]
    bootstrap: bool,
    limits: LimitsWire,
    bounds: BoundsWire,
    pub(super) platform: StoreAddressWire,
}

/// Where the process accepts connections.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub(super) struct ListenWire {
    /// Callers' requests.
    pub(super) front: SocketAddr,
    /// The platform's own checks of whether callers may be sent here.
    pub(super) ready: SocketAddr,
    /// Other instances: the platform sends nothing there itself.
    pub(super) control: SocketAddr,
    /// Callers' questions for addresses.
    pub(super) directory: SocketAddr,
}

/// What the machine gives the process.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct LimitsWire {
    cpu_share: f64,
    cores: u32,
}

/// The figures of the platform's rules that are used.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct BoundsWire {
    grace_s: f64,
    #[serde(default)]
    retry_budget_ratio: f64,
    #[serde(default)]
    budget_window_s: f64,
    /// Repeats for all instances together, beside the ratio.
    #[serde(default)]
    retry_slack: f64,
}

/// Where the platform's store answers.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub(super) struct StoreAddressWire {
    pub(super) address: SocketAddr,
}

impl SettingsWire {
    /// Where the process serves its metrics, if a port is free for that.
    pub(super) fn metrics(&self) -> Option<SocketAddr> {
        let port = self.internal_ports.first()?;
        Some(SocketAddr::new(self.listen.front.ip(), *port))
    }
}

/// Reads the settings file.
///
/// # Errors
/// When it cannot be read.
pub(super) fn read(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path).with_context(|| format!("could not read the settings {}", path.display()))
}

/// What the text of the settings file states.
///
/// # Errors
/// When it lacks a field that is needed.
pub(super) fn parse(path: &Path, text: &[u8]) -> Result<SettingsWire> {
    serde_json::from_slice(text)
        .with_context(|| format!("could not use the settings {}", path.display()))
}

impl TryFrom<&SettingsWire> for NodeSettings {
    type Error = anyhow::Error;

    fn try_from(wire: &SettingsWire) -> Result<Self> {
        let seeds: Result<Vec<SocketAddr>, _> =
            wire.seeds.iter().map(|seed| seed.parse()).collect();
        let grace = seconds(wire.bounds.grace_s);
        let leave = Span(grace.0 / 2).max(ADDRESS_KEEP);
        let most_drain = grace.0.saturating_sub(leave.0 + BEFORE_FORCE.0);
        Ok(Self {
            me: Presence {
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
            seeds: seeds.context("a seed is no address")?,
            first_start: wire.bootstrap,
            peer_key: peer_key(wire)?,
            repeats: RepeatTerms {
                ratio: ratio(wire.bounds.retry_budget_ratio),
                beside: whole(wire.bounds.retry_slack),
                window: seconds(wire.bounds.budget_window_s.max(1.0)),
            },
            stop: StopTimes {
                leave,
                least_drain: LEAST_DRAIN,
                most_drain: Span(most_drain),
            },
        })
    }
}

/// The settings hold no secret, so this keeps instances of different deployments apart
/// and nobody out; see `docs/DESIGN.md`, "On the platform".
fn peer_key(wire: &SettingsWire) -> Result<PeerKey> {
    let key = format!("deployment-of-{}", wire.platform.address);
    Ok(key.parse()?)
}

fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(1, |since| since.as_millis());
    Incarnation(u64::try_from(millis).unwrap_or(u64::MAX))
}

fn capacity(limits: LimitsWire) -> u32 {
    whole(limits.cpu_share * f64::from(limits.cores.max(1)) * 1_000.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast cuts to the range of the type"
)]
fn whole(number: f64) -> u32 {
    number.round() as u32
}

fn seconds(number: f64) -> Span {
    Span::from_millis(u64::from(whole(number * 1_000.0)))
}

fn ratio(number: f64) -> Ratio {
    Ratio::from_ppm(whole(number * 1_000_000.0))
}
