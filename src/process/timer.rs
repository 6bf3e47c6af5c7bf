//! Wakes queries at the times they requested, from one thread that sleeps in between.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::thread;

use parking_lot::Condvar;

use super::{Clock, Engine, Job, Rank, Ranked};
use crate::types::{QueryId, Timestamp};

/// The times at which to wake queries, earliest first.
#[derive(Debug)]
pub(crate) struct Timer {
    queue: Ranked<Queue>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Queue {
    times: BinaryHeap<Reverse<(Timestamp, QueryId)>>,
}

impl Timer {
    pub(crate) fn new() -> Self {
        Self {
            queue: Ranked::new(Rank::Timer, Queue::default()),
            changed: Condvar::new(),
        }
    }

    /// Schedules a wake-up of a query.
    pub(crate) fn wake_at(&self, at: Timestamp, query: QueryId) {
        let mut queue = self.queue.lock();
        let is_first = queue
            .times
            .peek()
            .is_none_or(|Reverse((first, _))| at < *first);
        queue.times.push(Reverse((at, query)));
        if is_first {
            self.changed.notify_one();
        }
    }

    /// Starts the thread that submits a [`Job::Wake`] for each expired time.
    pub(crate) fn spawn(engine: &Arc<Engine>) -> std::io::Result<()> {
        let engine = Arc::clone(engine);
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || engine.timer.run(&engine))
            .map(drop)
    }

    fn run(&self, engine: &Arc<Engine>) {
        loop {
            for query in self.wait_for_due(engine.clock) {
                if !engine.submit_blocking(Job::Wake(query)) {
                    return;
                }
            }
        }
    }

    /// Blocks until at least one time has expired and returns the queries to wake.
    fn wait_for_due(&self, clock: Clock) -> Vec<QueryId> {
        let mut queue = self.queue.lock();
        loop {
            let due = queue.take_due(clock.now());
            if !due.is_empty() {
                return due;
            }
            match queue.times.peek() {
                Some(Reverse((first, _))) => {
                    let until = clock.instant(*first);
                    queue.wait_until(&self.changed, until);
                }
                None => queue.wait(&self.changed),
            }
        }
    }
}

impl Queue {
    fn take_due(&mut self, now: Timestamp) -> Vec<QueryId> {
        let mut due = Vec::new();
        while let Some(Reverse((at, query))) = self.times.peek().copied() {
            if at > now {
                break;
            }
            self.times.pop();
            due.push(query);
        }
        due
    }
}
