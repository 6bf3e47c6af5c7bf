//! The platform in memory, for tests of whatever is kept in it. It holds to the same
//! contract as the client over HTTP: `tests/platform.rs` runs one set of cases on both.

use std::collections::{BTreeMap, VecDeque};

use async_std::channel::{self, Sender};
use futures::future::BoxFuture;
use parking_lot::Mutex;
use serde_json::Value;

use super::{
    Change, Changes, Expected, ListedInstance, Listing, Object, ObjectKey, ObjectVersion, Platform,
    PlatformError, Revision, Span,
};

const MOST_VALUE_BYTES: usize = 1 << 20;

/// A platform whose state is shared by whoever holds a reference.
#[derive(Debug, Default)]
pub(crate) struct FakePlatform {
    store: Mutex<Store>,
}

/// The faults in force; a count goes down by one with each call it befalls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FakeFaults {
    /// Every call fails, and no write takes effect.
    pub(crate) down: bool,
    /// So many calls are shed.
    pub(crate) busy: u32,
    /// So many writes take effect and lose their reply.
    pub(crate) lose_replies: u32,
    /// So many writes are lost on the way and have no effect, which their sender cannot
    /// tell from a lost reply.
    pub(crate) lose_writes: u32,
    /// So many watches end early with no change.
    pub(crate) end_watches: u32,
}

/// How often each kind of call was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FakeCalls {
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    pub(crate) watches: u64,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    compacted: u64,
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<(u64, String)>,
    instances: Vec<ListedInstance>,
    rivals: VecDeque<(String, Value)>,
    faults: FakeFaults,
    calls: FakeCalls,
    waiting: Vec<Sender<()>>,
}

impl FakePlatform {
    /// Writes an object whatever it was before.
    pub(crate) fn set(&self, key: &str, value: &Value) -> ObjectVersion {
        let bytes = serde_json::to_vec(value).expect("a JSON value");
        ObjectVersion(self.store.lock().write(key, Some(bytes)))
    }

    /// An object's value.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        let store = self.store.lock();
        let (_, bytes) = store.objects.get(key)?;
        serde_json::from_slice(bytes).ok()
    }

    /// Sets the list of instances.
    pub(crate) fn list_instances(&self, instances: Vec<ListedInstance>) {
        self.store.lock().instances = instances;
    }

    /// Changes the faults in force.
    pub(crate) fn faults(&self, change: impl FnOnce(&mut FakeFaults)) {
        change(&mut self.store.lock().faults);
    }

    /// Lets another writer set an object just before the next write arrives; further
    /// calls queue up, one for each write.
    pub(crate) fn rival_writes(&self, key: &str, value: Value) {
        let rival = (key.to_owned(), value);
        self.store.lock().rivals.push_back(rival);
    }

    /// Forgets all changes so far, which ends older watches.
    pub(crate) fn compact(&self) {
        let mut store = self.store.lock();
        store.compacted = store.revision;
        store.history.clear();
        store.waiting.clear();
    }

    /// The calls so far.
    pub(crate) fn calls(&self) -> FakeCalls {
        self.store.lock().calls
    }

    fn put_now(
        &self,
        key: &str,
        value: &[u8],
        expected: Expected,
    ) -> Result<ObjectVersion, PlatformError> {
        if value.len() > MOST_VALUE_BYTES {
            return Err(PlatformError::TooLarge);
        }
        let value: Value = serde_json::from_slice(value)
            .map_err(|error| PlatformError::Rejected(error.to_string()))?;
        let value = serde_json::to_vec(&value).expect("a JSON value");
        let version = match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(version),
        };
        self.store
            .lock()
            .write_if(key, Some(value), version)
            .map(ObjectVersion)
    }

    /// Changes after `from`, or a receiver that is told of the next change.
    fn changes_or_wait(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<(Changes, channel::Receiver<()>), PlatformError> {
        let mut store = self.store.lock();
        if store.faults.down {
            return Err(unreachable());
        }
        if from.0 < store.compacted {
            return Err(PlatformError::Compacted);
        }
        let (tx, rx) = channel::bounded(1);
        let changes = store.changes(prefix, from);
        if take(&mut store.faults.end_watches) {
            tx.close();
        } else if changes.changes.is_empty() {
            store.waiting.push(tx);
        }
        Ok((changes, rx))
    }
}

