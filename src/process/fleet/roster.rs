//! The replicas in use, from what the platform's objects state of them.
//!
//! A replica whose object lapsed with an outage of the store stays in use until the store
//! has had time to hear of it again, since its own heartbeats could not arrive.

use std::sync::Arc;

use indexmap::IndexMap;

use super::book::EntryState;
use crate::process::{ObjectKey, Replicas};
use crate::types::{ServiceName, Span, Timestamp, UpstreamName};
use crate::version::{RouteTable, UpstreamSpec};

/// Replicas that lapsed with an outage are heard of again within two seconds of its end,
/// as the platform states; this is when one that is not is taken as gone.
const LAPSED_FOR: Span = Span::from_millis(2_200);

/// What the platform states of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaEntry {
    pub(crate) service: ServiceName,
    pub(crate) spec: UpstreamSpec,
}

/// Every replica by the key of its object.
#[derive(Clone, Debug, Default)]
pub(crate) struct Roster {
    by_key: IndexMap<ObjectKey, Listed>,
}

#[derive(Clone, Debug)]
struct Listed {
    entry: ReplicaEntry,
    gone_at: Option<Timestamp>,
}

impl Roster {
    /// Follows one object: `entry` is what it states, if it names a replica. Returns the
    /// replica that no new leg may go to any more.
    pub(crate) fn follow(
        &mut self,
        now: Timestamp,
        key: &ObjectKey,
        state: &EntryState,
        entry: Option<ReplicaEntry>,
    ) -> Option<UpstreamName> {
        match (state, entry) {
            (EntryState::Held(_), Some(entry)) => {
                let name = entry.spec.name.clone();
                let leaving = entry.spec.leaving;
                let listed = Listed {
                    entry,
                    gone_at: None,
                };
                let before = self.by_key.insert(key.clone(), listed);
                let replaced = before.map(|before| before.entry.spec.name);
                replaced
                    .filter(|before| *before != name)
                    .or(leaving.then_some(name))
            }
            (EntryState::Lapsed, _) => {
                if let Some(listed) = self.by_key.get_mut(key) {
                    listed.gone_at.get_or_insert(now + LAPSED_FOR);
                }
                None
            }
            (EntryState::Gone, _) | (EntryState::Held(_), None) => self.remove(key),
        }
    }

    /// Drops the replicas that lapsed and were not heard of again in time.
    pub(crate) fn drop_lapsed(&mut self, now: Timestamp) -> Vec<UpstreamName> {
        let is_due = |listed: &Listed| listed.gone_at.is_some_and(|at| at <= now);
        let due: Vec<ObjectKey> = self
            .by_key
            .iter()
            .filter(|(_, listed)| is_due(listed))
            .map(|(key, _)| key.clone())
            .collect();
        due.iter().filter_map(|key| self.remove(key)).collect()
    }

    /// When the next lapsed replica is to be dropped.
    pub(crate) fn next_drop(&self) -> Option<Timestamp> {
        self.by_key
            .values()
            .filter_map(|listed| listed.gone_at)
            .min()
    }

    /// The replicas of each service, with the connections that the configuration allows.
    pub(crate) fn replicas(&self, table: &RouteTable) -> Replicas {
        let mut replicas = Replicas::new();
        for listed in self.by_key.values() {
            let service = &listed.entry.service;
            let Some(connections) = table.services.get(service) else {
                continue;
            };
            let spec = UpstreamSpec {
                connections: *connections,
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
#[path = "roster_tests.rs"]
mod roster_tests;
