//! The worker pool: threads that take jobs from one queue and run them on the shared
//! tables. An idle worker blocks on the queue.

use std::sync::Arc;
use std::thread;

use async_std::channel::Receiver;

use super::dispatch::dispatch;
use super::{Engine, Job};

/// Starts the workers; each stops when the queue is closed.
pub(crate) fn spawn(
    engine: &Arc<Engine>,
    jobs: &Receiver<Job>,
    workers: usize,
) -> std::io::Result<()> {
    for number in 0..workers {
        let engine = Arc::clone(engine);
        let jobs = jobs.clone();
        thread::Builder::new()
            .name(format!("worker-{number}"))
            .spawn(move || work(&engine, &jobs))?;
    }
    Ok(())
}

fn work(engine: &Arc<Engine>, jobs: &Receiver<Job>) {
    while let Ok(job) = jobs.recv_blocking() {
        dispatch(engine, job);
    }
}
