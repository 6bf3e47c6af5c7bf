//! `hyssopwalk serve`: runs an instance until it receives a signal to stop.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result, bail};
use async_global_executor::GlobalExecutorConfig;
use async_signal::{Signal, Signals};
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task::JoinHandle;
use futures::StreamExt;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

use super::ServeArgs;
use super::keys::read_keys;
use crate::connection;
use crate::platform::ObjectStore;
use crate::process::{
    AbortedRequests, CallRates, Clock, Instance, MemberState, Node, Ranked, Settings, Shutdown,
    Step,
};
use crate::types::Span;

/// Exit code if requests were aborted because the graceful shutdown ran out of time.
const EXIT_OUT_OF_TIME: u8 = 3;
/// Exit code if requests may have been aborted because of a second signal.
const EXIT_ABANDONED: u8 = 4;
/// How often the shutdown is checked for its next step once it has begun.
const SHUTDOWN_CHECK_INTERVAL: Span = Span::from_millis(20);

impl ServeArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let more_keys = read_keys(self.operator_keys_file.as_deref())?;
        let mut settings = Settings::from(self);
        settings.operator_keys.extend(more_keys);
        validate(&settings)?;
        log_to_stderr();
        set_io_threads(settings.io_threads);
        async_std::task::block_on(serve(settings))
    }
}

fn validate(settings: &Settings) -> Result<()> {
    let errors: Vec<String> = settings.check().iter().map(ToString::to_string).collect();
    if errors.is_empty() {
        return Ok(());
    }
    bail!("could not use the settings: {}", errors.join("; "))
}

/// Sets the number of I/O threads. Must run before the runtime starts, which reads its
/// configuration only once.
pub(crate) fn set_io_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| "io".to_owned());
    async_global_executor::init_with_config(config);
}

fn log_to_stderr() {
    log_to(std::io::stderr);
}

/// Logs to standard output, where the platform collects logs.
pub(crate) fn log_to_stdout() {
    log_to(std::io::stdout);
}

fn log_to<W>(writer: W)
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(writer)
        .init();
}

async fn serve(mut settings: Settings) -> Result<ExitCode> {
    let signals = stop_signals().context("could not listen for signals")?;
    let listener = bind(settings.listen).await?;
    settings.listen = listener.local_addr()?;
    let peer_listener = bind(settings.peer_listen).await?;
    settings.peer_listen = peer_listener.local_addr()?;
    let platform = Arc::new(ObjectStore::new(settings.platform, settings.platform_rates));
    let instance = Instance::start(settings, platform).context("could not start the instance")?;
    let peers = connection::accept_peers(Arc::clone(&instance), peer_listener);
    async_std::task::spawn(peers);
    let accept_task = async_std::task::spawn(connection::accept(Arc::clone(&instance), listener));
    let Settings { name, listen, .. } = &instance.settings;
    tracing::info!(%name, %listen, "serving");
    run_instance_until_stopped(&instance, signals, accept_task).await
}

/// Binds a listener; the error names the address.
pub(crate) async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .with_context(|| format!("could not listen on {addr}"))
}

/// How a shutdown ended, with the number of aborted requests.
enum ShutdownOutcome {
    /// All requests finished, or the drain time ran out.
    Graceful(AbortedRequests),
    /// A second signal arrived.
    Immediate(AbortedRequests),
}

async fn run_instance_until_stopped(
    instance: &Instance,
    signals: Signals,
    accept_task: JoinHandle<std::io::Result<()>>,
) -> Result<ExitCode> {
    let leave = || instance.leave();
    match shut_down(
        &instance.shutdown,
        instance.clock,
        signals,
        accept_task,
        leave,
    )
    .await
    {
        ShutdownOutcome::Graceful(lost) => {
            instance.hand_over().await;
            tracing::info!(%lost, "stopped");
            Ok(if lost.0 == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_OUT_OF_TIME)
            })
        }
        ShutdownOutcome::Immediate(lost) => {
            tracing::warn!(%lost, "stopped by a second signal; requests in flight were aborted");
            Ok(ExitCode::from(EXIT_ABANDONED))
        }
    }
}

fn stop_signals() -> std::io::Result<Signals> {
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

/// Runs an instance on the users' platform until it receives a signal to stop.
///
/// # Errors
/// Currently none; all commands share this return type.
pub(crate) async fn run_until_stopped(
    node: &Node,
    signals: Signals,
    accept_task: JoinHandle<()>,
) -> Result<ExitCode> {
    let leave = || node.set_state(MemberState::Leaving);
    let (ShutdownOutcome::Graceful(lost) | ShutdownOutcome::Immediate(lost)) =
        shut_down(&node.shutdown, node.clock, signals, accept_task, leave).await;
    tracing::info!(%lost, "stopped");
    Ok(ExitCode::SUCCESS)
}

/// Waits for the signal to stop and executes the steps of the shutdown.
async fn shut_down<T>(
    shutdown: &Ranked<Shutdown>,
    clock: Clock,
    mut signals: Signals,
    accept_task: JoinHandle<T>,
    leave: impl Fn(),
) -> ShutdownOutcome {
    let mut accept_task = Some(accept_task);
    loop {
        match next_step(shutdown, clock, &mut signals).await {
            Step::Leave => {
                tracing::info!("leaving; callers are directed to other instances");
                leave();
            }
            Step::StopAccepting => {
                tracing::info!("accepts no more connections; waiting for requests in flight");
                if let Some(accept_task) = accept_task.take() {
                    accept_task.cancel().await;
                }
            }
            Step::HandOver(lost) => return ShutdownOutcome::Graceful(lost),
            Step::Abandon(lost) => return ShutdownOutcome::Immediate(lost),
        }
    }
}

async fn next_step(shutdown: &Ranked<Shutdown>, clock: Clock, signals: &mut Signals) -> Step {
    let mut has_begun = false;
    loop {
        let signal = if has_begun {
            timeout(SHUTDOWN_CHECK_INTERVAL.as_duration(), signals.next())
                .await
                .ok()
                .flatten()
        } else {
            has_begun = shutdown.lock().closes_connections();
            if has_begun {
                continue;
            }
            signals.next().await
        };
        let now = clock.now();
        let mut shutdown = shutdown.lock();
        let step = match signal {
            Some(_) => Some(shutdown.on_signal(now)),
            None => shutdown.on_tick(now),
        };
        if let Some(step) = step {
            return step;
        }
    }
}

impl From<ServeArgs> for Settings {
    fn from(args: ServeArgs) -> Self {
        Self {
            name: args.name,
            listen: args.listen,
            peer_listen: args
                .peer_listen
                .unwrap_or(SocketAddr::new(args.listen.ip(), 0)),
            peer_keys: args.peer_keys,
            operator_keys: args.operator_keys,
            seeds: args.seeds,
            heartbeat: args.heartbeat,
            address_keep: args.address_keep,
            drain: args.drain,
            platform: args.platform,
            platform_rates: CallRates {
                reads: args.platform_reads,
                writes: args.platform_writes,
            },
            failure_domain: args.failure_domain,
            region: args.region,
            workers: args.workers,
            io_threads: args.io_threads,
            max_body: args.most_body,
        }
    }
}
