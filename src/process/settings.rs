//! The settings of a process, checked together before anything starts.

use std::net::SocketAddr;

use super::CallRates;
use super::shutdown::StopTimes;
use crate::types::{ByteCount, FailureDomain, InstanceName, OperatorKey, PeerKey, Region, Span};

const MOST_THREADS: usize = 64;
const LEAVING_HEARD_BEATS: u64 = 5;
const MOST_PEER_KEYS: usize = 4;
const MOST_OPERATOR_KEYS: usize = 4;
const LEAST_HEARTBEAT: Span = Span::from_millis(50);
const MOST_HEARTBEAT: Span = Span::from_secs(1);
const LEAST_FETCH_TIMEOUT: Span = Span::from_secs(2);

/// What an instance is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name, unique among all instances.
    pub name: InstanceName,
    /// Where callers and operators connect.
    pub listen: SocketAddr,
    /// Where other instances connect.
    pub peer_listen: SocketAddr,
    /// The keys that instances prove to each other that they have.
    pub peer_keys: Vec<PeerKey>,
    /// The keys that tokens of operators are signed with; without one no operator is let in.
    pub operator_keys: Vec<OperatorKey>,
    /// Where other instances connect that are asked while the platform is away.
    pub seeds: Vec<SocketAddr>,
    /// The time between two heartbeats.
    pub heartbeat: Span,
    /// How long callers may keep the addresses they were given.
    pub address_keep: Span,
    /// How long a planned stop waits for requests that still run.
    pub drain: Span,
    /// Where the platform's object API answers.
    pub platform: SocketAddr,
    /// How many calls a second the instance makes to it at most.
    pub platform_rates: CallRates,
    /// The failure domain the instance stands in.
    pub failure_domain: FailureDomain,
    /// The region of that failure domain.
    pub region: Region,
    /// How many workers decide.
    pub workers: usize,
    /// How many threads carry input and output.
    pub io_threads: usize,
    /// The largest request body.
    pub most_body: ByteCount,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SettingsError {
    /// The number of workers is out of range.
    #[error("--workers must be between 1 and {MOST_THREADS}, not {0}")]
    Workers(usize),
    /// The number of threads for input and output is out of range.
    #[error("--io-threads must be between 1 and {MOST_THREADS}, not {0}")]
    IoThreads(usize),
    /// Bodies of no size could never be sent.
    #[error("--most-body must be at least 1")]
    MostBody,
    /// An instance that makes no calls learns no configuration.
    #[error("--platform-reads and --platform-writes must be at least 1/s")]
    PlatformRates,
    /// More keys are valid at a time than a rotation needs.
    #[error("--peer-keys takes at most {MOST_PEER_KEYS} keys, not {0}")]
    PeerKeys(usize),
    /// More keys are valid at a time than a rotation needs.
    #[error("--operator-keys takes at most {MOST_OPERATOR_KEYS} keys, not {0}")]
    OperatorKeys(usize),
    /// A token could be signed with either of two keys.
    #[error("--operator-keys has two keys named {0}")]
    OperatorKeyTwice(String),
    /// Heartbeats are too close together, or a configuration would not be in force in
    /// time.
    #[error("--heartbeat must be between {LEAST_HEARTBEAT} and {MOST_HEARTBEAT}, not {0}")]
    Heartbeat(Span),
    /// Others are told to connect to this address, so it must be one.
    #[error("others cannot connect to {0}; --listen and --peer-listen need an IP number")]
    Unspecified(SocketAddr),
    /// The instance would be its own platform.
    #[error("--listen and --platform are the same address, {0}")]
    SameAddress(SocketAddr),
}

impl Settings {
    /// How long each phase of a planned stop lasts. Others know within a few
    /// heartbeats that the instance is leaving, and only then does the time begin
    /// that the last answer naming it may be kept.
    pub(crate) fn stop_times(&self) -> StopTimes {
        let heard = Span(self.heartbeat.0 * LEAVING_HEARD_BEATS);
        StopTimes {
            leave: Span(self.address_keep.0 + heard.0),
            least_drain: self.heartbeat,
            most_drain: self.drain.max(self.heartbeat),
        }
    }

    /// How long a peer may take to send objects.
    pub(crate) fn fetch_timeout(&self) -> Span {
        self.heartbeat.max(LEAST_FETCH_TIMEOUT)
    }

    fn check_operator_keys(&self) -> Option<SettingsError> {
        let keys = &self.operator_keys;
        if keys.len() > MOST_OPERATOR_KEYS {
            return Some(SettingsError::OperatorKeys(keys.len()));
        }
        let twice = |at: usize| keys[..at].iter().any(|key| key.id() == keys[at].id());
        let at = (0..keys.len()).find(|at| twice(*at))?;
        Some(SettingsError::OperatorKeyTwice(keys[at].id().to_owned()))
    }

    /// Everything that is wrong with the settings.
    #[must_use]
    pub fn check(&self) -> Vec<SettingsError> {
        let mut errors = Vec::new();
        if !(1..=MOST_THREADS).contains(&self.workers) {
            errors.push(SettingsError::Workers(self.workers));
        }
        if !(1..=MOST_THREADS).contains(&self.io_threads) {
            errors.push(SettingsError::IoThreads(self.io_threads));
        }
        if self.most_body == ByteCount(0) {
            errors.push(SettingsError::MostBody);
        }
        let CallRates { reads, writes } = self.platform_rates;
        if reads.0 < 1.0 || writes.0 < 1.0 {
            errors.push(SettingsError::PlatformRates);
        }
        if self.peer_keys.len() > MOST_PEER_KEYS {
            errors.push(SettingsError::PeerKeys(self.peer_keys.len()));
        }
        errors.extend(self.check_operator_keys());
        if !(LEAST_HEARTBEAT..=MOST_HEARTBEAT).contains(&self.heartbeat) {
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
