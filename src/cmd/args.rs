//! The types of the command line and the environment.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

use crate::process::{CallRates, Settings};
use crate::types::{
    ByteCount, ClassName, FailureDomain, InstanceName, PeerKey, PerSecond, Region, Span,
};

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
    /// Load running instances open-loop and report what callers saw.
    Load(LoadArgs),
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
    /// Where other instances connect; a free port of the address in --listen when
    /// absent.
    #[arg(long, env = "HYSSOPWALK_PEER_LISTEN")]
    pub(crate) peer_listen: Option<SocketAddr>,
    /// The keys that instances prove to each other that they have, separated by
    /// commas; without one the instance speaks with no other.
    #[arg(
        long,
        env = "HYSSOPWALK_PEER_KEYS",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub(crate) peer_keys: Vec<PeerKey>,
    /// Where other instances connect that are asked while the platform is away,
    /// separated by commas.
    #[arg(long, env = "HYSSOPWALK_SEEDS", value_delimiter = ',')]
    pub(crate) seeds: Vec<SocketAddr>,
    /// The time between two heartbeats.
    #[arg(long, env = "HYSSOPWALK_HEARTBEAT", default_value = "1s")]
    pub(crate) heartbeat: Span,
    /// How long callers may keep the addresses they were given.
    #[arg(long, env = "HYSSOPWALK_ADDRESS_KEEP", default_value = "10s")]
    pub(crate) address_keep: Span,
    /// How long a planned stop waits for requests that still run.
    #[arg(long, env = "HYSSOPWALK_DRAIN", default_value = "10s")]
    pub(crate) drain: Span,
    /// Where the platform's object API answers.
    #[arg(long, env = "HYSSOPWALK_PLATFORM")]
    pub(crate) platform: SocketAddr,
    /// How many reads and watches a second the instance makes to the platform at most.
    #[arg(long, env = "HYSSOPWALK_PLATFORM_READS", default_value = "200/s")]
    pub(crate) platform_reads: PerSecond,
    /// How many writes a second the instance makes to the platform at most.
    #[arg(long, env = "HYSSOPWALK_PLATFORM_WRITES", default_value = "40/s")]
    pub(crate) platform_writes: PerSecond,
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

/// What to load instances with.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct LoadArgs {
    /// An instance's address; give several to spread callers over them.
    #[arg(long, required = true)]
    pub(crate) instance: Vec<SocketAddr>,
    /// The class of every request.
    #[arg(long)]
    pub(crate) class: ClassName,
    /// The body of every request.
    #[arg(long, default_value = "{}")]
    pub(crate) body: String,
    /// Arrivals a second, all callers together.
    #[arg(long, default_value = "100/s")]
    pub(crate) rate: PerSecond,
    /// How long requests arrive.
    #[arg(long = "for", default_value = "10s")]
    pub(crate) duration: Span,
    /// Connections, each carrying one request at a time.
    #[arg(long, default_value_t = 64)]
    pub(crate) callers: usize,
    /// Answers that take longer count as late.
    #[arg(long, default_value = "170ms")]
    pub(crate) target: Span,
    /// The seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Send each request with an idempotency key of its own.
    #[arg(long)]
    pub(crate) orders: bool,
    /// Print the report as JSON.
    #[arg(long)]
    pub(crate) json: bool,
    /// Write a plot of latency over quantiles to this file, as SVG.
    #[arg(long)]
    pub(crate) plot: Option<PathBuf>,
}

impl Cmd {
    /// Runs the subcommand and says how it went.
    #[must_use]
    pub fn run(self) -> ExitCode {
        let ran = match self.command {
            Sub::Serve(args) => args.run(),
            Sub::Load(args) => args.run(),
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
            peer_listen: args
                .peer_listen
                .unwrap_or(SocketAddr::new(args.listen.ip(), 0)),
            peer_keys: args.peer_keys,
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
            most_body: args.most_body,
        }
    }
}
