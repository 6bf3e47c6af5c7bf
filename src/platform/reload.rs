//! Takes over settings that change while the process runs, on a signal or without one.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use async_signal::Signals;
use async_std::future::timeout;
use futures::StreamExt;

use super::settings;
use crate::process::{Node, NodeSettings};

/// The platform may change the file without a signal; no bound is stated for that.
const LOOK: Duration = Duration::from_secs(5);

/// Looks at the file on each signal, and now and then without one.
pub(super) async fn follow(node: Arc<Node>, path: PathBuf, mut hangups: Signals) {
    let mut known = settings::read(&path).ok();
    loop {
        let told = timeout(LOOK, hangups.next()).await.is_ok();
        let text = settings::read(&path);
        if text.as_ref().ok() == known.as_ref() {
            if told {
                tracing::info!("told to reload; the settings are the same");
            }
            continue;
        }
        known = text.as_ref().ok().cloned();
        match text.and_then(|text| load(&path, &text)) {
            Ok(settings) => {
                node.reload(&settings);
                tracing::info!("took over changed settings");
            }
            Err(error) => {
                let error = format!("{error:#}");
                tracing::error!(%error, "the changed settings are wrong; those in use stay");
            }
        }
    }
}

fn load(path: &Path, text: &[u8]) -> anyhow::Result<NodeSettings> {
    NodeSettings::try_from(&settings::parse(path, text)?)
}
