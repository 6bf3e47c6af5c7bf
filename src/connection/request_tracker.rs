//! Counts a connection's request as active until its response is written, so that a
//! graceful shutdown waits for it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::process::Instance;

/// Tracks whether a request is in flight on one connection.
#[derive(Debug)]
pub(super) struct RequestTracker {
    instance: Arc<Instance>,
    in_flight: AtomicBool,
}

impl RequestTracker {
    pub(super) fn new(instance: &Arc<Instance>) -> Self {
        Self {
            instance: Arc::clone(instance),
            in_flight: AtomicBool::new(false),
        }
    }

    pub(super) fn begin(&self) {
        if !self.in_flight.swap(true, Ordering::Relaxed) {
            self.instance.shutdown.lock().begin_request();
        }
    }

    pub(super) fn end(&self) {
        if self.in_flight.swap(false, Ordering::Relaxed) {
            self.instance.shutdown.lock().end_request();
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        self.end();
    }
}
