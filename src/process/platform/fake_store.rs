//! The state of the in-memory platform: versioned objects, the change log, injected faults
//! and call counts.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use async_std::channel::Sender;
use indexmap::IndexMap;
use serde_json::Value;

use super::{Change, Changes, Era, Object, ObjectKey, ObjectVersion, PlatformError, Revision};
use super::{ListedInstance, Listing};

const SECOND: Duration = Duration::from_secs(1);

/// Faults to inject; a count decreases by one with each call it affects.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Every call fails, and no write takes effect.
    pub(crate) down: bool,
    /// Extra latency of every call.
    pub(crate) slow: Duration,
    /// Number of calls to shed.
    pub(crate) busy: u32,
    /// Number of writes that take effect but lose their reply.
    pub(crate) lose_replies: u32,
    /// Number of writes that are lost before they take effect, which their sender cannot
    /// distinguish from a lost reply.
    pub(crate) lose_writes: u32,
    /// Number of watches that end early with no change.
    pub(crate) end_watches: u32,
}

/// Number of calls of each kind, and the maximum within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Calls {
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    pub(crate) watches: u64,
    pub(crate) peak_reads: u64,
    pub(crate) peak_writes: u64,
}

/// Maximum calls per second; further calls are shed. A watch counts as a read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    pub(crate) reads: u64,
    pub(crate) writes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    Read,
    Write,
    Watch,
}

/// What a copy of the store holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreCopy {
    revision: u64,
    compacted: u64,
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<(u64, String)>,
}

#[derive(Debug, Default)]
pub(super) struct Store {
    /// Everything that is lost when the store comes back from a copy.
    content: StoreCopy,
    /// The number of the era, or 0 if the store states none.
    pub(super) era: u64,
    pub(super) instances: Vec<(Instant, Vec<ListedInstance>)>,
    pub(super) instances_lag: Duration,
    pub(super) conflicting_writes: VecDeque<(String, Value)>,
    pub(super) faults: Faults,
    pub(super) calls: Calls,
    pub(super) rates: Option<Rates>,
    current_second: Option<(Instant, u64, u64)>,
    watchers: Vec<Sender<()>>,
}

impl Store {
    /// Counts a call, and fails it if a fault is injected or a rate is exceeded.
    pub(super) fn admit(&mut self, call: Call) -> Result<(), PlatformError> {
        let within_rates = self.count(call);
        if self.faults.down {
            return Err(unreachable());
        }
        if consume(&mut self.faults.busy) || !within_rates {
            return Err(PlatformError::Busy);
        }
        Ok(())
    }

    /// Counts a call; returns whether the rates of the current second are kept.
    fn count(&mut self, call: Call) -> bool {
        let now = Instant::now();
        let (started, mut reads, mut writes) = self
            .current_second
            .filter(|(started, ..)| now.duration_since(*started) < SECOND)
            .unwrap_or((now, 0, 0));
        match call {
            Call::Read => self.calls.reads += 1,
            Call::Write => self.calls.writes += 1,
            Call::Watch => self.calls.watches += 1,
        }
        if call == Call::Write {
            writes += 1;
        } else {
            reads += 1;
        }
        self.current_second = Some((started, reads, writes));
        self.calls.peak_reads = self.calls.peak_reads.max(reads);
        self.calls.peak_writes = self.calls.peak_writes.max(writes);
        self.rates
            .is_none_or(|rates| reads <= rates.reads && writes <= rates.writes)
    }

    pub(super) fn write(&mut self, key: &str, value: Option<Vec<u8>>) -> u64 {
        self.content.revision += 1;
        self.content
            .history
            .push((self.content.revision, key.to_owned()));
        match value {
            Some(value) => self
                .content
                .objects
                .insert(key.to_owned(), (self.content.revision, value)),
            None => self.content.objects.remove(key),
        };
        self.watchers.clear();
        self.content.revision
    }

