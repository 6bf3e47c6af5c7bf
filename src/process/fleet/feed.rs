//! Reads the platform's store for this instance and all that follow it, while it is the
//! one that does.

use std::sync::Arc;

use async_std::task::{sleep, spawn};
use indexmap::IndexMap;

use super::{Entry, EntryState, Node, Parent};
use crate::process::{Backoff, Change, Changes, Listing, Object, ObjectKey, PlatformError};
use crate::types::{Revision, Span, Timestamp};

/// How long a watch waits. A connection that went silent under it delays what it would
/// have told by this and the time that a call may take.
const WATCH_WAIT: Span = Span::from_millis(1_000);
/// How often it looks whether it is to read the store.
const LOOK: Span = Span::from_millis(100);
/// Changes that come close together are read with one call, since each call is billed.
const GATHER_CHANGES: Span = Span::from_millis(100);
/// While the store does not answer, each instance of so many adds one more pause to every
/// other's, so that their calls together stay few.
const INSTANCES_A_PAUSE: u64 = 8;
const FIRST_PAUSE: Span = Span::from_millis(50);
/// Configurations are in force within three seconds, and a pause is a part of that.
const MOST_PAUSE: Span = Span::from_millis(800);
/// Replicas that lapsed with an outage are back within two seconds of its end, so
/// whatever is deleted until then may only have lapsed.
const LAPSES_AFTER_OUTAGE: Span = Span::from_millis(2_200);

/// Reads the objects of one prefix.
struct Feed {
    node: Arc<Node>,
    prefix: &'static str,
    /// From where the watch goes on; a listing comes first.
    from: Option<Revision>,
    backoff: Backoff,
    failing: bool,
    outage_ended: Option<Timestamp>,
}

/// Starts to read, one task for each prefix.
pub(super) fn start(node: &Arc<Node>) {
    for prefix in node.meaning.prefixes() {
        let feed = Feed {
            node: Arc::clone(node),
            prefix,
            from: None,
            backoff: Backoff::new(FIRST_PAUSE, MOST_PAUSE),
            failing: false,
            outage_ended: None,
        };
        spawn(feed.run());
    }
}

impl Feed {
    async fn run(mut self) {
        loop {
            if !self.reads() {
                self.from = None;
                sleep(LOOK.as_duration()).await;
                continue;
            }
            if let Err(error) = self.read().await {
                self.failed(&error).await;
            }
        }
    }

    fn reads(&self) -> bool {
        let now = self.node.clock.now();
        let begun = self.node.book.lock().is_begun();
        let is_first = self.node.fleet.lock().parent(now) == Parent::Store;
        is_first && (begun || self.node.may_begin_alone(now))
    }

    async fn read(&mut self) -> Result<(), PlatformError> {
        let node = Arc::clone(&self.node);
        match self.from {
            None => {
                let listing = node.platform.list(self.prefix).await?;
                self.succeeded();
                self.from = Some(listing.revision);
                self.adopt_listing(listing);
            }
            Some(from) => {
                let changes = node.platform.watch(self.prefix, from, WATCH_WAIT).await?;
                self.succeeded();
                self.from = Some(changes.revision);
                if !changes.changes.is_empty() {
                    self.adopt_changes(changes);
                    sleep(GATHER_CHANGES.as_duration()).await;
                }
            }
        }
        node.via.lock().clear();
        node.heard_of(self.prefix);
        Ok(())
    }

    fn succeeded(&mut self) {
        self.backoff.reset();
        if self.failing {
            self.failing = false;
            self.outage_ended = Some(self.node.clock.now());
            tracing::info!(prefix = self.prefix, "the store answers again");
        }
    }

    async fn failed(&mut self, error: &PlatformError) {
        if *error == PlatformError::Compacted {
            tracing::info!(
                prefix = self.prefix,
                "the store's history is gone; lists anew"
            );
            self.from = None;
            return;
        }
        if !self.failing {
            self.failing = true;
            tracing::warn!(prefix = self.prefix, %error, "the store does not answer");
        }
        let now = self.node.clock.now();
        self.node.fleet.lock().shun_store(now);
        let all = self.node.fleet.lock().present().count() as u64;
        let pause = self.backoff.pause(&mut rand::rng());
        let pause = Span(pause.0 + pause.0 * all / INSTANCES_A_PAUSE);
        sleep(pause.as_duration()).await;
    }

    fn adopt_listing(&self, listing: Listing) {
        let keys: Vec<ObjectKey> = listing
            .objects
            .iter()
            .map(|object| object.key.clone())
            .collect();
        let missing = self
            .node
            .book
            .lock()
            .missing(self.prefix, &keys, listing.revision);
        let mut entries: Vec<Entry> = listing.objects.into_iter().map(held).collect();
        entries.extend(missing.iter().filter_map(|key| self.gone(key)));
        self.node.adopt(entries);
    }

    fn adopt_changes(&self, changes: Changes) {
        for batch in batches(changes.changes) {
            let entry = |change: Change| match change.object {
                Some(object) => Some(held(object)),
                None => self.gone(&change.key),
            };
            self.node
                .adopt(batch.into_iter().filter_map(entry).collect());
        }
    }

    fn gone(&self, key: &ObjectKey) -> Option<Entry> {
        let now = self.node.clock.now();
        let lapsed = self
            .outage_ended
            .is_some_and(|ended| now.since(ended) < LAPSES_AFTER_OUTAGE);
        let state = if lapsed {
            EntryState::Lapsed
        } else {
            EntryState::Gone
        };
        self.node.book.lock().gone(key, state)
    }
}

/// The changes in order, as few batches as possible with each key once in a batch: a
/// deletion is of the version that stood before it, and each batch costs a new catalog.
fn batches(changes: Vec<Change>) -> Vec<Vec<Change>> {
    let mut batches: Vec<IndexMap<ObjectKey, Change>> = Vec::new();
    for change in changes {
        match batches.last_mut() {
            Some(batch) if !batch.contains_key(&change.key) => {
                batch.insert(change.key.clone(), change);
            }
            _ => batches.push(IndexMap::from([(change.key.clone(), change)])),
        }
    }
    let values = |batch: IndexMap<_, Change>| batch.into_values().collect();
    batches.into_iter().map(values).collect()
}

fn held(object: Object) -> Entry {
    Entry {
        key: object.key,
        version: object.version,
        state: EntryState::Held(Arc::from(object.value)),
    }
}

#[cfg(test)]
#[path = "feed_tests.rs"]
mod feed_tests;
