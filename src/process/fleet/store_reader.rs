//! Reads the platform's store for this instance and its followers, while this instance is
//! the one that reads it.

use std::sync::Arc;

use async_std::task::{sleep, spawn};
use indexmap::IndexMap;

use super::outage::LastOutage;
use super::{Entry, EntryState, EntryVersion, Node, ObjectCache, ObjectDecoder, restore};
use crate::process::{Backoff, Change, Changes, Listing, Object, ObjectKey, PlatformError};
use crate::types::{Era, ObjectVersion, Revision, Span};

/// How long a watch waits for changes. When a connection goes silent during a watch, its
/// changes are delayed by this and by the timeout of a call.
const WATCH_WAIT: Span = Span::from_millis(1_000);
/// How often an instance that does not read the store checks whether it should.
const ROLE_CHECK_INTERVAL: Span = Span::from_millis(100);
/// The pause after changes, so that changes close together are read with one call: each
/// call is billed.
const BATCHING_DELAY: Span = Span::from_millis(100);
const INITIAL_PAUSE: Span = Span::from_millis(50);
/// Configurations must be in force within three seconds, and a pause uses up part of that.
const MAX_PAUSE: Span = Span::from_millis(800);
/// Entries lapse when several heartbeats were missed. A shorter time without the store is only a
/// change of the reader, after which removed replicas have to be dropped at once.
const MIN_LAPSING_OUTAGE: Span = Span::from_secs(2);
/// Reads the objects of one prefix.
struct PrefixReader {
    node: Arc<Node>,
    prefix: &'static str,
    /// The era and the revision from which the watch continues; none before the first listing.
    watch_from: Option<(Era, Revision)>,
    backoff: Backoff,
    outage: LastOutage,
}

/// Starts one reading task for each prefix.
pub(super) fn start(node: &Arc<Node>) {
    for prefix in node.object_decoder.prefixes() {
        spawn(PrefixReader::new(node, prefix).run());
    }
}

impl PrefixReader {
    fn new(node: &Arc<Node>, prefix: &'static str) -> Self {
        Self {
            node: Arc::clone(node),
            prefix,
            watch_from: None,
            backoff: Backoff::new(INITIAL_PAUSE, MAX_PAUSE),
            outage: LastOutage::default(),
        }
    }

    async fn run(mut self) {
        loop {
            if !self.should_read() {
                self.watch_from = None;
                sleep(ROLE_CHECK_INTERVAL.as_duration()).await;
                continue;
            }
            if let Err(error) = self.read().await {
                self.on_failure(&error).await;
            }
        }
    }

    fn should_read(&self) -> bool {
        let now = self.node.clock.now();
        let initialized = self.node.object_cache.lock().is_initialized();
        let reads_store = self.node.fleet.lock().reads_store(now);
        reads_store && (initialized || self.node.may_bootstrap_from_store(now))
    }

    async fn read(&mut self) -> Result<(), PlatformError> {
        let node = Arc::clone(&self.node);
        match self.watch_from {
            None => {
                self.begin_to_read();
                let listing = node.platform.list(self.prefix).await?;
                if !node.enter_era(listing.era) {
                    return Err(PlatformError::EraChanged);
                }
                self.on_success();
                self.watch_from = Some((listing.era, listing.revision));
                self.apply_listing(listing);
            }
            Some((era, revision)) => {
                let changes = node
                    .platform
                    .watch(self.prefix, revision, WATCH_WAIT)
                    .await?;
                // Revisions of another era may exist in this one too, and stand for other changes.
                if changes.era != era || !node.enter_era(era) {
                    return Err(PlatformError::EraChanged);
                }
                self.on_success();
                self.watch_from = Some((era, changes.revision));
                if !changes.changes.is_empty() {
                    self.apply_changes(changes);
                    sleep(BATCHING_DELAY.as_duration()).await;
                }
            }
        }
        node.via.lock().clear();
        node.confirm_prefix(self.prefix);
        Ok(())
    }

