//! The types of the command line and the environment.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

use crate::process::Settings;
use crate::types::{ByteCount, FailureDomain, InstanceName, Region};

/// A query tier over many shards.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(version, about)]
pub struct Cmd {
    #[command(subcommand)]
    command: Sub,
}

#[derive(Clone, Debug)]
#[derive(Subcommand)]
enum Sub {
    /// Run an instance.
    Serve(ServeArgs),
}

/// The settings of an instance.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ServeArgs {
    /// The instance's name, unique among all instances.
    #[arg(long, env = "HYSSOPWALK_NAME")]
    pub(crate) name: InstanceName,
    /// Where callers and operators connect.
    #[arg(long, env = "HYSSOPWALK_LISTEN", default_value = "127.0.0.1:7400")]
    pub(crate) listen: SocketAddr,
    /// Where the platform's object API answers.
    #[arg(long, env = "HYSSOPWALK_PLATFORM")]
    pub(crate) platform: SocketAddr,
    /// The failure domain the instance stands in.
    #[arg(long, env = "HYSSOPWALK_FAILURE_DOMAIN")]
    pub(crate) failure_domain: FailureDomain,
    /// The region of that failure domain.
    #[arg(long, env = "HYSSOPWALK_REGION")]
    pub(crate) region: Region,
    /// How many workers decide.
    #[arg(long, env = "HYSSOPWALK_WORKERS", default_value_t = 4)]
    pub(crate) workers: usize,
    /// The largest request body, in bytes.
    #[arg(long, env = "HYSSOPWALK_MOST_BODY", default_value = "1048576")]
    pub(crate) most_body: ByteCount,
}

impl Cmd {
    /// Runs the subcommand and says how it went.
    #[must_use]
    pub fn run(self) -> ExitCode {
        let ran = match self.command {
            Sub::Serve(args) => args.run(),
        };
        match ran {
            Ok(code) => code,
            Err(error) => {
                eprintln!("hyssopwalk: {error:#}");
                ExitCode::FAILURE
            }
        }
    }
}

impl From<ServeArgs> for Settings {
    fn from(args: ServeArgs) -> Self {
        Self {
            name: args.name,
            listen: args.listen,
            platform: args.platform,
            failure_domain: args.failure_domain,
            region: args.region,
            workers: args.workers,
            most_body: args.most_body,
        }
    }
}