impl Store {
    fn read(&mut self) -> Result<(), PlatformError> {
        self.calls.reads += 1;
        self.enter()
    }

    fn enter(&mut self) -> Result<(), PlatformError> {
        if self.faults.down {
            return Err(unreachable());
        }
        if take(&mut self.faults.busy) {
            return Err(PlatformError::Busy);
        }
        Ok(())
    }

    fn write(&mut self, key: &str, value: Option<Vec<u8>>) -> u64 {
        self.revision += 1;
        self.history.push((self.revision, key.to_owned()));
        match value {
            Some(value) => self.objects.insert(key.to_owned(), (self.revision, value)),
            None => self.objects.remove(key),
        };
        self.waiting.clear();
        self.revision
    }

    fn write_if(
        &mut self,
        key: &str,
        value: Option<Vec<u8>>,
        expected: Option<ObjectVersion>,
    ) -> Result<u64, PlatformError> {
        self.calls.writes += 1;
        self.enter()?;
        if let Some((rival_key, rival)) = self.rivals.pop_front() {
            let bytes = serde_json::to_vec(&rival).expect("a JSON value");
            self.write(&rival_key, Some(bytes));
        }
        if take(&mut self.faults.lose_writes) {
            return Err(unsettled());
        }
        let found = self.objects.get(key).map(|(version, _)| *version);
        if found != expected.map(|version| version.0) {
            return Err(PlatformError::Conflict);
        }
        let version = self.write(key, value);
        if take(&mut self.faults.lose_replies) {
            return Err(unsettled());
        }
        Ok(version)
    }

    fn object(&self, key: &str) -> Option<Object> {
        let (version, value) = self.objects.get(key)?;
        Some(Object {
            key: ObjectKey::new(key),
            version: ObjectVersion(*version),
            value: value.clone(),
        })
    }

    fn changes(&self, prefix: &str, from: Revision) -> Changes {
        let mut keys: Vec<&String> = Vec::new();
        for (revision, key) in &self.history {
            if *revision > from.0 && key.starts_with(prefix) && !keys.contains(&key) {
                keys.push(key);
            }
        }
        let changes = keys
            .into_iter()
            .map(|key| Change {
                key: ObjectKey::new(key),
                object: self.object(key),
            })
            .collect();
        Changes {
            revision: Revision(self.revision),
            changes,
        }
    }
}

fn take(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

fn unreachable() -> PlatformError {
    PlatformError::Unreachable("an outage".to_owned())
}

fn unsettled() -> PlatformError {
    PlatformError::Unsettled("a lost reply".to_owned())
}

impl Platform for FakePlatform {
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        Box::pin(async move {
            let mut store = self.store.lock();
            store.read()?;
            Ok(store.instances.clone())
        })
    }

    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        Box::pin(async move {
            let mut store = self.store.lock();
            store.read()?;
            Ok(store.object(key.as_str()))
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        Box::pin(async move {
            let mut store = self.store.lock();
            store.read()?;
            let keys = store.objects.keys().filter(|key| key.starts_with(prefix));
            let objects = keys.filter_map(|key| store.object(key)).collect();
            Ok(Listing {
                revision: Revision(store.revision),
                objects,
            })
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Vec<u8>,
        expected: Expected,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>> {
        Box::pin(async move { self.put_now(key.as_str(), &value, expected) })
    }

    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            let mut store = self.store.lock();
            store
                .write_if(key.as_str(), None, Some(expected))
                .map(|_| ())
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
        wait: Span,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>> {
        Box::pin(async move {
            {
                let mut store = self.store.lock();
                store.calls.watches += 1;
                store.enter()?;
            }
            let until = std::time::Instant::now() + wait.as_duration();
            loop {
                let (changes, told) = self.changes_or_wait(prefix, from)?;
                let left = until.saturating_duration_since(std::time::Instant::now());
                if !changes.changes.is_empty() || left.is_zero() || told.is_closed() {
                    return Ok(changes);
                }
                async_std::future::timeout(left, told.recv()).await.ok();
            }
        })
    }
}
