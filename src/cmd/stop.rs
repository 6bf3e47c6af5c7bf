//! Runs a process until it is asked to stop, and carries out the steps of the shutdown; see
//! `docs/DESIGN.md`, "Shutdown".

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result};
use async_signal::{Signal, Signals};
use async_std::channel::{self, Sender};
use async_std::future::timeout;
use async_std::task::JoinHandle;
use futures::StreamExt;
use futures::future::BoxFuture;

use crate::process::{
    AbortedRequests, Clock, Engine, Instance, MemberState, Node, Ranked, Shutdown, Step, StopSignal,
};
use crate::types::Span;

/// Exit code if requests were aborted because the graceful shutdown ran out of time.
const EXIT_OUT_OF_TIME: u8 = 3;
/// Exit code if requests may have been aborted because of a second interrupt.
const EXIT_ABANDONED: u8 = 4;
/// How often the shutdown is checked for its next step once it has begun.
const CHECK_INTERVAL: Span = Span::from_millis(20);

/// A task that accepts callers' connections, and the means to stop it.
pub(crate) struct Accepting {
    /// Dropping it stops the task.
    stop: Sender<()>,
    task: JoinHandle<()>,
}

impl Accepting {
    /// Starts the task, which is passed a future that completes when it has to stop.
    pub(crate) fn start<F>(accept: impl FnOnce(BoxFuture<'static, ()>) -> F) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (stop, stopped) = channel::bounded::<()>(1);
        let stopped = Box::pin(async move {
            // Nothing is sent; the channel closes.
            stopped.recv().await.ok();
        });
        let task = async_std::task::spawn(accept(stopped));
        Self { stop, task }
    }

    async fn stop(self) {
        drop(self.stop);
        self.task.await;
    }
}

/// How a shutdown ended, with the number of aborted requests.
enum ShutdownOutcome {
    /// All requests finished, or the drain time ran out.
    Graceful(AbortedRequests),
    /// A second interrupt arrived.
    Immediate(AbortedRequests),
}

pub(super) fn stop_signals() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}

/// Subscribes to the signals that stop the process, and to those that announce changed settings.
///
/// # Errors
/// If the signal handlers cannot be installed.
pub(crate) fn listen_for_signals() -> Result<(Signals, Signals)> {
    let reload_signals = Signals::new([Signal::Hup]);
    stop_signals()
        .and_then(|stops| reload_signals.map(|reloads| (stops, reloads)))
        .context("could not listen for signals")
}

/// Runs an instance of `hyssopwalk serve` until it receives a signal to stop.
///
/// # Errors
/// Currently none; all commands share this return type.
pub(super) async fn run_instance_until_stopped(
    instance: &Instance,
    signals: Signals,
    accepting: Accepting,
) -> Result<ExitCode> {
    let stopping = Stopping {
        shutdown: &instance.shutdown,
        engine: &instance.engine,
        clock: instance.clock,
        leave: &|| instance.leave(),
    };
    let outcome = stopping.run(signals, accepting).await;
    if let ShutdownOutcome::Graceful(_) = outcome {
        instance.hand_over().await;
    }
    Ok(exit_code(&outcome))
}

/// Runs an instance on the users' platform until it receives a signal to stop.
///
/// # Errors
/// Currently none; all commands share this return type.
pub(crate) async fn run_node_until_stopped(
    node: &Node,
    signals: Signals,
    accepting: Accepting,
) -> Result<ExitCode> {
    let stopping = Stopping {
        shutdown: &node.shutdown,
        engine: &node.engine,
        clock: node.clock,
        leave: &|| node.set_state(MemberState::Leaving),
    };
    // A supervisor would take another exit code for a failure and restart the process.
    exit_code(&stopping.run(signals, accepting).await);
    Ok(ExitCode::SUCCESS)
}

/// Logs how the shutdown ended and returns the exit code that says so.
fn exit_code(outcome: &ShutdownOutcome) -> ExitCode {
    match outcome {
        ShutdownOutcome::Graceful(lost) => {
            tracing::info!(%lost, "stopped");
            if lost.0 == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_OUT_OF_TIME)
            }
        }
        ShutdownOutcome::Immediate(lost) => {
            tracing::warn!(%lost, "stopped by a second interrupt; requests in flight were aborted");
            ExitCode::from(EXIT_ABANDONED)
        }
    }
}

/// What a shutdown acts on.
struct Stopping<'a> {
    shutdown: &'a Ranked<Shutdown>,
    engine: &'a Arc<Engine>,
    clock: Clock,
    leave: &'a (dyn Fn() + Sync),
}

impl Stopping<'_> {
    /// Waits for the signal to stop and carries out the steps of the shutdown.
    async fn run(&self, mut signals: Signals, accepting: Accepting) -> ShutdownOutcome {
        let mut accepting = Some(accepting);
        loop {
            match self.next_step(&mut signals).await {
                Step::Leave => {
                    tracing::info!("leaving; callers are directed to other instances");
                    (self.leave)();
                }
                Step::StopAccepting => {
                    tracing::info!("accepts no more connections; waiting for requests in flight");
                    if let Some(accepting) = accepting.take() {
                        accepting.stop().await;
                    }
                }
                Step::EndRequests => {
                    tracing::info!("answers the requests that are still in flight");
                    self.engine.end_queries().await;
                }
                Step::HandOver(lost) => return ShutdownOutcome::Graceful(lost),
                Step::Abandon(lost) => return ShutdownOutcome::Immediate(lost),
            }
        }
    }

    async fn next_step(&self, signals: &mut Signals) -> Step {
        loop {
            let has_begun = self.shutdown.lock().closes_connections();
            let signal = if has_begun {
                let waiting = timeout(CHECK_INTERVAL.as_duration(), signals.next());
                waiting.await.ok().flatten()
            } else {
                signals.next().await
            };
            let now = self.clock.now();
            let mut shutdown = self.shutdown.lock();
            let step = match signal {
                Some(Ok(Signal::Int)) => shutdown.on_signal(now, StopSignal::Interrupt),
                Some(_) => shutdown.on_signal(now, StopSignal::Terminate),
                None => shutdown.on_tick(now),
            };
            if let Some(step) = step {
                return step;
            }
        }
    }
}
