//! The audit trail of changes; see `docs/DESIGN.md`, "Audit".
//!
//! An accepted change is written with the classes it changes, so it is never without its
//! row, and moves on from there to a ring of segments. Refused changes are kept in one
//! bounded object, which each instance writes at a bounded rate.

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
const FLUSH_EVERY: Span = Span::from_secs(5);
const MOST_ATTEMPTS: usize = 4;

/// The audit trail as the platform keeps it, with what is not yet written there.
#[derive(Debug)]
pub(crate) struct Audit {
    platform: Arc<dyn Platform>,
    pauses: Backoff,
    unwritten: Ranked<RefusedLog>,
}

impl Audit {
    pub(crate) fn new(platform: Arc<dyn Platform>, pauses: Backoff) -> Self {
        Self {
            platform,
            pauses,
            unwritten: Ranked::new(Rank::RefusedChanges, RefusedLog::default()),
        }
    }

    /// Notes a refused change, to be written with the next flush.
    pub(crate) fn note(&self, proposal: &Proposal, refusal: &Refusal) {
        let change = RefusedChange::new(proposal, refusal);
        self.unwritten.lock().push_unwritten(change);
    }

    /// Writes refused changes for as long as the process.
    pub(crate) async fn flush_forever(self: Arc<Self>) {
        loop {
            async_std::task::sleep(FLUSH_EVERY.as_duration()).await;
            if let Err(error) = self.flush().await {
                tracing::debug!(%error, "refused changes wait for the platform");
            }
        }
    }

    /// Writes the refused changes that were noted.
    ///
    /// # Errors
    /// When they could not be written; they stay noted.
    pub(crate) async fn flush(&self) -> Result<(), PlatformError> {
        let noted = std::mem::take(&mut *self.unwritten.lock());
        if noted.is_empty() {
            return Ok(());
        }
        let key = ObjectKey::new(REFUSED_KEY);
        let written = self
            .update(&key, |stored: Option<RefusedLogWire>| {
                let mut log = RefusedLog::from(stored.unwrap_or_default());
                log.append(&noted).then(|| RefusedLogWire::from(&log))
            })
            .await;
        if written.is_err() {
            self.unwritten.lock().put_back(noted);
        }
        written
    }

    /// Stores accepted changes, which may be stored already.
    ///
    /// # Errors
    /// When the platform did not take them, or its reply was lost.
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

    /// The stored changes of the segment that holds change `number`.
    ///
    /// # Errors
    /// When the platform cannot be asked.
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

    /// The refused changes that are written or noted here, oldest first.
    ///
    /// # Errors
    /// When the platform cannot be asked.
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

    /// Writes what `change` makes of an object, which it may be asked more than once;
    /// nothing when it makes none. What cannot be read is written anew.
    async fn update<T: DeserializeOwned + serde::Serialize>(
        &self,
        key: &ObjectKey,
        mut change: impl FnMut(Option<T>) -> Option<T>,
    ) -> Result<(), PlatformError> {
        let mut backoff = self.pauses;
        let mut outcome = Ok(());
        for _ in 0..MOST_ATTEMPTS {
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