    pub(super) fn write_if(
        &mut self,
        key: &str,
        value: Option<Vec<u8>>,
        expected: Option<ObjectVersion>,
    ) -> Result<u64, PlatformError> {
        if let Some((other_key, value)) = self.conflicting_writes.pop_front() {
            let bytes = serde_json::to_vec(&value).expect("a JSON value");
            self.write(&other_key, Some(bytes));
        }
        if consume(&mut self.faults.lose_writes) {
            return Err(outcome_unknown());
        }
        let found = self.content.objects.get(key).map(|(version, _)| *version);
        if found != expected.map(|version| version.0) {
            return Err(PlatformError::Conflict);
        }
        let version = self.write(key, value);
        if consume(&mut self.faults.lose_replies) {
            return Err(outcome_unknown());
        }
        Ok(version)
    }

    pub(super) fn object(&self, key: &str) -> Option<Object> {
        let (version, value) = self.content.objects.get(key)?;
        Some(Object {
            key: ObjectKey::new(key),
            version: ObjectVersion(*version),
            value: value.clone(),
        })
    }

    pub(super) fn list(&self, prefix: &str) -> Listing {
        let objects = self
            .content
            .objects
            .keys()
            .filter_map(|key| self.object(key));
        Listing {
            era: Era(self.era),
            revision: Revision(self.content.revision),
            objects: objects
                .filter(|object| object.key.is_under(prefix))
                .collect(),
        }
    }

    pub(super) fn copy(&self) -> StoreCopy {
        self.content.clone()
    }

    /// Comes back from a copy, which begins an era. Watches that wait go on in it.
    pub(super) fn restore(&mut self, copy: StoreCopy) {
        self.content = copy;
        self.era += 1;
        self.wake_watches();
    }

    /// Returns the newest list of instances that is at least as old as the lag.
    pub(super) fn listed_instances(&self) -> Vec<ListedInstance> {
        let old_enough = |since: &Instant| since.elapsed() >= self.instances_lag;
        let listed = self.instances.iter().rev();
        let mut listed = listed.filter(|(since, _)| old_enough(since));
        listed
            .next()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    /// Returns the changes after `from`; if there are none, keeps `watcher` and drops it at
    /// the next change.
    pub(super) fn changes(
        &mut self,
        prefix: &str,
        from: Revision,
        watcher: Sender<()>,
    ) -> Result<Changes, PlatformError> {
        if self.faults.down {
            return Err(unreachable());
        }
        let is_lost = from.0 > self.content.revision;
        if from.0 < self.content.compacted || is_lost {
            return Err(PlatformError::Compacted);
        }
        let changes = self.changes_since(prefix, from);
        if changes.is_empty() {
            self.watchers.push(watcher);
        }
        Ok(Changes {
            era: Era(self.era),
            revision: Revision(self.content.revision),
            changes,
        })
    }

    fn changes_since(&self, prefix: &str, from: Revision) -> Vec<Change> {
        let mut latest: IndexMap<ObjectKey, u64> = IndexMap::new();
        for (revision, key) in &self.content.history {
            let key = ObjectKey::new(key);
            if *revision > from.0 && key.is_under(prefix) {
                latest.insert(key, *revision);
            }
        }
        latest
            .into_iter()
            .map(|(key, revision)| Change {
                object: self.object(key.as_str()),
                version: ObjectVersion(revision),
                key,
            })
            .collect()
    }

    pub(super) fn compact(&mut self) {
        self.content.compacted = self.content.revision;
        self.content.history.clear();
        self.wake_watches();
    }

    pub(super) fn wake_watches(&mut self) {
        self.watchers.clear();
    }
}

/// Consumes one occurrence of a counted fault; returns whether there was one.
pub(super) fn consume(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

fn unreachable() -> PlatformError {
    PlatformError::Unreachable("injected outage".to_owned())
}

fn outcome_unknown() -> PlatformError {
    PlatformError::Unsettled("injected reply loss".to_owned())
}
