//! Gives up pages that are older than any key may be, and deletes them.
//!
//! The horizon is raised before a page is deleted and read after a claim is written,
//! so that no clock has to be right: an instance whose clock lags cannot claim an
//! order again whose page is gone.

use super::Orders;
use super::id::{PARTITIONS, PageId, RETENTION_SECS, WINDOW_SECS};
use super::wire::{HorizonWire, decode, encode};
use crate::process::{Expected, ObjectKey, PlatformError};
use crate::types::{ObjectVersion, Span, UnixSeconds};

const HORIZON_KEY: &str = "orders/horizon";
/// A page outlives its keys by this much, for callers whose clock is ahead.
const MARGIN_SECS: u64 = 120;
const MOST_WINDOWS: u64 = 60;
const SWEEP_EVERY: Span = Span::from_secs(60);

/// How far pages have been given up, in windows since 1970.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Horizon {
    /// Claims in earlier windows are refused.
    pub(super) closed: u64,
    /// Pages of earlier windows are deleted.
    pub(super) swept: u64,
}

impl Horizon {
    fn at(now: UnixSeconds) -> u64 {
        now.0.saturating_sub(RETENTION_SECS + MARGIN_SECS) / WINDOW_SECS
    }
}

impl Orders {
    /// Sweeps until the process ends; the more instances there are, the less often.
    pub(super) async fn sweep_forever(&self) {
        loop {
            let between = Span(SWEEP_EVERY.0 * u64::from(self.live()));
            async_std::task::sleep(self.jittered(between).as_duration()).await;
            if let Err(error) = self.sweep(self.clock.wall()).await {
                tracing::debug!(%error, "a sweep of old orders is put off");
            }
        }
    }

    /// Raises the horizon to what `now` demands, then deletes what lies behind it.
    pub(super) async fn sweep(&self, now: UnixSeconds) -> Result<(), PlatformError> {
        let closed = Horizon::at(now);
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
        let end = horizon.closed.min(horizon.swept + MOST_WINDOWS);
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

    /// The horizon and its version, or none before the first sweep.
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
