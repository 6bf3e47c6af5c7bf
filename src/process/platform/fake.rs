//! An in-memory platform, used by unit tests and as the state of the HTTP stand-in of the
//! integration tests. `tests/platform.rs` runs the same contract on both.

use std::time::{Duration, Instant};

use async_std::channel;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use serde_json::Value;

use super::{
    Change, Changes, Era, Expected, ListedInstance, Listing, Object, ObjectKey, ObjectVersion,
    Platform, PlatformError, Revision, Span,
};

#[path = "fake_store.rs"]
mod store;

use store::{Call, Store, consume};
pub(crate) use store::{Calls, Faults, Rates, StoreCopy};

const MAX_VALUE_BYTES: usize = 1 << 20;

/// An in-memory platform; all holders of a reference share its state.
#[derive(Debug, Default)]
pub(crate) struct FakePlatform {
    store: Mutex<Store>,
}

impl FakePlatform {
    /// Writes an object unconditionally.
    pub(crate) fn set(&self, key: &str, value: &Value) -> ObjectVersion {
        let bytes = serde_json::to_vec(value).expect("a JSON value");
        ObjectVersion(self.store.lock().write(key, Some(bytes)))
    }

    /// Deletes an object unconditionally, if it exists.
    pub(crate) fn remove(&self, key: &str) {
        let mut store = self.store.lock();
        if store.object(key).is_some() {
            store.write(key, None);
        }
    }

    /// Returns an object's value.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        let object = self.store.lock().object(key)?;
        serde_json::from_slice(&object.value).ok()
    }

    /// Sets the list of instances.
    pub(crate) fn list_instances(&self, instances: Vec<ListedInstance>) {
        let mut store = self.store.lock();
        store.instances.push((Instant::now(), instances));
    }

    /// Returns a new list of instances only `lag` after it was set.
    pub(crate) fn lag_instances(&self, lag: Duration) {
        self.store.lock().instances_lag = lag;
    }

    /// Changes the faults to inject, and wakes all watches.
    pub(crate) fn faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut store = self.store.lock();
        change(&mut store.faults);
        store.wake_watches();
    }

    /// Sheds calls above these rates; by default no call is shed.
    pub(crate) fn limit(&self, rates: Rates) {
        self.store.lock().rates = Some(rates);
    }

    /// Injects a conflicting write: sets an object just before the next write is applied.
    /// Further calls are queued, one for each write.
    pub(crate) fn inject_conflicting_write(&self, key: &str, value: Value) {
        let conflicting = (key.to_owned(), value);
        self.store.lock().conflicting_writes.push_back(conflicting);
    }

    /// Discards the change log; watches from an earlier revision fail.
    pub(crate) fn compact(&self) {
        self.store.lock().compact();
    }

    /// Begins the first era. Until then, the store states none.
    pub(crate) fn begin_eras(&self) {
        self.store.lock().era = 1;
    }

    /// Returns the era, or 0 if the store states none.
    pub(crate) fn era(&self) -> u64 {
        self.store.lock().era
    }

    /// Returns a copy of the store, from which it may come back.
    pub(crate) fn copy(&self) -> StoreCopy {
        self.store.lock().copy()
    }

    /// Brings the store back from a copy. Everything that was written since is lost.
    pub(crate) fn restore(&self, copy: StoreCopy) {
        self.store.lock().restore(copy);
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> Calls {
        self.store.lock().calls
    }

    async fn admit(&self, call: Call) -> Result<(), PlatformError> {
        let (admitted, slow) = {
            let mut store = self.store.lock();
            (store.admit(call), store.faults.slow)
        };
        async_std::task::sleep(slow).await;
        admitted
    }

    async fn write(
        &self,
        key: &ObjectKey,
        value: Option<Vec<u8>>,
        expected: Option<ObjectVersion>,
    ) -> Result<ObjectVersion, PlatformError> {
        key.check()?;
        self.admit(Call::Write).await?;
        let mut store = self.store.lock();
        let version = store.write_if(key.as_str(), value, expected)?;
        Ok(ObjectVersion(version))
    }
}

fn normalize_json(value: &[u8]) -> Result<Vec<u8>, PlatformError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(PlatformError::TooLarge);
    }
    let value: Value = serde_json::from_slice(value)
        .map_err(|error| PlatformError::Rejected(error.to_string()))?;
    Ok(serde_json::to_vec(&value).expect("a JSON value"))
}

impl Platform for FakePlatform {
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        Box::pin(async move {
            self.admit(Call::Read).await?;
            Ok(self.store.lock().listed_instances())
        })
    }

    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        Box::pin(async move {
            key.check()?;
            self.admit(Call::Read).await?;
            Ok(self.store.lock().object(key.as_str()))
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        Box::pin(async move {
            self.admit(Call::Read).await?;
            Ok(self.store.lock().list(prefix))
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Vec<u8>,
        expected: Expected,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>> {
        Box::pin(async move {
            let value = normalize_json(&value)?;
            let expected = match expected {
                Expected::Absent => None,
                Expected::Version(version) => Some(version),
            };
            self.write(key, Some(value), expected).await
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move { self.write(key, None, Some(expected)).await.map(drop) })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
        wait: Span,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>> {
        Box::pin(async move {
            self.admit(Call::Watch).await?;
            let until = Instant::now() + wait.as_duration();
            loop {
                let (tx, rx) = channel::bounded(1);
                let (changes, ended) = {
                    let mut store = self.store.lock();
                    let changes = store.changes(prefix, from, tx)?;
                    (changes, consume(&mut store.faults.end_watches))
                };
                let left = until.saturating_duration_since(Instant::now());
                if ended || left.is_zero() || !changes.changes.is_empty() {
                    return Ok(changes);
                }
                async_std::future::timeout(left, rx.recv()).await.ok();
            }
        })
    }
}
