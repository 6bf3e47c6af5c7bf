//! Keeps the directory in step with the platform's objects.

use std::sync::Arc;

use super::{Backoff, Instance, Object, PlatformError};
use crate::types::{ConfigVersion, Revision, Span};
use crate::version::{Class, ClassesWire, Directory, Index, IndexWire};

/// The key of the object that holds all classes.
pub(crate) const CLASSES_KEY: &str = "config/classes";
const INDEX_PREFIX: &str = "indexes/";
const ALL_PREFIX: &str = "";
const WATCH_WAIT: Span = Span::from_secs(20);
const FIRST_PAUSE: Span = Span::from_millis(100);
const LONGEST_PAUSE: Span = Span::from_secs(1);

/// Follows the platform until the process ends.
pub(crate) async fn follow(instance: Arc<Instance>) {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    loop {
        if let Err(error) = follow_once(&instance, &mut backoff).await {
            tracing::debug!(%error, "following the platform begins again");
        }
        let pause = backoff.pause(&mut rand::rng());
        async_std::task::sleep(pause.as_duration()).await;
    }
}

async fn follow_once(instance: &Instance, backoff: &mut Backoff) -> Result<(), PlatformError> {
    let listing = instance.platform.list(ALL_PREFIX).await?;
    backoff.reset();
    for object in &listing.objects {
        adopt(instance, object);
    }
    let mut revision: Revision = listing.revision;
    loop {
        let changes = instance
            .platform
            .watch(ALL_PREFIX, revision, WATCH_WAIT)
            .await?;
        for object in changes
            .changes
            .iter()
            .filter_map(|change| change.object.as_ref())
        {
            adopt(instance, object);
        }
        revision = changes.revision;
    }
}

fn adopt(instance: &Instance, object: &Object) {
    let mut directory = instance.tables.directory.lock();
    match read(&directory, object) {
        Ok(Some(next)) => *directory = Arc::new(next),
        Ok(None) => {}
        Err(error) => tracing::warn!(key = %object.key, %error, "an object is ignored"),
    }
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
