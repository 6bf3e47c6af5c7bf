//! How an instance applies the platform's objects, whoever it received them from.

use std::sync::Arc;

use super::{Chunk, DecodedObject, Entry, LargeObject, Node, ObjectCache, ReplicaEntry, restore};
use crate::process::Catalog;
use crate::process::cells::MemberState;
use crate::types::{Era, Span, UpstreamName};
use crate::version::RouteTable;

impl Node {
    /// Applies entries from any source and makes a new catalog if any of them is newer than
    /// the known one.
    pub(super) fn apply_entries(&self, entries: Vec<Entry>) {
        let changed: Vec<Entry> = {
            let mut object_cache = self.object_cache.lock();
            let newer = entries.into_iter().filter_map(|entry| {
                let entry = self.reconcile(&object_cache, entry);
                object_cache.apply(entry.clone()).then_some(entry)
            });
            newer.collect()
        };
        if changed.is_empty() {
            return;
        }
        let mut table = None;
        let mut withdrawn = Vec::new();
        for entry in &changed {
            match self.decode(entry) {
                Some(DecodedObject::Routes(routes)) => table = Some(routes),
                Some(DecodedObject::Replica(replica)) => {
                    withdrawn.extend(self.update_replica(entry, Some(replica)));
                }
                None => withdrawn.extend(self.update_replica(entry, None)),
            }
        }
        self.replace_catalog(table, &withdrawn);
        self.notify_waiters();
    }

    fn reconcile(&self, object_cache: &ObjectCache, entry: Entry) -> Entry {
        match object_cache.known(&entry.key) {
            Some(known) => restore::reconcile(&*self.object_decoder, known, entry),
            None => entry,
        }
    }

    /// Records the era of the store that an answer states. Returns whether no later one is known, so
    /// that the answer may be used.
    pub(super) fn enter_era(&self, era: Era) -> bool {
        let (known, before) = {
            let mut object_cache = self.object_cache.lock();
            let before = object_cache.enter_era(era);
            (object_cache.era(), before)
        };
        if let Some(before) = before.filter(|before| *before != Era::default()) {
            tracing::warn!(%before, %era, "the store came back from an older copy");
        }
        self.engine.metrics.members.entered_era(known);
        era >= known
    }

    fn decode(&self, entry: &Entry) -> Option<DecodedObject> {
        let value = entry.state.value()?;
        let decoded = self.object_decoder.read(&entry.key, value);
        if let Err(error) = &decoded {
            tracing::warn!(key = %entry.key, version = %entry.version, %error, "an object could not be decoded");
        }
        decoded.ok()
    }

    fn update_replica(&self, entry: &Entry, replica: Option<ReplicaEntry>) -> Option<UpstreamName> {
        let now = self.clock.now();
        let mut replica_registry = self.replica_registry.lock();
        replica_registry.apply(now, &entry.key, &entry.state, replica)
    }

    /// Drops the replicas that lapsed with an outage and did not come back in time.
    pub(super) fn drop_lapsed(&self) {
        let now = self.clock.now();
        let withdrawn = {
            let mut replica_registry = self.replica_registry.lock();
            if replica_registry.next_drop().is_none_or(|at| at > now) {
                return;
            }
            replica_registry.drop_lapsed(now)
        };
        self.replace_catalog(None, &withdrawn);
    }

    /// Makes a new catalog of the configuration and the replicas. A configuration never
    /// goes back to an older version.
    fn replace_catalog(&self, table: Option<RouteTable>, withdrawn: &[UpstreamName]) {
        let replica_registry = self.replica_registry.lock();
        let mut catalog = self.catalog.lock();
        let newer = table.filter(|table| table.version > catalog.table.version);
        if let Some(table) = &newer {
            tracing::info!(version = %table.version, "a configuration is in force");
        }
        let table = newer.map_or_else(|| Arc::clone(&catalog.table), Arc::new);
        let replicas = replica_registry.replicas(&table);
        *catalog = Arc::new(Catalog::new(table, &replicas));
        drop(catalog);
        drop(replica_registry);
        for name in withdrawn {
            tracing::info!(upstream = %name, "no new legs go to a replica");
        }
        let mut upstreams = self.engine.tables.upstreams.lock();
        upstreams.withdraw(withdrawn, &replicas);
    }

    /// Records that the store itself confirmed everything under a prefix.
    pub(super) fn confirm_prefix(&self, prefix: &'static str) {
        let now = self.clock.now();
        if self.object_cache.lock().confirm_prefix(now, prefix) {
            self.become_ready_if_known();
        }
    }

    /// Applies what another instance sent of the objects. Returns whether every announced
    /// object has arrived in full.
    pub(super) fn apply_objects(
        &self,
        mut entries: Vec<Entry>,
        large: Vec<LargeObject>,
        chunks: &[Chunk],
    ) -> bool {
        {
            let mut object_cache = self.object_cache.lock();
            for object in large {
                object_cache.announce(object);
            }
            entries.extend(object_cache.add_chunks(chunks));
        }
        self.apply_entries(entries);
        !self.object_cache.lock().has_incoming()
    }

    /// Records that the sender of updates matched the store's state `age` ago. This does not
    /// initialize an instance that lacks a part of what the sender has.
    pub(super) fn confirm(&self, age: Span, has_everything: bool) {
        let now = self.clock.now();
        {
            let mut object_cache = self.object_cache.lock();
            if !has_everything && !object_cache.is_initialized() {
                return;
            }
            object_cache.confirm(now, age);
        }
        if self.fleet.lock().may_serve_with(now, age) {
            self.become_ready_if_known();
        }
    }

    /// Makes a joining instance live once a configuration is known.
    fn become_ready_if_known(&self) {
        let is_joining = self.fleet.lock().me().member.state == MemberState::Joining;
        if is_joining && self.catalog().is_known() {
            tracing::info!("ready for callers");
            self.set_state(MemberState::Live);
        }
    }
}
