//! The types of the command line and the environment, for all but the subcommands that ask
//! running instances.

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
    command: Sub,
}

#[derive(Clone, Debug)]
#[derive(Subcommand)]
enum Sub {
    /// Run an instance.
    Serve(ServeArgs),
    /// Run an instance on the users' platform, by its settings file.
    Platform(PlatformArgs),
    /// Load running instances open-loop and report what callers saw.
    Load(LoadArgs),
    /// Send one query and print its answer with the coverage.
    Query(QueryArgs),
    /// Show which addresses a caller should use.
    Addresses(AddressesArgs),
    /// List, show, apply or remove classes of work.
    #[command(subcommand)]
    Class(ClassSub),
    /// Show every instance, and the configuration in force there.
    Status(StatusArgs),
    /// Show who changed which class, and what became of it.
    Audit(AuditArgs),
    /// Sign a token for an operator.
    Token(TokenArgs),
    /// Print completions for a shell.
    Completions(CompletionsArgs),
}

#[derive(Clone, Debug)]
#[derive(Subcommand)]
enum ClassSub {
    /// List all classes.
    List(ClassListArgs),
    /// Show one class.
    Show(ClassShowArgs),
    /// Create a class, or change the targets that are given.
    Apply(ClassApplyArgs),
    /// Remove a class.
    Remove(ClassRemoveArgs),
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
    /// The keys that tokens of operators are signed with, each as name:secret with a
    /// secret of 32 bytes or more, separated by commas; without one no operator is let in.
    #[arg(
        long,
        env = "HYSSOPWALK_OPERATOR_KEYS",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub(crate) operator_keys: Vec<OperatorKey>,
    /// A file with more such keys, one on each line.
    #[arg(long, env = "HYSSOPWALK_OPERATOR_KEYS_FILE")]
    pub(crate) operator_keys_file: Option<PathBuf>,
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
    /// How many threads carry input and output: fewer cost less processor time, more cut the
    /// tail of latency; one for each core when not given.
    #[arg(long, env = "HYSSOPWALK_IO_THREADS", default_value_t = cores())]
    pub(crate) io_threads: usize,
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
            Sub::Platform(args) => args.run(),
            Sub::Load(args) => args.run(),
            Sub::Query(args) => args.run(),
            Sub::Addresses(args) => args.run(),
            Sub::Class(ClassSub::List(args)) => args.run(),
            Sub::Class(ClassSub::Show(args)) => args.run(),
            Sub::Class(ClassSub::Apply(args)) => args.run(),
            Sub::Class(ClassSub::Remove(args)) => args.run(),
            Sub::Status(args) => args.run(),
            Sub::Audit(args) => args.run(),
            Sub::Token(args) => args.run(),
            Sub::Completions(args) => Ok(args.run()),
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

fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
