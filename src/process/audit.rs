//! The audit trail of changes; see `docs/DESIGN.md`, "Audit".
//!
//! The row of an accepted change is written together with the classes it changes, so no
//! change lacks its row. Rows move from there to a ring of segments. Refused changes are
//! kept in one bounded object, which each instance writes at a bounded rate.

use std::sync::Arc;

use serde::de::DeserializeOwned;

use super::audit_rows::{RefusedChange, RefusedLog, Segment, SegmentNumber};
use super::audit_wire::{RefusedLogWire, SegmentWire};
use super::config::Proposal;
use super::{Backoff, Expected, ObjectKey, Platform, PlatformError, Rank, Ranked};
use crate::error::Refusal;
use crate::types::{ChangeNumber, ObjectVersion, Span};
use crate::version::AcceptedChange;

const REFUSED_KEY: &str = "audit/refused";
const FLUSH_INTERVAL: Span = Span::from_secs(5);
const MAX_WRITE_ATTEMPTS: usize = 4;

/// The audit trail on the platform, and the refused changes not yet written there.
#[derive(Debug)]
pub(crate) struct Audit {
    platform: Arc<dyn Platform>,
    retry_backoff: Backoff,
    unwritten: Ranked<RefusedLog>,
}

impl Audit {
    pub(crate) fn new(platform: Arc<dyn Platform>, retry_backoff: Backoff) -> Self {
        Self {
            platform,
            retry_backoff,
            unwritten: Ranked::new(Rank::RefusedChanges, RefusedLog::default()),
        }
    }

    /// Records a refused change, to be written with the next flush.
    pub(crate) fn record_refusal(&self, proposal: &Proposal, refusal: &Refusal) {
        let change = RefusedChange::new(proposal, refusal);
        self.unwritten.lock().push_unwritten(change);
    }

    /// Writes refused changes periodically until the process ends.
    pub(crate) async fn flush_forever(self: Arc<Self>) {
        loop {
            async_std::task::sleep(FLUSH_INTERVAL.as_duration()).await;
            if let Err(error) = self.flush().await {
                tracing::debug!(%error, "writing refused changes failed; retrying with the next flush");
            }
        }
    }

    /// Writes the recorded refused changes.
    ///
    /// # Errors
    /// When they could not be written; they are kept for the next flush.
    pub(crate) async fn flush(&self) -> Result<(), PlatformError> {
        let pending = std::mem::take(&mut *self.unwritten.lock());
        if pending.is_empty() {
            return Ok(());
        }
        let key = ObjectKey::new(REFUSED_KEY);
        let written = self
            .update(&key, |stored: Option<RefusedLogWire>| {
                let mut log = RefusedLog::from(stored.unwrap_or_default());
                log.append(&pending).then(|| RefusedLogWire::from(&log))
            })
            .await;
        if written.is_err() {
            self.unwritten.lock().put_back(pending);
        }
        written
    }

    /// Stores accepted changes in their segments; those already stored are skipped.
    ///
    /// # Errors
    /// When the platform did not accept the write, or its reply was lost.
    pub(crate) async fn store(&self, changes: &[AcceptedChange]) -> Result<(), PlatformError> {
        for rows in
            changes.chunk_by(|a, b| SegmentNumber::of(a.number) == SegmentNumber::of(b.number))
        {
            let number = SegmentNumber::of(rows[0].number);
            let stored = self
                .update(&number.key(), |stored: Option<SegmentWire>| {
                    let stored = stored.and_then(|wire| Segment::try_from(&wire).ok());
                    let merged = Segment::merge(stored, number, rows)?;
                    Some(SegmentWire::from(&merged))
                })
                .await;
            stored?;
        }
        Ok(())
    }

    /// Reads the stored changes of the segment that holds change `number`.
    ///
    /// # Errors
    /// When the platform cannot be read.
    pub(crate) async fn segment(
        &self,
        number: ChangeNumber,
    ) -> Result<Vec<AcceptedChange>, PlatformError> {
        let number = SegmentNumber::of(number);
        let (stored, _) = self.get::<SegmentWire>(&number.key()).await?;
        let stored = stored.and_then(|wire| Segment::try_from(&wire).ok());
        let stored = stored.filter(|segment| segment.number == number);
        Ok(stored.map(|segment| segment.rows).unwrap_or_default())
    }

    /// The refused changes, both written and pending on this instance, oldest first.
    ///
    /// # Errors
    /// When the platform cannot be read.
    pub(crate) async fn refused(&self) -> Result<RefusedLog, PlatformError> {
        let (stored, _) = self
            .get::<RefusedLogWire>(&ObjectKey::new(REFUSED_KEY))
            .await?;
        let mut log = RefusedLog::from(stored.unwrap_or_default());
        log.append(&self.unwritten.lock());
        Ok(log)
    }

    async fn get<T: DeserializeOwned>(
        &self,
        key: &ObjectKey,
    ) -> Result<(Option<T>, Option<ObjectVersion>), PlatformError> {
        let Some(object) = self.platform.get(key).await? else {
            return Ok((None, None));
        };
        let stored = serde_json::from_slice(&object.value).ok();
        Ok((stored, Some(object.version)))
    }

    /// Updates an object by a conditional write. `change` computes the new value from the
    /// stored one, or returns `None` to write nothing; it may be called more than once. An
    /// object that cannot be parsed is replaced.
    async fn update<T: DeserializeOwned + serde::Serialize>(
        &self,
        key: &ObjectKey,
        mut change: impl FnMut(Option<T>) -> Option<T>,
    ) -> Result<(), PlatformError> {
        let mut backoff = self.retry_backoff;
        let mut outcome = Ok(());
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (stored, version) = self.get(key).await?;
            let Some(next) = change(stored) else {
                return Ok(());
            };
            let value = serde_json::to_vec(&next)
                .map_err(|error| PlatformError::Protocol(error.to_string()))?;
            let expected = version.map_or(Expected::Absent, Expected::Version);
            outcome = self.platform.put(key, value, expected).await.map(drop);
            if outcome.is_ok() {
                break;
            }
            let pause = backoff.pause(&mut rand::rng());
            async_std::task::sleep(pause.as_duration()).await;
        }
        outcome
    }
}