    /// An instance that reads in the place of the reader has not seen an outage itself.
    fn begin_to_read(&mut self) {
        let now = self.node.clock.now();
        let age = self.node.object_cache.lock().age(now);
        let replaces_reader = self.node.fleet.lock().choice.replaces_reader(now);
        if replaces_reader && age.is_none_or(|age| age >= MIN_LAPSING_OUTAGE) {
            self.outage.begin();
        }
    }

    fn on_success(&mut self) {
        self.backoff.reset();
        let now = self.node.clock.now();
        self.node.fleet.lock().on_store_success(now);
        if self.outage.end(now) {
            tracing::info!(prefix = self.prefix, "the store answers again");
        }
    }

    async fn on_failure(&mut self, error: &PlatformError) {
        match error {
            PlatformError::Compacted => {
                tracing::info!(
                    prefix = self.prefix,
                    "the watch revision was compacted; listing again"
                );
                self.watch_from = None;
                return;
            }
            PlatformError::EraChanged => {
                tracing::info!(
                    prefix = self.prefix,
                    "the revisions are of another era of the store; listing again"
                );
                self.watch_from = None;
                let pause = self.backoff.pause(&mut rand::rng());
                sleep(pause.as_duration()).await;
                return;
            }
            _ => {}
        }
        if self.outage.begin() {
            tracing::warn!(prefix = self.prefix, %error, "the store does not answer");
        }
        let now = self.node.clock.now();
        let pause = self.backoff.pause(&mut rand::rng());
        self.node.fleet.lock().on_store_failure(now, pause);
        // If this instance is a delegate, the reader that waits for its answer can try another.
        self.node.notify_waiters();
        sleep(pause.as_duration()).await;
    }

    fn apply_listing(&self, listing: Listing) {
        let deleted = self.outage.deleted_state(self.node.clock.now());
        let entries = {
            let object_cache = self.node.object_cache.lock();
            let decoder = &*self.node.object_decoder;
            entries_of_listing(&object_cache, decoder, self.prefix, listing, &deleted)
        };
        self.node.apply_entries(entries);
    }

    fn apply_changes(&self, changes: Changes) {
        let deleted = self.outage.deleted_state(self.node.clock.now());
        let era = changes.era;
        for batch in batches(changes.changes) {
            let entries = batch
                .into_iter()
                .map(|change| entry_of(change, era, &deleted));
            self.node.apply_entries(entries.collect());
        }
    }
}

/// Returns the entries of all listed objects, and of the known ones that the listing lacks. In the
/// same era these were deleted at its revision at the latest, and a registration after it has a later
/// version.
fn entries_of_listing(
    object_cache: &ObjectCache,
    decoder: &dyn ObjectDecoder,
    prefix: &str,
    listing: Listing,
    deleted: &EntryState,
) -> Vec<Entry> {
    let era = listing.era;
    let keys: Vec<ObjectKey> = listing
        .objects
        .iter()
        .map(|object| object.key.clone())
        .collect();
    let version = EntryVersion::new(era, ObjectVersion(listing.revision.0));
    let missing = object_cache.missing_from_listing(prefix, &keys, version);
    let missing = missing.into_iter().map(|known| Entry {
        key: known.key.clone(),
        version,
        state: restore::state_of_missing(decoder, known, era, deleted),
    });
    let objects = listing.objects.into_iter();
    let present = objects.map(|object| present_entry(object, era));
    present.chain(missing).collect()
}

/// Returns the entry of a change. The version at which an object was deleted orders the deletion
/// among its registrations, whichever of them is known already.
fn entry_of(change: Change, era: Era, deleted: &EntryState) -> Entry {
    match change.object {
        Some(object) => present_entry(object, era),
        None => Entry {
            key: change.key,
            version: EntryVersion::new(era, change.version),
            state: deleted.clone(),
        },
    }
}

/// Splits changes into as few batches as possible, in order, with each key at most once in
/// a batch, since each batch costs a new catalog.
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

fn present_entry(object: Object, era: Era) -> Entry {
    Entry {
        key: object.key,
        version: EntryVersion::new(era, object.version),
        state: EntryState::Present(Arc::from(object.value)),
    }
}

#[cfg(test)]
#[path = "store_reader_tests.rs"]
mod store_reader_tests;
