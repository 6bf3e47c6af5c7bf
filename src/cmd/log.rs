//! The output of log lines, which never makes the process wait for whoever reads it.

use std::io::Write;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::process::Engine;

/// The lines that wait to be written; more are dropped. A line has some hundred bytes.
const MAX_WAITING_LINES: usize = 1_000;
/// How long the last lines may take to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// How often dropped lines are looked for.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The log of the process.
pub(crate) struct Log {
    dropped: ErrorCounter,
    /// Ends the thread that writes.
    guard: WorkerGuard,
}

impl Log {
    pub(crate) fn to_stderr() -> Self {
        Self::to(std::io::stderr())
    }

    /// Logs to standard output, where the platform collects logs.
    pub(crate) fn to_stdout() -> Self {
        Self::to(std::io::stdout())
    }

    fn to(output: impl Write + Send + 'static) -> Self {
        let builder = NonBlockingBuilder::default().lossy(true);
        let builder = builder.buffered_lines_limit(MAX_WAITING_LINES);
        let (writer, guard) = builder.thread_name("log").finish(output);
        let dropped = writer.error_counter();
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        tracing_subscriber::fmt()
            .json()
            .with_env_filter(filter)
            .with_writer(writer)
            .init();
        Self { dropped, guard }
    }

    /// Returns a function that counts the lines that were dropped because the output was not read.
    pub(crate) fn dropped_lines(&self) -> impl Fn() -> u64 + Send + Sync + 'static {
        let dropped = self.dropped.clone();
        move || u64::try_from(dropped.dropped_lines()).unwrap_or(u64::MAX)
    }

    /// Writes the lines that wait, as far as the output takes them in time. The library may itself
    /// wait for the output, so it does that on a thread of its own.
    pub(crate) fn flush(self) {
        let (tx, rx) = mpsc::channel();
        let guard = self.guard;
        thread::spawn(move || {
            drop(guard);
            tx.send(()).ok();
        });
        rx.recv_timeout(FLUSH_TIMEOUT).ok();
    }
}

/// Counts dropped lines in the metrics, and says in a line of its own that there are some.
pub(crate) fn report_dropped_lines(engine: &Engine, log: &Log) {
    engine.metrics.count_dropped_lines(log.dropped_lines());
    let dropped_lines = log.dropped_lines();
    async_std::task::spawn(async move {
        let mut reported = 0;
        loop {
            async_std::task::sleep(REPORT_INTERVAL).await;
            let dropped = dropped_lines();
            if dropped > reported {
                reported = dropped;
                tracing::warn!(
                    dropped,
                    "log lines were dropped, since the output was not read"
                );
            }
        }
    });
}
