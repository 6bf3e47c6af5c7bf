//! The replicas in use, as the platform's objects describe them.
//!
//! A replica whose object lapsed in an outage of the store stays in use until it has had
//! time to register again, since its heartbeats could not reach the store.

use std::sync::Arc;

use indexmap::IndexMap;

use super::EntryState;
use crate::process::{ObjectKey, Replicas};
use crate::types::{ServiceName, Span, Timestamp, UpstreamName};
use crate::version::{RouteTable, UpstreamSpec};

/// How long a lapsed replica stays in use. The platform states that replicas which lapsed
/// with an outage register again within two seconds of its end.
const LAPSE_GRACE: Span = Span::from_millis(2_200);

/// The platform's description of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaEntry {
    pub(crate) service: ServiceName,
    pub(crate) spec: UpstreamSpec,
}

/// Every replica by the key of its object.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaRegistry {
    by_key: IndexMap<ObjectKey, ListedReplica>,
}

#[derive(Clone, Debug)]
struct ListedReplica {
    entry: ReplicaEntry,
    drop_at: Option<Timestamp>,
}

impl ReplicaRegistry {
    /// Applies the state of one object; `entry` is the replica that it describes, if any.
    /// Returns the replica that must get no new legs any more.
    pub(crate) fn apply(
        &mut self,
        now: Timestamp,
        key: &ObjectKey,
        state: &EntryState,
        entry: Option<ReplicaEntry>,
    ) -> Option<UpstreamName> {
        match (state, entry) {
            (EntryState::Present(_) | EntryState::Kept(..), Some(entry)) => {
                let name = entry.spec.name.clone();
                let leaving = entry.spec.leaving;
                let listed = ListedReplica {
                    entry,
                    drop_at: None,
                };
                let previous = self.by_key.insert(key.clone(), listed);
                let replaced = previous.map(|previous| previous.entry.spec.name);
                replaced
                    .filter(|previous| *previous != name)
                    .or(leaving.then_some(name))
            }
            (EntryState::Lapsed, _) => {
                if let Some(listed) = self.by_key.get_mut(key) {
                    listed.drop_at.get_or_insert(now + LAPSE_GRACE);
                }
                None
            }
            (EntryState::Gone(_), _) | (EntryState::Present(_) | EntryState::Kept(..), None) => {
                self.remove(key)
            }
        }
    }

    /// Drops the replicas that lapsed and did not register again in time, and returns them.
    pub(crate) fn drop_lapsed(&mut self, now: Timestamp) -> Vec<UpstreamName> {
        let is_due = |listed: &ListedReplica| listed.drop_at.is_some_and(|at| at <= now);
        let due: Vec<ObjectKey> = self
            .by_key
            .iter()
            .filter(|(_, listed)| is_due(listed))
            .map(|(key, _)| key.clone())
            .collect();
        due.iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Returns when the next lapsed replica has to be dropped.
    pub(crate) fn next_drop(&self) -> Option<Timestamp> {
        self.by_key
            .values()
            .filter_map(|listed| listed.drop_at)
            .min()
    }

    /// Returns the replicas of each service, with the number of connections that the
    /// configuration allows.
    pub(crate) fn replicas(&self, table: &RouteTable) -> Replicas {
        let mut replicas = Replicas::new();
        for listed in self.by_key.values() {
            let service = &listed.entry.service;
            let Some(configured) = table.services.get(service) else {
                continue;
            };
            let spec = UpstreamSpec {
                connections: configured.max_connections,
                ..listed.entry.spec.clone()
            };
            let of_service = replicas.entry(service.clone()).or_default();
            of_service.push(Arc::new(spec));
        }
        replicas
    }

    fn remove(&mut self, key: &ObjectKey) -> Option<UpstreamName> {
        let removed = self.by_key.swap_remove(key)?;
        Some(removed.entry.spec.name)
    }
}

#[cfg(test)]
#[path = "replica_registry_tests.rs"]
mod replica_registry_tests;
