//! Shares with other instances which requests crashed upstreams, through one small
//! object on the platform; see `docs/DESIGN.md`, "Poison requests".

use std::sync::Arc;

use async_std::channel::Receiver;
use indexmap::IndexMap;

use super::mark::INCIDENT_TTL;
use super::poison_wire::PoisonMarksWire;
use super::shared_marks::SharedMark;
use super::{Expected, Instance, Object, ObjectKey, PlatformError};
use crate::types::{Fingerprint, Span, UnixSeconds};

/// The key prefix of the shared marks.
pub(crate) const POISON_PREFIX: &str = "poison/";
const MARKS_KEY: &str = "poison/marks";
const MAX_SHARED_MARKS: usize = 1_024;
/// The pause between two writes of one instance, per live instance.
const PAUSE_PER_INSTANCE: Span = Span::from_millis(50);

/// The incidents of one request, and when they were published, by the wall clock of the
/// publishing instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StoredMark {
    pub(super) incidents: u32,
    pub(super) at: UnixSeconds,
}

/// The marks that instances share, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PoisonMarks {
    pub(super) by_request: IndexMap<Fingerprint, StoredMark>,
}

impl PoisonMarks {
    /// Merges the changes of this instance. Merging is idempotent, so a write whose outcome
    /// is unknown can be repeated.
    fn merge(&mut self, now: UnixSeconds, marked: &[SharedMark], cleared: &[Fingerprint]) {
        for request in cleared {
            self.by_request.shift_remove(request);
        }
        for mark in marked {
            let stored = self.by_request.shift_remove(&mark.request);
            let incidents = stored
                .map_or(0, |stored| stored.incidents)
                .max(mark.incidents);
            let stored = StoredMark { incidents, at: now };
            self.by_request.insert(mark.request, stored);
        }
        self.by_request
            .retain(|_, stored| !is_expired(*stored, now));
        let excess = self.by_request.len().saturating_sub(MAX_SHARED_MARKS);
        self.by_request.drain(..excess);
    }

    fn live(&self, now: UnixSeconds) -> Vec<SharedMark> {
        let live = self
            .by_request
            .iter()
            .filter(|(_, stored)| !is_expired(**stored, now));
        live.map(|(request, stored)| SharedMark {
            request: *request,
            incidents: stored.incidents,
        })
        .collect()
    }
}

fn is_expired(stored: StoredMark, now: UnixSeconds) -> bool {
    now.0.saturating_sub(stored.at.0) >= INCIDENT_TTL.as_secs()
}

/// Applies the marks stored on the platform.
pub(crate) fn adopt(instance: &Instance, object: &Object) -> Result<(), PlatformError> {
    let marks = PoisonMarks::try_from(object)?;
    let live = marks.live(instance.clock.wall());
    let now = instance.clock.now();
    instance.engine.tables.suspects.lock().adopt(now, &live);
    Ok(())
}

/// Writes this instance's changes of marks to the platform until the process ends.
pub(crate) async fn publish_marks(instance: Arc<Instance>, updates: Receiver<()>) {
    while updates.recv().await.is_ok() {
        let (marked, cleared) = instance.engine.tables.suspects.lock().take_unshared();
        if marked.is_empty() && cleared.is_empty() {
            continue;
        }
        if let Err(error) = write(&instance, &marked, &cleared).await {
            tracing::debug!(%error, "the poison marks could not be written and are retried");
            let marked = marked.iter().map(|mark| mark.request);
            let mut suspects = instance.engine.tables.suspects.lock();
            suspects.put_back(marked.chain(cleared));
        }
        let pause = Span(PAUSE_PER_INSTANCE.0 * u64::from(instance.orders.live()));
        async_std::task::sleep(pause.as_duration()).await;
        instance.engine.tables.suspects.lock().wake_if_unshared();
    }
}

async fn write(
    instance: &Instance,
    marked: &[SharedMark],
    cleared: &[Fingerprint],
) -> Result<(), PlatformError> {
    let key = ObjectKey::new(MARKS_KEY);
    let found = instance.platform.get(&key).await?;
    let expected = found
        .as_ref()
        .map_or(Expected::Absent, |object| Expected::Version(object.version));
    let mut marks = found
        .as_ref()
        .map_or_else(|| Ok(PoisonMarks::default()), PoisonMarks::try_from)?;
    marks.merge(instance.clock.wall(), marked, cleared);
    let value = PoisonMarksWire::from(&marks).encode()?;
    instance.platform.put(&key, value, expected).await.map(drop)
}

#[cfg(test)]
#[path = "poison_tests.rs"]
mod poison_tests;
