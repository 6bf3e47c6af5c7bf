//! Counts a connection's request while it is under way, so that a planned stop waits
//! until its reply is written.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::process::Instance;

/// The request that is under way on one connection, if there is one.
#[derive(Debug)]
pub(super) struct Active {
    instance: Arc<Instance>,
    under_way: AtomicBool,
}

impl Active {
    pub(super) fn new(instance: &Arc<Instance>) -> Self {
        Self {
            instance: Arc::clone(instance),
            under_way: AtomicBool::new(false),
        }
    }

    pub(super) fn begin(&self) {
        if !self.under_way.swap(true, Ordering::Relaxed) {
            self.instance.shutdown.lock().begin_request();
        }
    }

    pub(super) fn end(&self) {
        if self.under_way.swap(false, Ordering::Relaxed) {
            self.instance.shutdown.lock().end_request();
        }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.end();
    }
}
