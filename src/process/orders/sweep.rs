//! Closes and deletes pages that are older than any accepted idempotency key.
//!
//! The horizon is raised before a page is deleted and read after a claim is written, so
//! correctness does not depend on clocks: an instance whose clock lags cannot claim an
//! order again after its page was deleted.

use super::Orders;
use super::id::{PARTITIONS, PageId, RETENTION_SECS, WINDOW_SECS};
use super::wire::{HorizonWire, decode, encode};
use crate::process::{Expected, ObjectKey, PlatformError};
use crate::types::{ObjectVersion, Span, UnixSeconds};

const HORIZON_KEY: &str = "orders/horizon";
/// How long a page is kept after its keys expire, for callers whose clock is ahead.
const CALLER_CLOCK_MARGIN_SECS: u64 = 120;
/// Bounds the deletions of one sweep.
const MAX_WINDOWS_PER_SWEEP: u64 = 60;
/// Mean interval between the sweeps of all instances together.
const SWEEP_INTERVAL: Span = Span::from_secs(60);

/// Which pages are closed and deleted, as window numbers counted from 1970.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Horizon {
    /// The first open window; claims in earlier windows are refused.
    pub(super) closed: u64,
    /// The first window whose pages may exist; pages of earlier windows are deleted.
    pub(super) swept: u64,
}

impl Horizon {
    fn first_open_window(now: UnixSeconds) -> u64 {
        now.0
            .saturating_sub(RETENTION_SECS + CALLER_CLOCK_MARGIN_SECS)
            / WINDOW_SECS
    }
}

impl Orders {
    /// Sweeps until the process ends, less often the more instances are live.
    pub(super) async fn sweep_forever(&self) {
        loop {
            let between = Span(SWEEP_INTERVAL.0 * u64::from(self.live()));
            async_std::task::sleep(self.jittered(between).as_duration()).await;
            if let Err(error) = self.sweep(self.clock.wall()).await {
                tracing::debug!(%error, "the sweep of old claim pages failed");
            }
        }
    }

    /// Raises the horizon according to `now`, then deletes pages behind it.
    pub(super) async fn sweep(&self, now: UnixSeconds) -> Result<(), PlatformError> {
        let closed = Horizon::first_open_window(now);
        let Some((version, old)) = self.read_horizon().await? else {
            let swept = closed;
            let first = Horizon { closed, swept };
            return self.write_horizon(Expected::Absent, first).await.map(drop);
        };
        let mut version = version;
        let mut horizon = old;
        if horizon.closed < closed {
            horizon.closed = closed;
            version = self
                .write_horizon(Expected::Version(version), horizon)
                .await?;
        }
        let end = horizon.closed.min(horizon.swept + MAX_WINDOWS_PER_SWEEP);
        if horizon.swept == end {
            return Ok(());
        }
        for window in horizon.swept..end {
            self.delete_window(window).await?;
        }
        horizon.swept = end;
        self.write_horizon(Expected::Version(version), horizon)
            .await
            .map(drop)
    }

    /// Reads the horizon and its version; none before the first sweep.
    pub(super) async fn read_horizon(
        &self,
    ) -> Result<Option<(ObjectVersion, Horizon)>, PlatformError> {
        let key = ObjectKey::new(HORIZON_KEY);
        let Some(object) = self.platform.get(&key).await? else {
            return Ok(None);
        };
        let horizon = decode::<HorizonWire, Horizon>(&object.value)?;
        Ok(Some((object.version, horizon)))
    }

    async fn write_horizon(
        &self,
        expected: Expected,
        horizon: Horizon,
    ) -> Result<ObjectVersion, PlatformError> {
        let value = encode(&HorizonWire::from(horizon))?;
        let key = ObjectKey::new(HORIZON_KEY);
        self.platform.put(&key, value, expected).await
    }

    async fn delete_window(&self, window: u64) -> Result<(), PlatformError> {
        for partition in 0..PARTITIONS {
            let key = PageId { window, partition }.key();
            if let Some(object) = self.platform.get(&key).await? {
                self.platform.delete(&key, object.version).await?;
            }
        }
        Ok(())
    }
}
