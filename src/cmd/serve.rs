//! `hyssopwalk serve`: runs an instance until it receives a signal to stop.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result, bail};
use async_global_executor::GlobalExecutorConfig;
use async_std::net::TcpListener;

use super::ServeArgs;
use super::keys::read_keys;
use super::log::{Log, report_dropped_lines};
use super::stop::{Accepting, run_instance_until_stopped, stop_signals};
use crate::connection;
use crate::platform::ObjectStore;
use crate::process::{CallRates, Instance, Settings};

impl ServeArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let more_keys = read_keys(self.operator_keys_file.as_deref())?;
        let mut settings = Settings::from(self);
        settings.operator_keys.extend(more_keys);
        validate(&settings)?;
        let log = Log::to_stderr();
        set_io_threads(settings.io_threads);
        let exit_code = async_std::task::block_on(serve(settings, &log));
        log.flush();
        exit_code
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

async fn serve(mut settings: Settings, log: &Log) -> Result<ExitCode> {
    let signals = stop_signals().context("could not listen for signals")?;
    let listener = bind(settings.listen).await?;
    settings.listen = listener.local_addr()?;
    let peer_listener = bind(settings.peer_listen).await?;
    settings.peer_listen = peer_listener.local_addr()?;
    let platform = Arc::new(ObjectStore::new(settings.platform, settings.platform_rates));
    let instance = Instance::start(settings, platform).context("could not start the instance")?;
    report_dropped_lines(&instance.engine, log);
    let peers = connection::accept_peers(Arc::clone(&instance), peer_listener);
    async_std::task::spawn(peers);
    let accepting =
        Accepting::start(|stopped| connection::accept(Arc::clone(&instance), listener, stopped));
    let Settings { name, listen, .. } = &instance.settings;
    tracing::info!(%name, %listen, "serving");
    run_instance_until_stopped(&instance, signals, accepting).await
}

/// Binds a listener; the error names the address.
pub(crate) async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .with_context(|| format!("could not listen on {addr}"))
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
