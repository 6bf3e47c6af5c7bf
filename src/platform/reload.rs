//! Applies changes of the settings file while the process runs, on a signal or by polling.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use async_signal::Signals;
use async_std::future::timeout;
use futures::StreamExt;

use super::settings;
use crate::process::{Node, NodeSettings};

/// The platform may change the file without a signal, so the file is polled. No bound is stated
/// for how soon such a change must apply.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Checks the file for changes on each signal and at every poll interval.
pub(super) async fn watch_settings(node: Arc<Node>, path: PathBuf, mut reload_signals: Signals) {
    let mut current = settings::read(&path).ok();
    loop {
        let signalled = timeout(POLL_INTERVAL, reload_signals.next()).await.is_ok();
        let text = settings::read(&path);
        if text.as_ref().ok() == current.as_ref() {
            if signalled {
                tracing::info!("reload requested, but the settings have not changed");
            }
            continue;
        }
        current = text.as_ref().ok().cloned();
        match text.and_then(|text| load(&path, &text)) {
            Ok(settings) => {
                node.reload(&settings);
                tracing::info!("applied the changed settings");
            }
            Err(error) => {
                let error = format!("{error:#}");
                tracing::error!(%error, "the changed settings are not valid; keeping the current ones");
            }
        }
    }
}

fn load(path: &Path, text: &[u8]) -> anyhow::Result<NodeSettings> {
    NodeSettings::try_from(&settings::parse(path, text)?)
}
