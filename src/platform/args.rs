//! `hyssopwalk platform`: runs an instance on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result};
use async_std::task::spawn;
use clap::Args;

use super::objects::PlatformObjectDecoder;
use super::replicas::ReplicaTransport;
use super::settings::{self, SettingsWire};
use super::store::ObjectStore;
use super::{directory, front, reload};
use crate::cmd::{
    Accepting, Log, bind, listen_for_signals, report_dropped_lines, run_node_until_stopped,
    set_io_threads,
};
use crate::connection;
use crate::process::{CallRates, Clock, Engine, MemoryBudget, Node, NodeSettings, Workers};

/// The command-line arguments of an instance on the platform.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct PlatformArgs {
    /// The settings file that the platform writes.
    #[arg(long, env = "HYSSOPWALK_CONFIG")]
    settings: PathBuf,
    /// The number of threads that serve connections and process queries.
    #[arg(long, env = "HYSSOPWALK_THREADS", default_value_t = 1)]
    threads: usize,
    /// Check the settings without starting the instance.
    #[arg(long)]
    check: bool,
}

impl PlatformArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let text = settings::read(&self.settings)?;
        let wire = settings::parse(&self.settings, &text)?;
        let settings = NodeSettings::try_from(&wire).context("the settings are not valid")?;
        if self.check {
            println!("the settings of {} are valid", settings.me.member.name);
            return Ok(ExitCode::SUCCESS);
        }
        let log = Log::to_stdout();
        set_io_threads(self.threads);
        let exit_code = async_std::task::block_on(serve(self.settings, wire, settings, &log));
        log.flush();
        exit_code
    }
}

async fn serve(
    path: PathBuf,
    wire: SettingsWire,
    settings: NodeSettings,
    log: &Log,
) -> Result<ExitCode> {
    // The handlers are installed first: a signal without a handler terminates the process.
    let (stop_signals, reload_signals) = listen_for_signals()?;
    let caller_listener = bind(wire.listen.front).await?;
    let ready_listener = bind(wire.listen.ready).await?;
    let directory_listener = bind(wire.listen.directory).await?;
    let peer_listener = bind(wire.listen.control).await?;
    let metrics_listener = match wire.metrics_addr() {
        Some(addr) => Some(bind(addr).await?),
        None => None,
    };
    let clock = Clock::new();
    let replies = MemoryBudget::new(settings.message_memory);
    let requests = MemoryBudget::new(settings.message_memory);
    let transport = Box::new(ReplicaTransport::new(clock, replies));
    let engine = Engine::start(clock, transport, Workers::Connections)?;
    report_dropped_lines(&engine, log);
    let store = Arc::new(ObjectStore::new(
        wire.platform.address,
        CallRates::default(),
    ));
    let name = settings.me.member.name.clone();
    let node = Node::start(
        settings,
        clock,
        engine,
        store,
        Box::new(PlatformObjectDecoder),
    );
    tracing::info!(%name, "started");
    spawn(connection::accept_peers(Arc::clone(&node), peer_listener));
    let directory_listeners = [
        Some(ready_listener),
        Some(directory_listener),
        metrics_listener,
    ];
    for listener in directory_listeners.into_iter().flatten() {
        spawn(directory::accept(
            Arc::clone(&node),
            listener,
            Arc::clone(&requests),
        ));
    }
    let accepting = Accepting::start(|stopped| {
        front::accept(Arc::clone(&node), caller_listener, requests, stopped)
    });
    spawn(reload::watch_settings(
        Arc::clone(&node),
        path,
        reload_signals,
    ));
    run_node_until_stopped(&node, stop_signals, accepting).await
}
