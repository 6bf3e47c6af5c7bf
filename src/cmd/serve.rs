//! `hyssopwalk serve`: runs an instance.

use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use async_std::net::TcpListener;
use tracing_subscriber::EnvFilter;

use super::ServeArgs;
use crate::connection;
use crate::process::{Instance, Settings};

impl ServeArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let settings = Settings::from(self);
        check(&settings)?;
        log_to_stderr();
        async_std::task::block_on(serve(settings))
    }
}

fn check(settings: &Settings) -> Result<()> {
    let errors: Vec<String> = settings.check().iter().map(ToString::to_string).collect();
    if errors.is_empty() {
        return Ok(());
    }
    bail!("could not use the settings: {}", errors.join("; "))
}

fn log_to_stderr() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}

async fn serve(settings: Settings) -> Result<ExitCode> {
    let listen = settings.listen;
    let instance = Instance::start(settings).context("could not start the instance")?;
    let listener = TcpListener::bind(listen)
        .await
        .with_context(|| format!("could not listen on {listen}"))?;
    tracing::info!(name = %instance.settings.name, %listen, "serving");
    connection::accept(instance, listener)
        .await
        .context("could not accept connections")?;
    Ok(ExitCode::SUCCESS)
}
