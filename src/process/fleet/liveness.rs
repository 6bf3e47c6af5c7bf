//! Checks whether the upstreams that a poison request lost are alive.
//!
//! Replies to other requests show it as well. But a service may have no other requests, and a request
//! that is refused gets no reply. See `docs/DESIGN.md`, "Poison requests".

use std::sync::Arc;

use async_std::task::sleep;
use rand::Rng;

use super::Node;
use crate::types::{Span, UpstreamName};

const CHECK_INTERVAL: Span = Span::from_millis(500);
/// In a larger fleet each instance checks more rarely, which bounds the checks of one upstream.
const INSTANCES_AT_INTERVAL: usize = 8;

/// Checks upstreams until the process ends.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        let live = node.fleet.lock().present().count();
        let longest = CHECK_INTERVAL.0 * live.div_ceil(INSTANCES_AT_INTERVAL).max(1) as u64;
        let interval = rand::rng().random_range(longest / 2..=longest);
        sleep(Span(interval).as_duration()).await;
        let now = node.clock.now();
        let upstreams = node.engine.tables.suspects.lock().upstreams_to_check(now);
        for upstream in upstreams {
            check(&node, &upstream).await;
        }
    }
}

async fn check(node: &Node, name: &UpstreamName) {
    let catalog = node.catalog();
    let Some((service, upstream)) = catalog.upstream(name) else {
        return;
    };
    let configured = catalog.table.services.get(service);
    let Some(path) = configured.and_then(|service| service.health_path.as_deref()) else {
        return;
    };
    let sent = node.clock.now();
    let alive = node.engine.transport.check_health(upstream, path).await;
    if alive {
        node.engine.tables.suspects.lock().survived(sent, name);
    }
    if let Some(suppressed) = node.engine.may_log() {
        tracing::info!(upstream = %name, alive, left_out = suppressed, "checks an upstream that a request in quarantine lost");
    }
}
