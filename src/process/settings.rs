//! The settings of a process, checked together before anything starts.

use std::net::SocketAddr;

use super::CallRates;
use crate::types::{ByteCount, FailureDomain, InstanceName, Region};

const MOST_WORKERS: usize = 64;

/// What an instance is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name, unique among all instances.
    pub name: InstanceName,
    /// Where callers and operators connect.
    pub listen: SocketAddr,
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
    /// The largest request body.
    pub most_body: ByteCount,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SettingsError {
    /// The number of workers is out of range.
    #[error("--workers must be between 1 and {MOST_WORKERS}, not {0}")]
    Workers(usize),
    /// Bodies of no size could never be sent.
    #[error("--most-body must be at least 1")]
    MostBody,
    /// An instance that makes no calls learns no configuration.
    #[error("--platform-reads and --platform-writes must be at least 1/s")]
    PlatformRates,
    /// The instance would be its own platform.
    #[error("--listen and --platform are the same address, {0}")]
    SameAddress(SocketAddr),
}

impl Settings {
    /// Everything that is wrong with the settings.
    #[must_use]
    pub fn check(&self) -> Vec<SettingsError> {
        let mut errors = Vec::new();
        if !(1..=MOST_WORKERS).contains(&self.workers) {
            errors.push(SettingsError::Workers(self.workers));
        }
        if self.most_body == ByteCount(0) {
            errors.push(SettingsError::MostBody);
        }
        let CallRates { reads, writes } = self.platform_rates;
        if reads.0 < 1.0 || writes.0 < 1.0 {
            errors.push(SettingsError::PlatformRates);
        }
        if self.listen == self.platform {
            errors.push(SettingsError::SameAddress(self.listen));
        }
        errors
    }
}
