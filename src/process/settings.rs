//! The settings of an instance, all checked before anything starts.

use std::net::SocketAddr;

use super::CallRates;
use super::shutdown::StopTimes;
use crate::types::{ByteCount, FailureDomain, InstanceName, OperatorKey, PeerKey, Region, Span};

const MAX_THREADS: usize = 64;
/// Heartbeats until all other instances know that this one is leaving.
const LEAVING_NOTICE_HEARTBEATS: u64 = 5;
const MAX_PEER_KEYS: usize = 4;
const MAX_OPERATOR_KEYS: usize = 4;
const MIN_HEARTBEAT: Span = Span::from_millis(50);
const MAX_HEARTBEAT: Span = Span::from_secs(1);
const MIN_FETCH_TIMEOUT: Span = Span::from_secs(2);

/// The settings that an instance is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name, unique among all instances.
    pub name: InstanceName,
    /// The address for callers and operators.
    pub listen: SocketAddr,
    /// The address for other instances.
    pub peer_listen: SocketAddr,
    /// The keys by which instances authenticate to each other.
    pub peer_keys: Vec<PeerKey>,
    /// The keys that sign operator tokens; without a key no operator is accepted.
    pub operator_keys: Vec<OperatorKey>,
    /// The peer addresses of instances to contact while the platform is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// The time between two heartbeats.
    pub heartbeat: Span,
    /// How long callers may cache the addresses they received.
    pub address_keep: Span,
    /// How long a graceful shutdown waits for requests in flight.
    pub drain: Span,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The rate limits of the instance's calls to the platform.
    pub platform_rates: CallRates,
    /// The failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// The region of that failure domain.
    pub region: Region,
    /// The number of worker threads.
    pub workers: usize,
    /// The number of I/O threads.
    pub io_threads: usize,
    /// The maximum size of a request body.
    pub max_body: ByteCount,
}

/// A reason why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SettingsError {
    /// The number of workers is out of range.
    #[error("--workers must be between 1 and {MAX_THREADS}, not {0}")]
    Workers(usize),
    /// The number of I/O threads is out of range.
    #[error("--io-threads must be between 1 and {MAX_THREADS}, not {0}")]
    IoThreads(usize),
    /// The maximum body size is zero, so no request would be accepted.
    #[error("--most-body must be at least 1")]
    MostBody,
    /// The platform rates are too low: an instance that makes no calls cannot load its
    /// configuration.
    #[error("--platform-reads and --platform-writes must be at least 1/s")]
    PlatformRates,
    /// There are more peer keys than a key rotation needs.
    #[error("--peer-keys takes at most {MAX_PEER_KEYS} keys, not {0}")]
    PeerKeys(usize),
    /// There are more operator keys than a key rotation needs.
    #[error("--operator-keys takes at most {MAX_OPERATOR_KEYS} keys, not {0}")]
    OperatorKeys(usize),
    /// Two operator keys have the same id, so the key of a token would be ambiguous.
    #[error("--operator-keys has two keys named {0}")]
    DuplicateOperatorKey(String),
    /// The heartbeat interval is too short, or too long for a configuration to take effect
    /// in time.
    #[error("--heartbeat must be between {MIN_HEARTBEAT} and {MAX_HEARTBEAT}, not {0}")]
    Heartbeat(Span),
    /// The address is sent to others to connect to, so it cannot be a wildcard address.
    #[error("others cannot connect to {0}; --listen and --peer-listen need a specific IP address")]
    Unspecified(SocketAddr),
    /// The instance would use itself as the platform.
    #[error("--listen and --platform are the same address, {0}")]
    SameAddress(SocketAddr),
}

impl Settings {
    /// The durations of the phases of a graceful shutdown. Others learn within a few
    /// heartbeats that the instance is leaving. Until then they may still give out its
    /// address, which callers may cache for [`Settings::address_keep`].
    pub(crate) fn stop_times(&self) -> StopTimes {
        let notice = Span(self.heartbeat.0 * LEAVING_NOTICE_HEARTBEATS);
        StopTimes {
            leave: Span(self.address_keep.0 + notice.0),
            min_drain: self.heartbeat,
            max_drain: self.drain.max(self.heartbeat),
        }
    }

    /// The timeout for fetching objects from a peer.
    pub(crate) fn fetch_timeout(&self) -> Span {
        self.heartbeat.max(MIN_FETCH_TIMEOUT)
    }

    fn check_operator_keys(&self) -> Option<SettingsError> {
        let keys = &self.operator_keys;
        if keys.len() > MAX_OPERATOR_KEYS {
            return Some(SettingsError::OperatorKeys(keys.len()));
        }
        let is_duplicate = |at: usize| keys[..at].iter().any(|key| key.id() == keys[at].id());
        let at = (0..keys.len()).find(|at| is_duplicate(*at))?;
        Some(SettingsError::DuplicateOperatorKey(
            keys[at].id().to_owned(),
        ))
    }

    /// Checks the settings and returns all errors.
    #[must_use]
    pub fn check(&self) -> Vec<SettingsError> {
        let mut errors = Vec::new();
        if !(1..=MAX_THREADS).contains(&self.workers) {
            errors.push(SettingsError::Workers(self.workers));
        }
        if !(1..=MAX_THREADS).contains(&self.io_threads) {
            errors.push(SettingsError::IoThreads(self.io_threads));
        }
        if self.max_body == ByteCount(0) {
            errors.push(SettingsError::MostBody);
        }
        let CallRates { reads, writes } = self.platform_rates;
        if reads.0 < 1.0 || writes.0 < 1.0 {
            errors.push(SettingsError::PlatformRates);
        }
        if self.peer_keys.len() > MAX_PEER_KEYS {
            errors.push(SettingsError::PeerKeys(self.peer_keys.len()));
        }
        errors.extend(self.check_operator_keys());
        if !(MIN_HEARTBEAT..=MAX_HEARTBEAT).contains(&self.heartbeat) {
            errors.push(SettingsError::Heartbeat(self.heartbeat));
        }
        for addr in [self.listen, self.peer_listen] {
            if addr.ip().is_unspecified() {
                errors.push(SettingsError::Unspecified(addr));
            }
        }
        if self.listen == self.platform {
            errors.push(SettingsError::SameAddress(self.listen));
        }
        errors
    }
}
