//! `hyssopwalk platform`: runs an instance on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result};
use async_std::task::spawn;
use clap::Args;

use super::objects::Objects;
use super::replicas::Replicas;
use super::settings::{self, SettingsWire};
use super::store::ObjectStore;
use super::{directory, front, reload};
use crate::cmd::{bind, limit_io_threads, listen_for_signals, log_to_stdout, run_until_stopped};
use crate::connection;
use crate::process::{CallRates, Clock, Engine, Node, NodeSettings, Workers};

/// How an instance on the platform is started.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct PlatformArgs {
    /// The file with the settings that the platform states.
    #[arg(long, env = "HYSSOPWALK_CONFIG")]
    settings: PathBuf,
    /// How many threads run connections and decide.
    #[arg(long, env = "HYSSOPWALK_THREADS", default_value_t = 1)]
    threads: usize,
    /// Checks the settings and starts nothing.
    #[arg(long)]
    check: bool,
}

impl PlatformArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let text = settings::read(&self.settings)?;
        let wire = settings::parse(&self.settings, &text)?;
        let settings = NodeSettings::try_from(&wire).context("could not use the settings")?;
        if self.check {
            println!("the settings of {} are good", settings.me.member.name);
            return Ok(ExitCode::SUCCESS);
        }
        log_to_stdout();
        limit_io_threads(self.threads);
        async_std::task::block_on(serve(self.settings, wire, settings))
    }
}

async fn serve(path: PathBuf, wire: SettingsWire, settings: NodeSettings) -> Result<ExitCode> {
    // Before anything else: a signal that nobody listens for ends the process.
    let (stops, hangups) = listen_for_signals()?;
    let callers = bind(wire.listen.front).await?;
    let ready = bind(wire.listen.ready).await?;
    let questions = bind(wire.listen.directory).await?;
    let peers = bind(wire.listen.control).await?;
    let metrics = match wire.metrics() {
        Some(addr) => Some(bind(addr).await?),
        None => None,
    };
    let clock = Clock::new();
    let carrier = Box::new(Replicas::new(clock));
    let engine = Engine::start(clock, carrier, Workers::Connections)?;
    let store = Arc::new(ObjectStore::new(
        wire.platform.address,
        CallRates::default(),
    ));
    let name = settings.me.member.name.clone();
    let node = Node::start(settings, clock, engine, store, Box::new(Objects));
    tracing::info!(%name, "started");
    spawn(connection::accept_peers(Arc::clone(&node), peers));
    spawn(directory::accept(Arc::clone(&node), ready));
    spawn(directory::accept(Arc::clone(&node), questions));
    if let Some(metrics) = metrics {
        spawn(directory::accept(Arc::clone(&node), metrics));
    }
    let accepting = spawn(front::accept(Arc::clone(&node), callers));
    spawn(reload::follow(Arc::clone(&node), path, hangups));
    run_until_stopped(&node, stops, accepting).await
}
