//! Keeps the directory and the cells up to date with the platform's objects.
//!
//! Only a leader, or an instance that has none, watches the platform; see `docs/DESIGN.md`,
//! "Membership".

use std::sync::Arc;

use super::cell_wire::CELL_PREFIX;
use super::cells::Summary;
use super::poison::{self, POISON_PREFIX};
use super::{Backoff, Instance, Object, PlatformError};
use crate::types::{ConfigVersion, Span};
use crate::version::{Class, ClassesWire, Directory, Index, IndexWire};

/// The key of the object that holds all classes.
pub(crate) const CLASSES_KEY: &str = "config/classes";
const CONFIG_PREFIX: &str = "config/";
const INDEX_PREFIX: &str = "indexes/";
/// The prefixes whose objects an instance needs before it serves.
pub(crate) const REQUIRED_PREFIXES: [&str; 2] = [CONFIG_PREFIX, INDEX_PREFIX];
const WATCH_WAIT: Span = Span::from_millis(1_500);
const INITIAL_PAUSE: Span = Span::from_millis(100);
const MAX_PAUSE: Span = Span::from_secs(1);
const PAUSE_BETWEEN_WATCHES: Span = Span::from_millis(100);

/// Follows the platform until the process ends, with one watch for each prefix.
pub(crate) fn spawn(instance: &Arc<Instance>) {
    for prefix in [CONFIG_PREFIX, INDEX_PREFIX, CELL_PREFIX, POISON_PREFIX] {
        async_std::task::spawn(follow(Arc::clone(instance), prefix));
    }
}

async fn follow(instance: Arc<Instance>, prefix: &'static str) {
    let mut backoff = Backoff::new(INITIAL_PAUSE, MAX_PAUSE);
    loop {
        if !reads_platform(&instance) {
            backoff.reset();
        } else if let Err(error) = follow_once(&instance, prefix, &mut backoff).await {
            tracing::debug!(%error, prefix, "could not follow the platform; listing again");
        }
        let pause = backoff.pause(&mut rand::rng());
        async_std::task::sleep(pause.as_duration()).await;
    }
}

fn reads_platform(instance: &Instance) -> bool {
    let now = instance.clock.now();
    instance.members.lock().reads_platform(now)
}

async fn follow_once(
    instance: &Instance,
    prefix: &'static str,
    backoff: &mut Backoff,
) -> Result<(), PlatformError> {
    let listing = instance.platform.list(prefix).await?;
    backoff.reset();
    for object in &listing.objects {
        adopt(instance, object);
    }
    record_contact(instance, Some(prefix));
    let mut revision = listing.revision;
    while reads_platform(instance) {
        let changes = instance
            .platform
            .watch(prefix, revision, WATCH_WAIT)
            .await?;
        for object in changes
            .changes
            .iter()
            .filter_map(|change| change.object.as_ref())
        {
            adopt(instance, object);
        }
        record_contact(instance, None);
        revision = changes.revision;
        async_std::task::sleep(PAUSE_BETWEEN_WATCHES.as_duration()).await;
    }
    Ok(())
}

fn record_contact(instance: &Instance, prefix: Option<&'static str>) {
    let now = instance.clock.now();
    instance.members.lock().on_platform_reply(now, prefix);
}

/// Applies an object from the platform or a peer, unless the known version is as new.
pub(crate) fn adopt(instance: &Instance, object: &Object) {
    let key = object.key.as_str();
    let adopted = if key.starts_with(CELL_PREFIX) {
        adopt_cell(instance, object)
    } else if key.starts_with(POISON_PREFIX) {
        adopt_poison(instance, object)
    } else {
        adopt_version(instance, object)
    };
    if let Err(error) = adopted {
        tracing::warn!(key = %object.key, %error, "ignoring an object that could not be applied");
    }
}

fn adopt_cell(instance: &Instance, object: &Object) -> anyhow::Result<()> {
    let summary = Summary::from_json(&object.value)?;
    instance.members.lock().adopt_summary(&summary);
    Ok(())
}

fn adopt_poison(instance: &Instance, object: &Object) -> anyhow::Result<()> {
    poison::adopt(instance, object)?;
    let config = ConfigVersion::default();
    instance.members.lock().adopt_object(object, config);
    Ok(())
}

fn adopt_version(instance: &Instance, object: &Object) -> anyhow::Result<()> {
    let mut directory = instance.engine.tables.directory.lock();
    if let Some(next) = read(&directory, object)? {
        let config = next.config;
        *directory = Arc::new(next);
        instance.members.lock().adopt_object(object, config);
    }
    Ok(())
}

fn read(directory: &Directory, object: &Object) -> anyhow::Result<Option<Directory>> {
    let key = object.key.as_str();
    if key == CLASSES_KEY {
        let wire: ClassesWire = serde_json::from_slice(&object.value)?;
        let classes = wire
            .classes
            .iter()
            .map(Class::try_from)
            .collect::<Result<_, _>>()?;
        return Ok(directory.with_classes(ConfigVersion(object.version.0), classes));
    }
    if key.starts_with(INDEX_PREFIX) {
        let wire: IndexWire = serde_json::from_slice(&object.value)?;
        return Ok(directory.with_index(Index::try_from((&wire, object.version))?));
    }
    Ok(None)
}
