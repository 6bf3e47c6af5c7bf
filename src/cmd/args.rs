//! Command-line and environment arguments of `serve` and `load`, and the list of subcommands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

use super::operator_args::{
    AddressesArgs, AuditArgs, ClassApplyArgs, ClassListArgs, ClassRemoveArgs, ClassShowArgs,
    CompletionsArgs, QueryArgs, StatusArgs, TokenArgs,
};
use crate::platform::PlatformArgs;
use crate::types::{
    ByteCount, ClassName, FailureDomain, InstanceName, OperatorKey, PeerKey, PerSecond, Region,
    Span,
};

/// A query tier over many shards.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(version, about)]
pub struct Cmd {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Debug)]
#[derive(Subcommand)]
enum Command {
    /// Run an instance.
    Serve(ServeArgs),
    /// Run an instance on the users' platform, configured by the platform's settings file.
    Platform(PlatformArgs),
    /// Send open-loop load to running instances and report the results as seen by callers.
    Load(LoadArgs),
    /// Send one query and print the answer and its coverage.
    Query(QueryArgs),
    /// List the instance addresses that a caller should use.
    Addresses(AddressesArgs),
    /// List, show, apply or remove classes of work.
    #[command(subcommand)]
    Class(ClassCommand),
    /// Show every instance and its active configuration.
    Status(StatusArgs),
    /// Show the accepted and refused changes of classes.
    Audit(AuditArgs),
    /// Sign a token for an operator.
    Token(TokenArgs),
    /// Print shell completions.
    Completions(CompletionsArgs),
}

#[derive(Clone, Debug)]
#[derive(Subcommand)]
enum ClassCommand {
    /// List all classes.
    List(ClassListArgs),
    /// Show one class.
    Show(ClassShowArgs),
    /// Create a class, or change the given targets of an existing class.
    Apply(ClassApplyArgs),
    /// Remove a class.
    Remove(ClassRemoveArgs),
}

/// Arguments of `hyssopwalk serve`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ServeArgs {
    /// The instance's name, unique among all instances.
    #[arg(long, env = "HYSSOPWALK_NAME")]
    pub(crate) name: InstanceName,
    /// The address on which callers and operators connect.
    #[arg(long, env = "HYSSOPWALK_LISTEN", default_value = "127.0.0.1:7400")]
    pub(crate) listen: SocketAddr,
    /// The address on which other instances connect; by default a free port on the IP address
    /// of --listen.
    #[arg(long, env = "HYSSOPWALK_PEER_LISTEN")]
    pub(crate) peer_listen: Option<SocketAddr>,
    /// The keys with which instances authenticate to each other, separated by commas; without
    /// one the instance does not communicate with other instances.
    #[arg(
        long,
        env = "HYSSOPWALK_PEER_KEYS",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub(crate) peer_keys: Vec<PeerKey>,
    /// The keys that sign operators' tokens, each as name:secret with a secret of at least 32
    /// bytes, separated by commas; without one all operator requests are rejected.
    #[arg(
        long,
        env = "HYSSOPWALK_OPERATOR_KEYS",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub(crate) operator_keys: Vec<OperatorKey>,
    /// A file with additional operator keys, one per line.
    #[arg(long, env = "HYSSOPWALK_OPERATOR_KEYS_FILE")]
    pub(crate) operator_keys_file: Option<PathBuf>,
    /// The peer addresses of instances to contact while the platform is unavailable, separated
    /// by commas.
    #[arg(long, env = "HYSSOPWALK_SEEDS", value_delimiter = ',')]
    pub(crate) seeds: Vec<SocketAddr>,
    /// The interval between heartbeats.
    #[arg(long, env = "HYSSOPWALK_HEARTBEAT", default_value = "1s")]
    pub(crate) heartbeat: Span,
    /// How long callers may cache the addresses that they received.
    #[arg(long, env = "HYSSOPWALK_ADDRESS_KEEP", default_value = "10s")]
    pub(crate) address_keep: Span,
    /// How long a graceful shutdown waits for requests in flight.
    #[arg(long, env = "HYSSOPWALK_DRAIN", default_value = "10s")]
    pub(crate) drain: Span,
    /// The address of the platform's object API.
    #[arg(long, env = "HYSSOPWALK_PLATFORM")]
    pub(crate) platform: SocketAddr,
    /// The maximum rate of reads and watches that the instance sends to the platform.
    #[arg(long, env = "HYSSOPWALK_PLATFORM_READS", default_value = "200/s")]
    pub(crate) platform_reads: PerSecond,
    /// The maximum rate of writes that the instance sends to the platform.
    #[arg(long, env = "HYSSOPWALK_PLATFORM_WRITES", default_value = "40/s")]
    pub(crate) platform_writes: PerSecond,
    /// The failure domain in which the instance runs.
    #[arg(long, env = "HYSSOPWALK_FAILURE_DOMAIN")]
    pub(crate) failure_domain: FailureDomain,
    /// The region of the failure domain.
    #[arg(long, env = "HYSSOPWALK_REGION")]
    pub(crate) region: Region,
    /// The number of I/O threads: fewer use less CPU time, more reduce tail latency; by default
    /// one per core.
    #[arg(long, env = "HYSSOPWALK_IO_THREADS", default_value_t = core_count())]
    pub(crate) io_threads: usize,
    /// The number of worker threads that run the decision logic.
    #[arg(long, env = "HYSSOPWALK_WORKERS", default_value_t = 4)]
    pub(crate) workers: usize,
    /// The maximum size of a request body, in bytes.
    #[arg(long, env = "HYSSOPWALK_MOST_BODY", default_value = "1048576")]
    pub(crate) most_body: ByteCount,
}

