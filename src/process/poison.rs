//! Tells other instances which requests crashed upstreams, through one small object of
//! the platform; see `docs/DESIGN.md`, "Poison requests".

use std::sync::Arc;

use async_std::channel::Receiver;
use indexmap::IndexMap;

use super::poison_wire::MarksWire;
use super::suspects::{REMEMBERED_FOR, SharedMark};
use super::{Expected, Instance, Object, ObjectKey, PlatformError};
use crate::types::{Fingerprint, Span, UnixSeconds};

/// The prefix under which marks are shared.
pub(crate) const POISON_PREFIX: &str = "poison/";
const MARKS_KEY: &str = "poison/marks";
const MOST_SHARED: usize = 1_024;
/// Between two writes of one instance lies this much for each live instance.
const PAUSE_PER_INSTANCE: Span = Span::from_millis(50);

/// What is known of one request, and when it was told, by the teller's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Told {
    pub(super) incidents: u32,
    pub(super) at: UnixSeconds,
}

/// The marks that instances share, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Marks {
    pub(super) by_request: IndexMap<Fingerprint, Told>,
}

impl Marks {
    /// Adds what this instance knows; adding it twice changes nothing, so a write whose
    /// fate is unknown can be made again.
    fn merge(&mut self, now: UnixSeconds, marked: &[SharedMark], cleared: &[Fingerprint]) {
        for request in cleared {
            self.by_request.shift_remove(request);
        }
        for mark in marked {
            let told = self.by_request.shift_remove(&mark.request);
            let incidents = told.map_or(0, |told| told.incidents).max(mark.incidents);
            let told = Told { incidents, at: now };
            self.by_request.insert(mark.request, told);
        }
        self.by_request.retain(|_, told| !is_old(*told, now));
        let spare = self.by_request.len().saturating_sub(MOST_SHARED);
        self.by_request.drain(..spare);
    }

    fn live(&self, now: UnixSeconds) -> Vec<SharedMark> {
        let live = self
            .by_request
            .iter()
            .filter(|(_, told)| !is_old(**told, now));
        live.map(|(request, told)| SharedMark {
            request: *request,
            incidents: told.incidents,
        })
        .collect()
    }
}

fn is_old(told: Told, now: UnixSeconds) -> bool {
    now.0.saturating_sub(told.at.0) >= REMEMBERED_FOR.as_secs()
}

/// Takes over what the platform holds.
pub(crate) fn adopt(instance: &Instance, object: &Object) -> Result<(), PlatformError> {
    let marks = Marks::try_from(object)?;
    let live = marks.live(instance.clock.wall());
    let now = instance.clock.now();
    instance.engine.tables.suspects.lock().adopt(now, &live);
    Ok(())
}

/// Tells the platform what happens here until the process ends.
pub(crate) async fn share(instance: Arc<Instance>, news: Receiver<()>) {
    while news.recv().await.is_ok() {
        let (marked, cleared) = instance.engine.tables.suspects.lock().take_news();
        if marked.is_empty() && cleared.is_empty() {
            continue;
        }
        if let Err(error) = write(&instance, &marked, &cleared).await {
            tracing::debug!(%error, "marks of suspects are told later");
            let marked = marked.iter().map(|mark| mark.request);
            let mut suspects = instance.engine.tables.suspects.lock();
            suspects.put_back(marked.chain(cleared));
        }
        let pause = Span(PAUSE_PER_INSTANCE.0 * u64::from(instance.orders.live()));
        async_std::task::sleep(pause.as_duration()).await;
        instance.engine.tables.suspects.lock().wake_for_news();
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
        .map_or_else(|| Ok(Marks::default()), Marks::try_from)?;
    marks.merge(instance.clock.wall(), marked, cleared);
    let value = MarksWire::from(&marks).encode()?;
    instance.platform.put(&key, value, expected).await.map(drop)
}

#[cfg(test)]
#[path = "poison_tests.rs"]
mod poison_tests;