/// Arguments of `hyssopwalk load`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct LoadArgs {
    /// The address of an instance; repeat the flag to distribute the callers over several.
    #[arg(long, required = true)]
    pub(crate) instance: Vec<SocketAddr>,
    /// The class of every request.
    #[arg(long)]
    pub(crate) class: ClassName,
    /// The body of every request.
    #[arg(long, default_value = "{}")]
    pub(crate) body: String,
    /// The rate of arrivals, over all callers together.
    #[arg(long, default_value = "100/s")]
    pub(crate) rate: PerSecond,
    /// The duration for which requests arrive.
    #[arg(long = "for", default_value = "10s")]
    pub(crate) duration: Span,
    /// The number of connections, each with at most one request in flight.
    #[arg(long, default_value_t = 64)]
    pub(crate) callers: usize,
    /// The latency above which an answer counts as late.
    #[arg(long, default_value = "170ms")]
    pub(crate) target: Span,
    /// The seed for the random arrival times.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Send each request with its own idempotency key.
    #[arg(long)]
    pub(crate) orders: bool,
    /// Print the report as JSON.
    #[arg(long)]
    pub(crate) json: bool,
    /// Write an SVG plot of latency by quantile to this file.
    #[arg(long)]
    pub(crate) plot: Option<PathBuf>,
}

impl Cmd {
    /// Runs the subcommand and returns the exit code of the process.
    #[must_use]
    pub fn run(self) -> ExitCode {
        let result = match self.command {
            Command::Serve(args) => args.run(),
            Command::Platform(args) => args.run(),
            Command::Load(args) => args.run(),
            Command::Query(args) => args.run(),
            Command::Addresses(args) => args.run(),
            Command::Class(ClassCommand::List(args)) => args.run(),
            Command::Class(ClassCommand::Show(args)) => args.run(),
            Command::Class(ClassCommand::Apply(args)) => args.run(),
            Command::Class(ClassCommand::Remove(args)) => args.run(),
            Command::Status(args) => args.run(),
            Command::Audit(args) => args.run(),
            Command::Token(args) => args.run(),
            Command::Completions(args) => Ok(args.run()),
        };
        match result {
            Ok(code) => code,
            Err(error) => {
                eprintln!("hyssopwalk: {error:#}");
                ExitCode::FAILURE
            }
        }
    }
}

fn core_count() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
